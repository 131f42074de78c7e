//! The report about one backend server, small enough to be sent to all nodes.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    config::Workload,
    ids::{AdapterId, LayerRange, ModelId, VersionId, VmId},
    orders::EngineState,
    rendezvous,
    time::Timestamp,
};

/// Orders the reports of one backend server.
///
/// A watcher uses the milliseconds of its clock as the number, or one more than
/// the newest report it has if that is greater. The number therefore increases
/// even if another node takes over the watch or a watcher restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sequence(pub u64);

/// Identifies a backend server at one address, by a hash of VM and address.
///
/// A server that restarts at another address gets another key, so late reports
/// about the previous one match no server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey([u8; 6]);

impl ServerKey {
    /// Returns the key of the backend server on `vm` at `address`.
    pub fn new(vm: &VmId, address: SocketAddr) -> Self {
        let [a, b, c, d, e, f, ..] = hash(vm.as_str(), &address.to_string()).to_le_bytes();
        Self([a, b, c, d, e, f])
    }
}

/// Hashes of the weights and adapters that an engine has loaded.
///
/// The receiver compares them with its own configuration, so a report from a
/// watcher with another configuration revision is still interpreted correctly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldDigest {
    /// Hash of model, version and layers; zero while weights are being loaded.
    pub weights: [u8; 4],
    /// Hash of the adapters; zero if there are none.
    pub adapters: u16,
}

impl HeldDigest {
    /// Returns the hashes of what an engine reports that it holds.
    pub fn from_held(held: &EngineState) -> Self {
        if held.loading {
            return Self::default();
        }
        Self::new(&held.model, &held.version, held.layers, &held.adapters)
    }

    /// Returns the hashes of what the configuration assigns to an engine; `None`
    /// for plain services.
    pub fn from_carries(carries: &Workload) -> Option<Self> {
        match carries {
            Workload::Layers {
                model,
                version,
                layers,
                adapters,
            } => Some(Self::new(model, version, *layers, adapters)),
            Workload::Service(_) => None,
        }
    }

    fn new(
        model: &ModelId,
        version: &VersionId,
        layers: LayerRange,
        adapters: &BTreeSet<AdapterId>,
    ) -> Self {
        let [a, b, c, d, ..] =
            hash(&format!("{model}/{version}"), &layers.to_string()).to_le_bytes();
        let names: Vec<&str> = adapters.iter().map(AdapterId::as_str).collect();
        let adapters = match names.is_empty() {
            true => 0,
            false => hash("adapters", &names.join("/")) as u16 | 1,
        };
        Self {
            // Sets the lowest bit, because zero means that weights are being loaded.
            weights: [a | 1, b, c, d],
            adapters,
        }
    }
}

fn hash(first: &str, second: &str) -> u64 {
    rendezvous::score(first, second)
}

/// Number of steps that wait at an engine, rounded down to a power of two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueLevel(u8);

impl QueueLevel {
    /// Returns the level for a number of waiting steps.
    pub fn new(queued: u32) -> Self {
        Self((u32::BITS - queued.leading_zeros()) as u8)
    }

    /// Returns the smallest number of waiting steps in the level.
    pub fn queued(self) -> u32 {
        match self.0 {
            0 => 0,
            level => 1_u32.checked_shl(u32::from(level) - 1).unwrap_or(u32::MAX),
        }
    }
}

/// Content of a report. If two reports have the same sequence number, the
/// greater one wins, so nodes agree regardless of the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportBody {
    /// Orders the reports about one server.
    pub seq: Sequence,
    /// Hashes of what the engine holds.
    pub holds: HeldDigest,
    /// Number of steps that wait at the engine; `None` if the watcher did not
    /// read it.
    pub queue: Option<QueueLevel>,
}

/// A report as a node stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Content of the report.
    #[serde(rename = "said")]
    pub body: ReportBody,
    /// Time of the reading, on this node's clock.
    pub at: Timestamp,
}

impl Report {
    /// Replaces this report by another one of the same server key if that one is
    /// newer. Returns whether this report changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let newer = (other.body, other.at) > (self.body, self.at);
        if newer {
            *self = other;
        }
        newer
    }
}
