//! What the decisions know of the platform: log records and the VM list.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, VmId};

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts the stream's records from 0.
    pub offset: u64,
    /// The record.
    pub body: String,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry node of radishhaven.
    Node,
    /// A backend server.
    Backend,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is up.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub vm: VmId,
    /// What it is for.
    pub role: VmRole,
    /// Where it serves: IP address and port. For a node, its callers' address.
    pub address: SocketAddr,
    /// For a node, the address for its peers.
    pub peer_address: Option<SocketAddr>,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it stays.
    pub state: VmState,
}

/// What changes a VM list; names each VM once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChanges {
    /// VMs that are new or differ.
    pub put: Vec<Vm>,
    /// VMs that are no longer shown.
    pub removed: Vec<VmId>,
}

impl VmChanges {
    /// Returns the VMs that it names.
    pub fn touched(&self) -> BTreeSet<VmId> {
        let put = self.put.iter().map(|vm| &vm.vm);
        put.chain(&self.removed).cloned().collect()
    }
}

/// The VM list, as of a moment that has passed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs, live and leaving.
    pub vms: Vec<Vm>,
}
