//! Assigns the nodes' roles as hubs and leaves.
//!
//! While there are few nodes, each one reads the store and reports its load to
//! all others. The reads grow linearly with the number of nodes and the reports
//! quadratically. With many nodes, some of them therefore become hubs, and
//! every other node is a leaf, which exchanges load and store updates with one
//! hub. See `docs/design/platform.md`.

use crate::{ids::VmId, rendezvous};

/// Number of nodes up to which every node is a hub. With 12 nodes, each one
/// sends 55 reports per second, which costs 0.1 % of a core
/// (`docs/CAPACITY.md`).
pub const MAX_MESH_NODES: usize = 12;
/// Leaves per hub, on average. At the report interval they cause 80 exchanges
/// per second.
const LEAVES_PER_HUB: usize = 16;
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

/// Returns the role of the node `own` among all members. A node that has no
/// member list, or is not in it yet, reads the store itself.
pub fn hub_role<'a>(members: impl Iterator<Item = &'a VmId>, own: &VmId) -> HubRole {
    let mut members: Vec<&VmId> = members.collect();
    let is_member = members.contains(&own);
    let has_leaves = is_member && members.len() > MAX_MESH_NODES;
    if members.len() > MAX_MESH_NODES {
        let hubs = members.len().div_ceil(LEAVES_PER_HUB).max(MIN_HUBS);
        members.sort_by_key(|vm| rendezvous::score(HUB_RANKING_KEY, vm.as_str()));
        members.truncate(hubs);
    }
    if members.contains(&own) || !is_member {
        let others = members.into_iter().filter(|vm| *vm != own);
        return HubRole::Hub {
            others: others.cloned().collect(),
            has_leaves,
        };
    }
    members.sort_by_key(|vm| rendezvous::score(own.as_str(), vm.as_str()));
    HubRole::Leaf {
        hubs: members.into_iter().cloned().collect(),
    }
}
