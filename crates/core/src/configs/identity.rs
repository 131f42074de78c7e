//! The identity of a node, which consists of its settings and of the incarnation
//! that it gets at its start.

use std::net::SocketAddr;

use crate::ids::{FailureDomain, Incarnation, VmId};

/// The identity of a node.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM that the node runs on.
    pub vm: VmId,
    /// The failure domain of that VM.
    pub failure_domain: FailureDomain,
    /// The address at which the node serves callers.
    pub address: SocketAddr,
    /// Distinguishes this process of the node from earlier processes on the same
    /// VM.
    pub incarnation: Incarnation,
}
