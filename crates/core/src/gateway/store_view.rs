//! The node's view of the store's contents, and the updates that a hub sends to
//! its leaves.
//!
//! A hub reads the store for other nodes, its leaves. Updates carry ages
//! instead of timestamps because the nodes' clocks differ. A leaf counts each
//! age back from the time at which it sent its request, so that data never
//! appears newer than it is.
//!
//! The store may return from an older copy of its contents. Its offsets are then
//! given out again, so every position is bound to the era of the store in which
//! it was read; see `docs/design/store-eras.md`.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    num::ParseIntError,
    str::FromStr,
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

/// Counts how often the store has returned from an older copy of its contents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// An offset in a topic. Offsets of different eras are not comparable, but a
/// position of a later era is always the newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    /// The era in which the offset was read.
    pub era: StoreEra,
    /// Offset of the next record to read.
    pub offset: u64,
}

/// The position up to which the registry was read, and the recent changes.
#[derive(Debug, Default)]
pub(super) struct RegistryHistory {
    /// Position at which the next read starts.
    end: Option<StorePosition>,
    /// Time at which the latest read was sent.
    sent: Option<Timestamp>,
    /// Position from which `reads` contains all changes.
    floor: Option<StorePosition>,
    /// Changed servers, with the end of the read that returned them.
    reads: VecDeque<(StorePosition, BTreeSet<VmId>)>,
}

impl RegistryHistory {
    fn record_read(&mut self, sent: Timestamp, end: StorePosition, changed: BTreeSet<VmId>) {
        if self.end.map(|position| position.era) != Some(end.era) {
            self.floor = Some(end);
            self.reads.clear();
        } else if !changed.is_empty() {
            self.reads.push_back((end, changed));
        }
        self.end = Some(end);
        self.sent = self.sent.max(Some(sent));
        if self.reads.len() > MAX_READS_KEPT
            && let Some((end, _)) = self.reads.pop_front()
        {
            self.floor = Some(end);
        }
    }

    /// Returns the servers that changed after the position `read_to`, or `None`
    /// if the history does not reach back that far or belongs to another era.
    fn changed_since(&self, read_to: StorePosition) -> Option<BTreeSet<&VmId>> {
        let floor = self.floor.filter(|floor| floor.era == read_to.era)?;
        let reads = self.reads.iter().filter(|(end, _)| *end > read_to);
        (read_to >= floor).then(|| reads.flat_map(|(_, changed)| changed).collect())
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

/// Registry changes since the position up to which a leaf has read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Position at which the hub's next read starts.
    pub end: StorePosition,
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
    /// Records a registry read up to the position `end` that was sent at `sent`.
    /// Call it after applying the changes that the read returned.
    pub fn record_registry_read(&mut self, sent: Timestamp, end: StorePosition) {
        let changed = self.servers.take_changed();
        self.registry.record_read(sent, end, changed);
    }

    /// Returns the position at which the next registry read starts.
    pub fn registry_end(&self) -> Option<StorePosition> {
        self.registry.end
    }

    /// Returns the time since the latest registry read was sent, whether by
    /// this node or by the hub that sent the update.
    pub fn registry_age(&self, now: Timestamp) -> Option<Duration> {
        self.registry.sent.map(|sent| now.since(sent))
    }

    /// Returns an update for a leaf that has read the registry up to the
    /// position `read_to`.
    pub fn store_view(&self, now: Timestamp, read_to: Option<StorePosition>) -> StoreView {
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
            self.record_configuration_version(now, version);
            if current == Some(version) {
                self.confirm_configuration(requested - age);
            }
        }
        // A leaf enters a new era by a read of its own. The changes that a hub
        // sends are only complete for the era of the leaf's position.
        let update = view.registry.filter(|u| {
            self.registry
                .end
                .is_some_and(|end| end.era == u.end.era && end <= u.end)
        });
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
