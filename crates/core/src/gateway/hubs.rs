//! Decides which nodes read the store for the others and gather their load.
//!
//! Few nodes each read the store and tell every other node their load. Both
//! grow with the number of nodes, the second with its square, so that many
//! nodes share the work: some of them are hubs, and each other node, a leaf,
//! exchanges what it knows with one hub. See `docs/design/platform.md`.

use crate::{ids::VmId, rendezvous};

/// Nodes up to which each of them is a hub: at 12 nodes each one sends 55
/// reports a second, a tenth of a percent of a core (docs/CAPACITY.md).
pub const MESH: usize = 12;
/// Leaves of one hub: 80 exchanges a second at the interval of reports.
const LEAVES: usize = 16;
/// Hubs at least, so that the loss of one or two leaves one.
const LEAST_HUBS: usize = 3;
/// Key under which nodes are ranked.
const RANKING: &str = "hubs";

/// A node's part in the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HubRole {
    /// It reads the store, and exchanges load with these other hubs.
    Hub {
        /// The other hubs.
        others: Vec<VmId>,
        /// Whether other nodes rely on what this one reads.
        has_leaves: bool,
    },
    /// It asks the first of these hubs that answers.
    Leaf {
        /// The hubs in the order in which this node asks them.
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

/// Returns the part of the node `own` among all members; a node that knows no
/// members, or is none of them yet, reads the store itself.
pub fn hub_role<'a>(members: impl Iterator<Item = &'a VmId>, own: &VmId) -> HubRole {
    let mut members: Vec<&VmId> = members.collect();
    let is_member = members.contains(&own);
    let has_leaves = is_member && members.len() > MESH;
    if members.len() > MESH {
        let hubs = members.len().div_ceil(LEAVES).max(LEAST_HUBS);
        members.sort_by_key(|vm| rendezvous::score(RANKING, vm.as_str()));
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
