//! Other entry nodes: the latest fact about each, and the facts to gossip.
//!
//! An incarnation is one run of a node; facts of a later incarnation supersede
//! those of earlier ones.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{FailureDomain, Incarnation, VmId},
    peer::{Heartbeat, MemberFact, MemberStatus, Place},
    time::Timestamp,
};

/// A fact's place in the gossip queue: facts that were sent fewer times come
/// first, then those that have been queued longest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct GossipOrder {
    sent: u32,
    sequence: u64,
}

/// Another entry node.
#[derive(Debug, Clone, Serialize)]
pub struct MemberRow {
    /// The node's incarnation; 0 if it has never been seen.
    pub incarnation: Incarnation,
    /// Sequence number of the node's heartbeat within its incarnation.
    pub beat: u32,
    /// Whether the node is considered alive, suspect or dead.
    pub status: MemberStatus,
    /// The node's latest heartbeat.
    #[serde(rename = "said")]
    pub heartbeat: Heartbeat,
    /// The node's location, as it reported itself or else as the VM list shows
    /// it.
    pub place: Option<Place>,
    /// When the latest heartbeat arrived.
    #[serde(rename = "heard")]
    pub last_seen: Timestamp,
    /// When the status last changed.
    #[serde(rename = "changed")]
    pub status_changed_at: Timestamp,
    /// Number of consecutive probe rounds without an answer.
    #[serde(rename = "missed")]
    pub missed_rounds: u32,
    /// Nodes that requested a probe of this one and wait for the result.
    #[serde(skip)]
    pub probe_requesters: BTreeSet<VmId>,
    #[serde(skip)]
    gossip_order: GossipOrder,
    #[serde(skip)]
    last_checked: Timestamp,
}

impl MemberRow {
    /// Returns whether the node has been seen in any incarnation.
    pub fn was_seen(&self) -> bool {
        self.incarnation > Incarnation(0)
    }

    /// Returns whether the node is alive and not draining, whether or not it is
    /// ready for callers.
    pub fn is_active(&self) -> bool {
        self.was_seen() && self.status == MemberStatus::Alive && !self.heartbeat.draining
    }

    /// Returns whether callers may be directed to the node.
    pub fn is_serving(&self) -> bool {
        self.is_active() && self.heartbeat.ready
    }

    /// Returns the node's failure domain, if its location is known.
    pub fn failure_domain(&self) -> Option<&FailureDomain> {
        self.place.as_ref().map(|place| &place.failure_domain)
    }

    fn precedence(&self) -> (Incarnation, u32, MemberStatus) {
        (self.incarnation, self.beat, self.status)
    }
}

/// The result of merging a fact into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table already had this fact or a newer one.
    Stale,
    /// The node's heartbeat advanced without a change that matters to others.
    Refreshed,
    /// The node's incarnation, status, readiness or location changed; others
    /// are informed at once.
    Changed,
}

/// Other entry nodes by VM.
#[derive(Debug, Default, Serialize)]
pub struct MemberTable {
    rows: BTreeMap<VmId, MemberRow>,
    /// Facts to gossip, those sent fewer times first.
    #[serde(skip)]
    gossip_queue: BTreeSet<(GossipOrder, VmId)>,
    /// The last sequence number assigned in the gossip queue.
    #[serde(skip)]
    sequence: u64,
    /// Rows by the time when they were last seen or checked.
    #[serde(skip)]
    by_last_checked: BTreeSet<(Timestamp, VmId)>,
    /// Incremented when the set of nodes, a status or a location changes, to
    /// invalidate derived views.
    #[serde(skip)]
    version: u64,
}

impl MemberTable {
    /// Merges a fact if it supersedes the one in the table.
    pub fn merge(&mut self, fact: MemberFact, now: Timestamp) -> MergeOutcome {
        let MemberFact {
            vm,
            incarnation,
            beat,
            status,
            heartbeat,
            place,
        } = fact;
        let row = MemberRow {
            incarnation,
            beat,
            status,
            heartbeat,
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
        let same_incarnation = old.incarnation == row.incarnation;
        if row.place.is_none() && (same_incarnation || !old.was_seen()) {
            row.place = old.place.clone();
        }
        if row.status == MemberStatus::Alive {
            row.missed_rounds = 0;
        } else {
            row.last_seen = old.last_seen;
            row.last_checked = old.last_checked;
        }
        let unchanged = same_incarnation
            && old.status == row.status
            && old.heartbeat.draining == row.heartbeat.draining
            && old.heartbeat.ready == row.heartbeat.ready
            && old.place == row.place;
        if unchanged {
            row.status_changed_at = old.status_changed_at;
        }
        self.insert(vm, row);
        if unchanged {
            MergeOutcome::Refreshed
        } else {
            MergeOutcome::Changed
        }
    }

    fn insert(&mut self, vm: VmId, mut row: MemberRow) {
        let view_changed = match self.rows.get(&vm) {
            Some(old) => {
                self.by_last_checked.remove(&(old.last_checked, vm.clone()));
                self.gossip_queue.remove(&(old.gossip_order, vm.clone()));
                let first_seen = !old.was_seen() && row.was_seen();
                first_seen || old.status != row.status || old.place != row.place
            }
            None => true,
        };
        self.version += u64::from(view_changed);
        self.by_last_checked.insert((row.last_checked, vm.clone()));
        row.gossip_order = self.next_order(0);
        self.gossip_queue.insert((row.gossip_order, vm.clone()));
        self.rows.insert(vm, row);
    }

    fn next_order(&mut self, sent: u32) -> GossipOrder {
        self.sequence += 1;
        let sequence = self.sequence;
        GossipOrder { sent, sequence }
    }

    /// Adds a row for a node on the VM list, or sets the location of an
    /// existing row.
    pub fn add_listed(&mut self, vm: &VmId, place: Option<Place>, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            let never_seen = !row.was_seen();
            if place.is_some() && (row.place.is_none() || never_seen && row.place != place) {
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
            heartbeat: Heartbeat::default(),
            place,
        };
        self.merge(fact, now);
        // Other nodes read the VM list themselves.
        if let Some(row) = self.rows.get(vm) {
            self.gossip_queue.remove(&(row.gossip_order, vm.clone()));
        }
    }

    /// Returns a node that has been seen.
    pub fn get(&self, vm: &VmId) -> Option<&MemberRow> {
        self.rows.get(vm).filter(|row| row.was_seen())
    }

    /// Returns all nodes that have been seen.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &MemberRow)> {
        self.rows.iter().filter(|(_, row)| row.was_seen())
    }

    /// Returns all nodes, including those that have never been seen.
    pub fn rows(&self) -> &BTreeMap<VmId, MemberRow> {
        &self.rows
    }

    /// Returns the row of a node, even if it has never been seen, to update its
    /// probe state.
    pub fn row_mut(&mut self, vm: &VmId) -> Option<&mut MemberRow> {
        self.rows.get_mut(vm)
    }

    /// Returns a number that changes with every change of a node's location or
    /// status.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the row of a node as a fact.
    pub fn fact(&self, vm: &VmId, with_place: bool) -> Option<MemberFact> {
        let row = self.rows.get(vm)?;
        Some(MemberFact {
            vm: vm.clone(),
            incarnation: row.incarnation,
            beat: row.beat,
            status: row.status,
            heartbeat: row.heartbeat.clone(),
            place: row.place.clone().filter(|_| with_place),
        })
    }

    /// Removes and returns the next facts to gossip. Returns at most `max`
    /// facts; each is sent at most `sends` times after it changed.
    pub fn take_gossip(&mut self, max: usize, sends: u32) -> Vec<MemberFact> {
        let sent: Vec<(GossipOrder, VmId)> = self.gossip_queue.iter().take(max).cloned().collect();
        for (queued, vm) in &sent {
            self.gossip_queue.remove(&(*queued, vm.clone()));
            let queued = self.next_order(queued.sent + 1);
            if let Some(row) = self.rows.get_mut(vm) {
                row.gossip_order = queued;
                if queued.sent < sends {
                    self.gossip_queue.insert((queued, vm.clone()));
                }
            }
        }
        sent.iter()
            .filter_map(|(_, vm)| self.fact(vm, false))
            .collect()
    }

    /// Returns the node that was neither seen nor checked for the longest time.
    pub fn oldest(&self) -> Option<(Timestamp, VmId)> {
        self.by_last_checked.first().cloned()
    }

    /// Records that a node was checked, which moves it to the end of the order.
    pub fn mark_checked(&mut self, vm: &VmId, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            self.by_last_checked.remove(&(row.last_checked, vm.clone()));
            row.last_checked = now;
            self.by_last_checked.insert((now, vm.clone()));
        }
    }

    /// Restarts the timeouts of all nodes, after this process was paused.
    pub fn reset_timeouts(&mut self, now: Timestamp) {
        self.by_last_checked.clear();
        for (vm, row) in &mut self.rows {
            row.last_checked = now;
            row.status_changed_at = now;
            row.missed_rounds = 0;
            self.by_last_checked.insert((now, vm.clone()));
        }
    }

    /// Removes a node.
    pub fn remove(&mut self, vm: &VmId) {
        if let Some(row) = self.rows.remove(vm) {
            self.by_last_checked.remove(&(row.last_checked, vm.clone()));
            self.gossip_queue.remove(&(row.gossip_order, vm.clone()));
            self.version += 1;
        }
    }
}
