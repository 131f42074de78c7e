//! This node's part of the watch over backend servers.
//!
//! Each engine is read periodically by two nodes, its watchers, which report
//! changes to the other nodes.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{ModelId, VersionId, VmId},
    time::Timestamp,
    watch::{Report, ServerKey, WatchAssignment},
};

/// A backend server that this node watches.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct WatchedBackend {
    /// When to read it next.
    pub due: Timestamp,
    /// Number of reads sent.
    pub reads: u64,
    /// When this node last reported on it.
    #[serde(rename = "told")]
    pub last_report: Timestamp,
    /// Since when the latest report differs from what this node reads.
    #[serde(rename = "differs")]
    pub differs_since: Option<Timestamp>,
}

/// The urgency of a report, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// The engine's layers or adapters changed.
    Holds,
    /// A repetition of such a report through another node, in case the first
    /// message was lost.
    Again,
    /// The engine's queue changed.
    Queue,
    /// Nothing changed, but the last report must be repeated before it becomes
    /// stale.
    Refresh,
}

/// Backend servers with reports to send, ordered by urgency and then by time in
/// the queue.
#[derive(Debug, Default, Serialize)]
pub struct Outbox {
    waiting: BTreeMap<VmId, (Urgency, u64)>,
    #[serde(skip)]
    order: BTreeSet<(Urgency, u64, VmId)>,
    #[serde(skip)]
    sequence: u64,
}

impl Outbox {
    /// Queues a backend server. If it is already queued, the higher urgency
    /// applies.
    pub fn push(&mut self, vm: &VmId, urgency: Urgency) {
        let old = self.waiting.get(vm).copied();
        if old.is_some_and(|(old, _)| old <= urgency) {
            return;
        }
        self.remove(vm);
        self.sequence += 1;
        self.waiting.insert(vm.clone(), (urgency, self.sequence));
        self.order.insert((urgency, self.sequence, vm.clone()));
    }

    /// Removes and returns the next backend server.
    pub fn pop(&mut self) -> Option<(Urgency, VmId)> {
        let (urgency, _, vm) = self.order.pop_first()?;
        self.waiting.remove(&vm);
        Some((urgency, vm))
    }

    /// Removes a backend server.
    pub fn remove(&mut self, vm: &VmId) {
        if let Some((urgency, sequence)) = self.waiting.remove(vm) {
            self.order.remove(&(urgency, sequence, vm.clone()));
        }
    }

    /// Returns the number of queued backend servers.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Counters of the watch.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WatchCounters {
    /// Reads of engines.
    pub reads: u64,
    /// Reads of engines that, according to possibly outdated reports, lack what
    /// queued requests need.
    #[serde(rename = "doubts")]
    pub suspicion_reads: u64,
    /// Reads without an answer.
    pub unanswered: u64,
    /// Answers and reports about earlier incarnations or about unknown backend
    /// servers.
    pub unknown: u64,
    /// Reports created by this node.
    #[serde(rename = "told")]
    pub reports_made: u64,
    /// Reports from other nodes that were applied.
    #[serde(rename = "heard")]
    pub reports_applied: u64,
    /// Reports from other nodes that were dropped as outdated.
    #[serde(rename = "old")]
    pub stale_reports: u64,
    /// Times that the second watcher sent a report because the first one had
    /// not.
    #[serde(rename = "took_over")]
    pub takeovers: u64,
}

/// State of the watch. The latest report about each backend server is in its
/// [`BackendRow`](super::BackendRow).
#[derive(Debug, Default, Serialize)]
pub struct WatchTable {
    /// The assignment of backend servers to watchers.
    #[serde(skip)]
    pub shares: WatchAssignment,
    /// The backend servers that this node watches.
    pub watched: BTreeMap<VmId, WatchedBackend>,
    /// The watched backend servers by the time of their next read.
    #[serde(skip)]
    pub due: BTreeSet<(Timestamp, VmId)>,
    /// Engines by the key of their incarnation.
    #[serde(skip)]
    pub by_key: BTreeMap<ServerKey, VmId>,
    /// The keys of the engines' incarnations.
    #[serde(skip)]
    pub keys: BTreeMap<VmId, ServerKey>,
    /// Whether this node's assignment must be recomputed.
    #[serde(skip)]
    pub share_changed: bool,
    /// Reports to send.
    pub outbox: Outbox,
    /// Reports to relay to the nodes of the local failure domain.
    #[serde(skip)]
    pub relay_queue: BTreeMap<ServerKey, Report>,
    /// When messages were last sent.
    #[serde(rename = "flushed")]
    pub last_flush: Timestamp,
    /// Number of send rounds; it rotates the nodes that relay messages.
    pub flushes: u64,
    /// Versions with requests that are held back until a report changes.
    #[serde(rename = "held_back")]
    pub held_back_versions: BTreeSet<(ModelId, VersionId)>,
    /// The earliest time at which this node may read suspected engines again.
    #[serde(rename = "doubt_due")]
    pub next_suspicion_read: Timestamp,
    /// Number of reports that may be sent now.
    pub allowance: f64,
    /// Counters.
    pub counters: WatchCounters,
}
