//! Who a node is: told by its settings, and by the moment of its start.

use std::net::SocketAddr;

use crate::ids::{FailureDomain, Incarnation, VmId};

/// Who a node is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The node's VM.
    pub vm: VmId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Where it serves callers.
    pub address: SocketAddr,
    /// Tells this life of the node from an earlier one on the same VM.
    pub incarnation: Incarnation,
}
