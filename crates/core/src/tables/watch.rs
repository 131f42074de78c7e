//! This node's part in the watch over backend servers.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{ModelId, VersionId, VmId},
    time::Timestamp,
    watch::{Report, ServerKey, WatchAssignment},
};

/// A backend server that this node watches.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Watched {
    /// When it is read next.
    pub due: Timestamp,
    /// Reads that were sent.
    pub reads: u64,
    /// When this node told of it last.
    pub told: Timestamp,
    /// Since when what is known differs from what this node reads.
    pub differs: Option<Timestamp>,
}

/// How soon a report is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// What the engine holds changed.
    Holds,
    /// The same once more, through another node, in case the first was lost.
    Again,
    /// Its queue changed.
    Queue,
    /// Nothing changed for long.
    Refresh,
}

/// Backend servers whose reports are to be told, the most urgent first and
/// among equals those that wait longest.
#[derive(Debug, Default, Serialize)]
pub struct Outbox {
    waiting: BTreeMap<VmId, (Urgency, u64)>,
    #[serde(skip)]
    order: BTreeSet<(Urgency, u64, VmId)>,
    #[serde(skip)]
    turns: u64,
}

impl Outbox {
    /// Puts a backend server in; one that waits already takes the place that
    /// is more urgent.
    pub fn push(&mut self, vm: &VmId, urgency: Urgency) {
        let old = self.waiting.get(vm).copied();
        if old.is_some_and(|(old, _)| old <= urgency) {
            return;
        }
        self.remove(vm);
        self.turns += 1;
        self.waiting.insert(vm.clone(), (urgency, self.turns));
        self.order.insert((urgency, self.turns, vm.clone()));
    }

    /// Takes the next one out.
    pub fn pop(&mut self) -> Option<(Urgency, VmId)> {
        let (urgency, _, vm) = self.order.pop_first()?;
        self.waiting.remove(&vm);
        Some((urgency, vm))
    }

    /// Takes one out.
    pub fn remove(&mut self, vm: &VmId) {
        if let Some((urgency, turn)) = self.waiting.remove(vm) {
            self.order.remove(&(urgency, turn, vm.clone()));
        }
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Counts of the watch.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WatchCounters {
    /// Reads of engines.
    pub reads: u64,
    /// Reads of engines that requests wait for.
    pub doubts: u64,
    /// Reads that were not answered.
    pub unanswered: u64,
    /// Answers and reports of ended lives, or of backend servers that this
    /// node doesn't know.
    pub unknown: u64,
    /// Reports that this node made.
    pub told: u64,
    /// Reports of other nodes that were new here.
    pub heard: u64,
    /// Reports of other nodes that were older than what was known.
    pub old: u64,
    /// Times that the second watcher told what the first one should have.
    pub took_over: u64,
}

/// All that this node keeps for the watch; what is known of each backend
/// server stands in its row.
#[derive(Debug, Default, Serialize)]
pub struct WatchTable {
    /// Who watches whom.
    #[serde(skip)]
    pub shares: WatchAssignment,
    /// The backend servers that this node watches.
    pub watched: BTreeMap<VmId, Watched>,
    /// The same by when they are read next.
    #[serde(skip)]
    pub due: BTreeSet<(Timestamp, VmId)>,
    /// Engines by the key of their life.
    #[serde(skip)]
    pub by_key: BTreeMap<ServerKey, VmId>,
    /// The keys of engines.
    #[serde(skip)]
    pub keys: BTreeMap<VmId, ServerKey>,
    /// Whether the own share has to be looked at anew.
    #[serde(skip)]
    pub moved: bool,
    /// What is to be told.
    pub outbox: Outbox,
    /// Reports to pass on to the own failure domain.
    #[serde(skip)]
    pub relayed: BTreeMap<ServerKey, Report>,
    /// When messages were sent last.
    pub flushed: Timestamp,
    /// Rounds of messages, by which those who pass them on change.
    pub flushes: u64,
    /// Versions whose requests wait until a report changes.
    pub held_back: BTreeSet<(ModelId, VersionId)>,
    /// From when on this node may ask engines that it doubts.
    pub doubt_due: Timestamp,
    /// Reports that may be told now.
    pub allowance: f64,
    /// What was counted.
    pub counters: WatchCounters,
}
