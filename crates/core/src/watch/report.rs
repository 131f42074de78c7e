//! What is told of one backend server, small enough to be told to all nodes.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    config::Carries,
    ids::{AdapterId, LayerRange, ModelId, VersionId, VmId},
    orders::Held,
    rendezvous,
    time::Timestamp,
};

/// Orders the reports of one backend server.
///
/// A watcher numbers a report with the milliseconds of its clock, or with one
/// more than the newest report that it knows if that is higher. So the number
/// rises also when another node takes the watch over or starts anew.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sequence(pub u64);

/// Names one life of a backend server: a hash of its VM and its address.
///
/// A report of an ended life names no backend server that is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey([u8; 6]);

impl ServerKey {
    /// Makes the key of the life of a backend server at an address.
    pub fn new(vm: &VmId, address: SocketAddr) -> Self {
        let [a, b, c, d, e, f, ..] = hash(vm.as_str(), &address.to_string()).to_le_bytes();
        Self([a, b, c, d, e, f])
    }
}

/// Hashes of what an engine holds, loaded.
///
/// The receiver compares them with its own configuration, so a watcher with
/// another revision misleads nobody.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldDigest {
    /// Of model, version and layers; zero while weights are on their way.
    pub weights: [u8; 4],
    /// Of the adapters; zero for none.
    pub adapters: u16,
}

impl HeldDigest {
    /// Returns the hashes of what an engine says that it holds.
    pub fn from_held(held: &Held) -> Self {
        if held.loading {
            return Self::default();
        }
        Self::new(&held.model, &held.version, held.layers, &held.adapters)
    }

    /// Returns the hashes of what the configuration says; absent for plain
    /// services.
    pub fn from_carries(carries: &Carries) -> Option<Self> {
        match carries {
            Carries::Layers {
                model,
                version,
                layers,
                adapters,
            } => Some(Self::new(model, version, *layers, adapters)),
            Carries::Service(_) => None,
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
            // Zero stands for weights that are on their way.
            weights: [a | 1, b, c, d],
            adapters,
        }
    }
}

fn hash(first: &str, second: &str) -> u64 {
    rendezvous::score(first, second)
}

/// Steps that wait at an engine, by powers of two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueLevel(u8);

impl QueueLevel {
    /// Returns the level of a number of waiting steps.
    pub fn new(queued: u32) -> Self {
        Self((u32::BITS - queued.leading_zeros()) as u8)
    }

    /// Returns the smallest number of waiting steps of the level.
    pub fn queued(self) -> u32 {
        match self.0 {
            0 => 0,
            level => 1_u32.checked_shl(u32::from(level) - 1).unwrap_or(u32::MAX),
        }
    }
}

/// What a report says. Of two with one number the greater one holds, so that
/// nodes agree whatever the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportBody {
    /// Orders the reports.
    pub seq: Sequence,
    /// What the engine holds.
    pub holds: HeldDigest,
    /// Steps that wait there, if the watcher read it.
    pub queue: Option<QueueLevel>,
}

/// A report as one node keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Report {
    /// What it says.
    #[serde(rename = "said")]
    pub body: ReportBody,
    /// When that was so, on this node's clock.
    pub at: Timestamp,
}

impl Report {
    /// Takes over another report of the same life unless it is an older one;
    /// returns whether this one changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let newer = (other.body, other.at) > (self.body, self.at);
        if newer {
            *self = other;
        }
        newer
    }
}
