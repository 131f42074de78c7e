//! What a node knows of the store's contents, and what a hub passes on of it.
//!
//! Ages travel instead of moments, since clocks differ: a leaf takes what it
//! is told to be as old as the hub says, counted from the moment at which the
//! leaf asked.

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

/// Reads of the registry whose changes a node can pass on. A leaf that has
/// missed more, about a minute, reads the store itself.
const READS_KEPT: usize = 64;

/// How far the registry has been read, and what changed lately.
#[derive(Debug, Default)]
pub(super) struct RegistryView {
    /// Where the next read begins.
    end: Option<u64>,
    /// When the newest read was sent.
    sent: Option<Timestamp>,
    /// From where on all changes are in `reads`.
    floor: u64,
    /// Servers that changed, by the end of the read that showed it.
    reads: VecDeque<(u64, BTreeSet<VmId>)>,
}

impl RegistryView {
    fn note(&mut self, sent: Timestamp, end: u64, changed: BTreeSet<VmId>) {
        if self.end.is_none() {
            self.floor = end;
        } else if !changed.is_empty() {
            self.reads.push_back((end, changed));
        }
        self.end = Some(end);
        self.sent = self.sent.max(Some(sent));
        if self.reads.len() > READS_KEPT
            && let Some((end, _)) = self.reads.pop_front()
        {
            self.floor = end;
        }
    }

    /// Returns the servers that changed after `known`, unless that was too
    /// long ago.
    fn changed_since(&self, known: u64) -> Option<BTreeSet<&VmId>> {
        let reads = self.reads.iter().filter(|(end, _)| *end > known);
        (known >= self.floor).then(|| reads.flat_map(|(_, changed)| changed).collect())
    }
}

/// What a hub tells a leaf about the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreView {
    /// The version of the configuration in force, and the age of the proof
    /// that it is the newest one.
    pub configuration: Option<(u64, Duration)>,
    /// The registry, if the hub can tell what the leaf has missed.
    pub registry: Option<RegistryUpdate>,
}

/// The registry's changes since what a leaf knew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Where the hub reads on.
    pub end: u64,
    /// Time since the hub sent its newest read.
    pub age: Duration,
    /// The servers that changed; `None` says that one is gone.
    pub changes: Vec<(VmId, Option<Server>)>,
}

/// What a leaf learned from a hub.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct StoreViewChanges {
    /// Whether the hub knows a newer configuration, which is to be read.
    pub newer_configuration: bool,
    /// The servers that changed.
    pub changes: Vec<(VmId, ServerChange)>,
}

impl Gateway {
    /// Notes that the registry was read up to `end` by a read that was sent at
    /// `sent`, after its changes were taken in.
    pub fn record_registry_read(&mut self, sent: Timestamp, end: u64) {
        let changed = self.servers.take_changed();
        self.registry.note(sent, end, changed);
    }

    /// Returns where the next read of the registry begins.
    pub fn registry_end(&self) -> Option<u64> {
        self.registry.end
    }

    /// Returns the time since the newest read of the registry was sent, by this
    /// node or by the hub that told it.
    pub fn registry_age(&self, now: Timestamp) -> Option<Duration> {
        self.registry.sent.map(|sent| now.since(sent))
    }

    /// Returns what a leaf should know that has read the registry up to `known`.
    pub fn store_view(&self, now: Timestamp, known: Option<u64>) -> StoreView {
        let version = self.configuration().map(|c| c.version);
        let changed = known.and_then(|known| self.registry.changed_since(known));
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

    /// Takes in what a hub answered to a question that was sent at `asked`.
    pub fn apply_store_view(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        view: StoreView,
    ) -> StoreViewChanges {
        let mut learned = StoreViewChanges::default();
        if let Some((version, age)) = view.configuration {
            let present = self.configuration().map(|c| c.version);
            learned.newer_configuration = present < Some(version);
            if present == Some(version) {
                self.confirm_configuration(asked - age);
            }
        }
        let update = view.registry.filter(|u| Some(u.end) >= self.registry.end);
        let Some(update) = update else {
            return learned;
        };
        for (id, entry) in update.changes {
            let change = self.set_server(now, &id, entry);
            if change != ServerChange::None {
                learned.changes.push((id, change));
            }
        }
        self.record_registry_read(asked - update.age, update.end);
        learned
    }
}
