//! The node's view of the store's contents, and the updates that a hub sends to
//! its leaves.
//!
//! A hub reads the store for other nodes, its leaves. Updates carry ages
//! instead of timestamps because the nodes' clocks differ. A leaf counts each
//! age back from the time at which it sent its request, so that data never
//! appears newer than it is.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    servers::{Server, ServerChange},
    state::Gateway,
};
use crate::{ids::VmId, time::Timestamp};

/// Registry reads whose changes a node keeps for its leaves. They cover about a
/// minute; a leaf that has missed more reads the store itself.
const MAX_READS_KEPT: usize = 64;

/// The position up to which the registry was read, and the recent changes.
#[derive(Debug, Default)]
pub(super) struct RegistryHistory {
    /// Offset at which the next read starts.
    end: Option<u64>,
    /// Time at which the latest read was sent.
    sent: Option<Timestamp>,
    /// Offset from which `reads` contains all changes.
    floor: u64,
    /// Changed servers, with the end offset of the read that returned them.
    reads: VecDeque<(u64, BTreeSet<VmId>)>,
}

impl RegistryHistory {
    fn record_read(&mut self, sent: Timestamp, end: u64, changed: BTreeSet<VmId>) {
        if self.end.is_none() {
            self.floor = end;
        } else if !changed.is_empty() {
            self.reads.push_back((end, changed));
        }
        self.end = Some(end);
        self.sent = self.sent.max(Some(sent));
        if self.reads.len() > MAX_READS_KEPT
            && let Some((end, _)) = self.reads.pop_front()
        {
            self.floor = end;
        }
    }

    /// Returns the servers that changed after the offset `read_to`, or `None`
    /// if the history does not reach back that far.
    fn changed_since(&self, read_to: u64) -> Option<BTreeSet<&VmId>> {
        let reads = self.reads.iter().filter(|(end, _)| *end > read_to);
        (read_to >= self.floor).then(|| reads.flat_map(|(_, changed)| changed).collect())
    }
}

/// A hub's update to a leaf about the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreView {
    /// The version of the active configuration and the time since it was
    /// confirmed to be the newest.
    pub configuration: Option<(u64, Duration)>,
    /// The registry changes that the leaf has not received, or `None` if the
    /// hub cannot determine them.
    pub registry: Option<RegistryUpdate>,
}

/// Registry changes since the offset that a leaf has read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Offset at which the hub's next read starts.
    pub end: u64,
    /// Time since the hub sent its latest read.
    pub age: Duration,
    /// The changed servers; `None` means that the server was removed.
    pub changes: Vec<(VmId, Option<Server>)>,
}

/// The effects of a hub's update on a leaf.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct StoreViewChanges {
    /// Whether the hub has a newer configuration, which the leaf has to read.
    pub newer_configuration: bool,
    /// The servers that changed.
    pub changes: Vec<(VmId, ServerChange)>,
}

impl Gateway {
    /// Records a registry read up to the offset `end` that was sent at `sent`.
    /// Call it after applying the changes that the read returned.
    pub fn record_registry_read(&mut self, sent: Timestamp, end: u64) {
        let changed = self.servers.take_changed();
        self.registry.record_read(sent, end, changed);
    }

    /// Returns the offset at which the next registry read starts.
    pub fn registry_end(&self) -> Option<u64> {
        self.registry.end
    }

    /// Returns the time since the latest registry read was sent, whether by
    /// this node or by the hub that sent the update.
    pub fn registry_age(&self, now: Timestamp) -> Option<Duration> {
        self.registry.sent.map(|sent| now.since(sent))
    }

    /// Returns an update for a leaf that has read the registry up to the offset
    /// `read_to`.
    pub fn store_view(&self, now: Timestamp, read_to: Option<u64>) -> StoreView {
        let version = self.configuration().map(|c| c.version);
        let changed = read_to.and_then(|read_to| self.registry.changed_since(read_to));
        let update = || {
            let entry = |id: &VmId| self.servers.get(id).map(|row| row.entry.clone());
            let changes = changed?.into_iter().map(|id| (id.clone(), entry(id)));
            Some(RegistryUpdate {
                end: self.registry.end?,
                age: self.registry_age(now)?,
                changes: changes.collect(),
            })
        };
        StoreView {
            configuration: version.zip(self.confirmation_age(now)),
            registry: update(),
        }
    }

    /// Applies a hub's update in response to a request that was sent at
    /// `requested`.
    pub fn apply_store_view(
        &mut self,
        now: Timestamp,
        requested: Timestamp,
        view: StoreView,
    ) -> StoreViewChanges {
        let mut applied = StoreViewChanges::default();
        if let Some((version, age)) = view.configuration {
            let current = self.configuration().map(|c| c.version);
            applied.newer_configuration = current < Some(version);
            if current == Some(version) {
                self.confirm_configuration(requested - age);
            }
        }
        let update = view.registry.filter(|u| Some(u.end) >= self.registry.end);
        let Some(update) = update else {
            return applied;
        };
        for (id, entry) in update.changes {
            let change = self.set_server(now, &id, entry);
            if change != ServerChange::None {
                applied.changes.push((id, change));
            }
        }
        self.record_registry_read(requested - update.age, update.end);
        applied
    }
}
