//! Other entry nodes: the greatest fact of each, and what is to be told on.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{FailureDomain, Incarnation, VmId},
    peer::{Heartbeat, MemberFact, MemberStatus, Place},
    time::Timestamp,
};

/// A fact's turn to be sent along: those that were sent least go first, and
/// of these the ones that have waited longest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct GossipOrder {
    sent: u32,
    sequence: u64,
}

/// Another entry node.
#[derive(Debug, Clone, Serialize)]
pub struct MemberRow {
    /// Its life; 0 until it is heard.
    pub incarnation: Incarnation,
    /// Counts what it said of itself in this life.
    pub beat: u32,
    /// Whether it is believed to live.
    pub status: MemberStatus,
    /// What it said last.
    #[serde(rename = "said")]
    pub heartbeat: Heartbeat,
    /// Where it is, in its own words or else by the VM list.
    pub place: Option<Place>,
    /// When its last beat was heard.
    #[serde(rename = "heard")]
    pub last_seen: Timestamp,
    /// When its status changed.
    #[serde(rename = "changed")]
    pub status_changed_at: Timestamp,
    /// Rounds of probes that brought no answer.
    #[serde(rename = "missed")]
    pub missed_rounds: u32,
    /// Nodes that asked for a probe of it and wait for the answer.
    #[serde(skip)]
    pub probe_requesters: BTreeSet<VmId>,
    #[serde(skip)]
    gossip_order: GossipOrder,
    #[serde(skip)]
    last_checked: Timestamp,
}

impl MemberRow {
    /// Tells whether the node was heard in any life.
    pub fn was_seen(&self) -> bool {
        self.incarnation > Incarnation(0)
    }

    /// Tells whether the node is there to stay, ready for callers or not.
    pub fn is_active(&self) -> bool {
        self.was_seen() && self.status == MemberStatus::Alive && !self.heartbeat.draining
    }

    /// Tells whether callers may be sent there.
    pub fn is_serving(&self) -> bool {
        self.is_active() && self.heartbeat.ready
    }

    /// Returns its failure domain, if it is known.
    pub fn failure_domain(&self) -> Option<&FailureDomain> {
        self.place.as_ref().map(|place| &place.failure_domain)
    }

    fn precedence(&self) -> (Incarnation, u32, MemberStatus) {
        (self.incarnation, self.beat, self.status)
    }
}

/// What a fact did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was known, or an older one.
    Stale,
    /// The node said something new of itself.
    Refreshed,
    /// Its life, its status or its shutdown changed: others are told at once.
    Changed,
}

/// Other entry nodes by VM.
#[derive(Debug, Default, Serialize)]
pub struct MemberTable {
    rows: BTreeMap<VmId, MemberRow>,
    /// Facts to send along, those that were sent least first.
    #[serde(skip)]
    gossip_queue: BTreeSet<(GossipOrder, VmId)>,
    /// Counts the turns that were given.
    #[serde(skip)]
    sequence: u64,
    /// Rows by when they were heard or looked at.
    #[serde(skip)]
    by_last_checked: BTreeSet<(Timestamp, VmId)>,
    /// Counts changes of who is there, so that what is derived is renewed.
    #[serde(skip)]
    version: u64,
}

impl MemberTable {
    /// Takes in a fact, if it is greater than the one that is known.
    pub fn merge(&mut self, fact: MemberFact, now: Timestamp) -> MergeOutcome {
        let MemberFact {
            vm,
            incarnation,
            beat,
            status,
            said,
            place,
        } = fact;
        let row = MemberRow {
            incarnation,
            beat,
            status,
            heartbeat: said,
            place,
            last_seen: now,
            status_changed_at: now,
            missed_rounds: 0,
            probe_requesters: BTreeSet::new(),
            gossip_order: GossipOrder::default(),
            last_checked: now,
        };
        let Some(old) = self.rows.get(&vm) else {
            self.insert(vm, row);
            return MergeOutcome::Changed;
        };
        if old.precedence() >= row.precedence() {
            return MergeOutcome::Stale;
        }
        let mut row = MemberRow {
            missed_rounds: old.missed_rounds,
            probe_requesters: old.probe_requesters.clone(),
            ..row
        };
        let same_life = old.incarnation == row.incarnation;
        if row.place.is_none() && (same_life || !old.was_seen()) {
            row.place = old.place.clone();
        }
        if row.status == MemberStatus::Alive {
            row.missed_rounds = 0;
        } else {
            row.last_seen = old.last_seen;
            row.last_checked = old.last_checked;
        }
        let same = same_life
            && old.status == row.status
            && old.heartbeat.draining == row.heartbeat.draining
            && old.heartbeat.ready == row.heartbeat.ready
            && old.place == row.place;
        if same {
            row.status_changed_at = old.status_changed_at;
        }
        self.insert(vm, row);
        if same {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    fn insert(&mut self, vm: VmId, mut row: MemberRow) {
        let moved = match self.rows.get(&vm) {
            Some(old) => {
                self.by_last_checked.remove(&(old.last_checked, vm.clone()));
                self.gossip_queue.remove(&(old.gossip_order, vm.clone()));
                let first = !old.was_seen() && row.was_seen();
                first || old.status != row.status || old.place != row.place
            }
            None => true,
        };
        self.version += u64::from(moved);
        self.by_last_checked.insert((row.last_checked, vm.clone()));
        row.gossip_order = self.next_order(0);
        self.gossip_queue.insert((row.gossip_order, vm.clone()));
        self.rows.insert(vm, row);
    }

    fn next_order(&mut self, sent: u32) -> GossipOrder {
        self.sequence += 1;
        let turn = self.sequence;
        GossipOrder {
            sent,
            sequence: turn,
        }
    }

    /// Makes a row for a node that the VM list shows, or fills in its place.
    pub fn add_listed(&mut self, vm: &VmId, place: Option<Place>, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            let unheard = !row.was_seen();
            if place.is_some() && (row.place.is_none() || unheard && row.place != place) {
                row.place = place;
                self.version += 1;
            }
            return;
        }
        let fact = MemberFact {
            vm: vm.clone(),
            incarnation: Incarnation(0),
            beat: 0,
            status: MemberStatus::Alive,
            said: Heartbeat::default(),
            place,
        };
        self.merge(fact, now);
        // Others read the list themselves.
        if let Some(row) = self.rows.get(vm) {
            self.gossip_queue.remove(&(row.gossip_order, vm.clone()));
        }
    }

    /// Returns a node that was heard.
    pub fn get(&self, vm: &VmId) -> Option<&MemberRow> {
        self.rows.get(vm).filter(|row| row.was_seen())
    }

    /// Returns all nodes that were heard.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &MemberRow)> {
        self.rows.iter().filter(|(_, row)| row.was_seen())
    }

    /// Returns all nodes, also those that were never heard.
    pub fn rows(&self) -> &BTreeMap<VmId, MemberRow> {
        &self.rows
    }

    /// Returns a row, also one that was never heard, for a change of what
    /// concerns probes.
    pub fn row_mut(&mut self, vm: &VmId) -> Option<&mut MemberRow> {
        self.rows.get_mut(vm)
    }

    /// Returns a number that changes when a node's place or status changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what is known of a node as a fact.
    pub fn fact(&self, vm: &VmId, with_place: bool) -> Option<MemberFact> {
        let row = self.rows.get(vm)?;
        Some(MemberFact {
            vm: vm.clone(),
            incarnation: row.incarnation,
            beat: row.beat,
            status: row.status,
            said: row.heartbeat.clone(),
            place: row.place.clone().filter(|_| with_place),
        })
    }

    /// Takes the facts to send along next: at most `max`, each for at most
    /// `sends` times since it changed.
    pub fn take_gossip(&mut self, max: usize, sends: u32) -> Vec<MemberFact> {
        let taken: Vec<(GossipOrder, VmId)> = self.gossip_queue.iter().take(max).cloned().collect();
        for (queued, vm) in &taken {
            self.gossip_queue.remove(&(*queued, vm.clone()));
            let queued = self.next_order(queued.sent + 1);
            if let Some(row) = self.rows.get_mut(vm) {
                row.gossip_order = queued;
                if queued.sent < sends {
                    self.gossip_queue.insert((queued, vm.clone()));
                }
            }
        }
        taken
            .iter()
            .filter_map(|(_, vm)| self.fact(vm, false))
            .collect()
    }

    /// Returns the node that was neither heard nor looked at for the longest time.
    pub fn oldest(&self) -> Option<(Timestamp, VmId)> {
        self.by_last_checked.first().cloned()
    }

    /// Notes that a node was looked at, so that the next oldest one comes up.
    pub fn mark_checked(&mut self, vm: &VmId, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            self.by_last_checked.remove(&(row.last_checked, vm.clone()));
            row.last_checked = now;
            self.by_last_checked.insert((now, vm.clone()));
        }
    }

    /// Gives all nodes their time anew, after this process was paused.
    pub fn reset_timeouts(&mut self, now: Timestamp) {
        self.by_last_checked.clear();
        for (vm, row) in &mut self.rows {
            row.last_checked = now;
            row.status_changed_at = now;
            row.missed_rounds = 0;
            self.by_last_checked.insert((now, vm.clone()));
        }
    }

    /// Removes a row.
    pub fn remove(&mut self, vm: &VmId) {
        if let Some(row) = self.rows.remove(vm) {
            self.by_last_checked.remove(&(row.last_checked, vm.clone()));
            self.gossip_queue.remove(&(row.gossip_order, vm.clone()));
            self.version += 1;
        }
    }
}
