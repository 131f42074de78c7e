//! Assigns the nodes' roles as hubs and leaves.
//!
//! While there are few nodes, each one reads the store and reports its load to
//! all others. The reads grow linearly with the number of nodes and the reports
//! quadratically. With many nodes, some of them therefore become hubs, and
//! every other node is a leaf, which exchanges load and store updates with one
//! hub. See `docs/design/platform.md`.

use super::members::{Member, Millicores};
use crate::{ids::VmId, rendezvous};

/// Number of nodes up to which every node is a hub. With 12 nodes, each one
/// sends 55 reports per second, which costs 0.1 % of a core
/// (`docs/CAPACITY.md`).
pub const MAX_MESH_NODES: usize = 12;
/// Nodes per hub, on average. At the report interval its leaves cause 115
/// exchanges per second.
const NODES_PER_HUB: usize = 24;
/// Minimum number of hubs, so that the failure of one or two leaves another
/// one.
const MIN_HUBS: usize = 3;
/// Rendezvous hashing key by which the nodes are ranked to elect the hubs.
const HUB_RANKING_KEY: &str = "hubs";

/// A node's role in the exchange of load and store updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HubRole {
    /// Reads the store and exchanges load reports with the other hubs.
    Hub {
        /// The other hubs.
        others: Vec<VmId>,
        /// Whether other nodes depend on the reads of this node.
        has_leaves: bool,
    },
    /// Sends requests to the first of these hubs that responds.
    Leaf {
        /// The hubs in this node's order of preference.
        hubs: Vec<VmId>,
    },
}

impl Default for HubRole {
    fn default() -> Self {
        Self::Hub {
            others: Vec::new(),
            has_leaves: false,
        }
    }
}

impl HubRole {
    /// Returns the name of the role in logs and in the state dump.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Hub { .. } => "hub",
            Self::Leaf { .. } => "leaf",
        }
    }
}

/// Returns the role of the node `own` among all members.
///
/// Hubs are the nodes with the largest processor shares, since a hub works for
/// many leaves. A leaf prefers the hubs of its own failure domain. A node that is
/// not in the list reads the store itself if the list is short, and is a leaf
/// otherwise: the store lists only nodes that own a partition.
pub fn hub_role(members: &[Member], own: &Member) -> HubRole {
    let mut hubs = elect_hubs(members);
    let is_hub = hubs.iter().any(|hub| hub.vm == own.vm);
    if is_hub || members.len() <= MAX_MESH_NODES {
        let others = hubs.into_iter().map(|hub| &hub.vm);
        return HubRole::Hub {
            others: others.filter(|vm| **vm != own.vm).cloned().collect(),
            has_leaves: members.len() > MAX_MESH_NODES,
        };
    }
    hubs.sort_by_key(|hub| {
        let is_remote = hub.failure_domain != own.failure_domain;
        let score = rendezvous::score(own.vm.as_str(), hub.vm.as_str());
        (is_remote, score)
    });
    HubRole::Leaf {
        hubs: hubs.into_iter().map(|hub| hub.vm.clone()).collect(),
    }
}

fn elect_hubs(members: &[Member]) -> Vec<&Member> {
    let mut hubs: Vec<&Member> = members.iter().collect();
    if members.len() <= MAX_MESH_NODES {
        return hubs;
    }
    let largest = members.iter().map(|member| member.processor).max();
    let large = Millicores(largest.map_or(0, |largest| largest.0 / 2));
    hubs.sort_by_key(|member| {
        let score = rendezvous::score(HUB_RANKING_KEY, member.vm.as_str());
        (member.processor < large, score)
    });
    hubs.truncate(members.len().div_ceil(NODES_PER_HUB).max(MIN_HUBS));
    hubs
}
