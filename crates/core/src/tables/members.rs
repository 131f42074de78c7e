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
struct Queued {
    sent: u32,
    turn: u64,
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
    pub said: Heartbeat,
    /// Where it is, in its own words or else by the VM list.
    pub place: Option<Place>,
    /// When its last beat was heard.
    pub heard: Timestamp,
    /// When its status changed.
    pub changed: Timestamp,
    /// Rounds of probes that brought no answer.
    pub missed: u32,
    /// Nodes that asked for a probe of it and wait for the answer.
    #[serde(skip)]
    pub relays: BTreeSet<VmId>,
    #[serde(skip)]
    queued: Queued,
    #[serde(skip)]
    checked: Timestamp,
}

impl MemberRow {
    /// Tells whether the node was heard in any life.
    pub fn was_heard(&self) -> bool {
        self.incarnation > Incarnation(0)
    }

    /// Tells whether the node is there to stay, ready for callers or not.
    pub fn stays(&self) -> bool {
        self.was_heard() && self.status == MemberStatus::Alive && !self.said.draining
    }

    /// Tells whether callers may be sent there.
    pub fn serves(&self) -> bool {
        self.stays() && self.said.ready
    }

    /// Returns its failure domain, if it is known.
    pub fn failure_domain(&self) -> Option<&FailureDomain> {
        self.place.as_ref().map(|place| &place.failure_domain)
    }

    fn rank(&self) -> (Incarnation, u32, MemberStatus) {
        (self.incarnation, self.beat, self.status)
    }
}

/// What a fact did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// It was known, or an older one.
    Old,
    /// The node said something new of itself.
    Beat,
    /// Its life, its status or its shutdown changed: others are told at once.
    Changed,
}

/// Other entry nodes by VM.
#[derive(Debug, Default, Serialize)]
pub struct MemberTable {
    rows: BTreeMap<VmId, MemberRow>,
    /// Facts to send along, those that were sent least first.
    #[serde(skip)]
    news: BTreeSet<(Queued, VmId)>,
    /// Counts the turns that were given.
    #[serde(skip)]
    turns: u64,
    /// Rows by when they were heard or looked at.
    #[serde(skip)]
    ages: BTreeSet<(Timestamp, VmId)>,
    /// Counts changes of who is there, so that what is derived is renewed.
    #[serde(skip)]
    version: u64,
}

impl MemberTable {
    /// Takes in a fact, if it is greater than the one that is known.
    pub fn merge(&mut self, fact: MemberFact, now: Timestamp) -> Merged {
        let MemberFact {
            vm,
            incarnation,
            beat,
            status,
            heartbeat: said,
            place,
        } = fact;
        let row = MemberRow {
            incarnation,
            beat,
            status,
            said,
            place,
            heard: now,
            changed: now,
            missed: 0,
            relays: BTreeSet::new(),
            queued: Queued::default(),
            checked: now,
        };
        let Some(old) = self.rows.get(&vm) else {
            self.insert(vm, row);
            return Merged::Changed;
        };
        if old.rank() >= row.rank() {
            return Merged::Old;
        }
        let mut row = MemberRow {
            missed: old.missed,
            relays: old.relays.clone(),
            ..row
        };
        let same_life = old.incarnation == row.incarnation;
        if row.place.is_none() && (same_life || !old.was_heard()) {
            row.place = old.place.clone();
        }
        if row.status == MemberStatus::Alive {
            row.missed = 0;
        } else {
            row.heard = old.heard;
            row.checked = old.checked;
        }
        let same = same_life
            && old.status == row.status
            && old.said.draining == row.said.draining
            && old.said.ready == row.said.ready
            && old.place == row.place;
        if same {
            row.changed = old.changed;
        }
        self.insert(vm, row);
        if same { Merged::Beat } else { Merged::Changed }
    }

    fn insert(&mut self, vm: VmId, mut row: MemberRow) {
        let moved = match self.rows.get(&vm) {
            Some(old) => {
                self.ages.remove(&(old.checked, vm.clone()));
                self.news.remove(&(old.queued, vm.clone()));
                let first = !old.was_heard() && row.was_heard();
                first || old.status != row.status || old.place != row.place
            }
            None => true,
        };
        self.version += u64::from(moved);
        self.ages.insert((row.checked, vm.clone()));
        row.queued = self.turn(0);
        self.news.insert((row.queued, vm.clone()));
        self.rows.insert(vm, row);
    }

    fn turn(&mut self, sent: u32) -> Queued {
        self.turns += 1;
        let turn = self.turns;
        Queued { sent, turn }
    }

    /// Makes a row for a node that the VM list shows, or fills in its place.
    pub fn listed(&mut self, vm: &VmId, place: Option<Place>, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            let unheard = !row.was_heard();
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
            heartbeat: Heartbeat::default(),
            place,
        };
        self.merge(fact, now);
        // Others read the list themselves.
        if let Some(row) = self.rows.get(vm) {
            self.news.remove(&(row.queued, vm.clone()));
        }
    }

    /// Returns a node that was heard.
    pub fn get(&self, vm: &VmId) -> Option<&MemberRow> {
        self.rows.get(vm).filter(|row| row.was_heard())
    }

    /// Returns all nodes that were heard.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &MemberRow)> {
        self.rows.iter().filter(|(_, row)| row.was_heard())
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
            heartbeat: row.said.clone(),
            place: row.place.clone().filter(|_| with_place),
        })
    }

    /// Takes the facts to send along next: at most `max`, each for at most
    /// `sends` times since it changed.
    pub fn take_news(&mut self, max: usize, sends: u32) -> Vec<MemberFact> {
        let taken: Vec<(Queued, VmId)> = self.news.iter().take(max).cloned().collect();
        for (queued, vm) in &taken {
            self.news.remove(&(*queued, vm.clone()));
            let queued = self.turn(queued.sent + 1);
            if let Some(row) = self.rows.get_mut(vm) {
                row.queued = queued;
                if queued.sent < sends {
                    self.news.insert((queued, vm.clone()));
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
        self.ages.first().cloned()
    }

    /// Notes that a node was looked at, so that the next oldest one comes up.
    pub fn checked(&mut self, vm: &VmId, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            self.ages.remove(&(row.checked, vm.clone()));
            row.checked = now;
            self.ages.insert((now, vm.clone()));
        }
    }

    /// Gives all nodes their time anew, after this process was paused.
    pub fn excuse_all(&mut self, now: Timestamp) {
        self.ages.clear();
        for (vm, row) in &mut self.rows {
            row.checked = now;
            row.changed = now;
            row.missed = 0;
            self.ages.insert((now, vm.clone()));
        }
    }

    /// Removes a row.
    pub fn forget(&mut self, vm: &VmId) {
        if let Some(row) = self.rows.remove(vm) {
            self.ages.remove(&(row.checked, vm.clone()));
            self.news.remove(&(row.queued, vm.clone()));
            self.version += 1;
        }
    }
}
