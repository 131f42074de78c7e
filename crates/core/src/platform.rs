//! Data that a node reads from the platform: log records and the VM list.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, VmId};

/// One record of a log stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position of the record in the stream, from 0.
    pub offset: u64,
    /// Content of the record.
    pub body: String,
}

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry node of radishhaven.
    Node,
    /// A backend server.
    Backend,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is up.
    Live,
    /// The VM will stop soon.
    Leaving,
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: VmId,
    /// Role of the VM.
    pub role: VmRole,
    /// IP address and port at which the VM serves. For a node, the address for
    /// callers.
    pub address: SocketAddr,
    /// For a node, the address for peers.
    pub peer_address: Option<SocketAddr>,
    /// The failure domain in which the VM runs.
    pub failure_domain: FailureDomain,
    /// Lifecycle state of the VM.
    pub state: VmState,
}

/// Changes to a VM list; each VM occurs at most once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChanges {
    /// VMs that were added or modified.
    pub put: Vec<Vm>,
    /// VMs that were removed.
    pub removed: Vec<VmId>,
}

impl VmChanges {
    /// Returns the names of all added, modified and removed VMs.
    pub fn touched(&self) -> BTreeSet<VmId> {
        let put = self.put.iter().map(|vm| &vm.vm);
        put.chain(&self.removed).cloned().collect()
    }
}

/// The VM list as the platform returned it; it may be outdated on arrival.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs, live and leaving.
    pub vms: Vec<Vm>,
}
