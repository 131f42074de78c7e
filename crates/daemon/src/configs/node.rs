//! `[node]`: the node's identity and its listening addresses.

use std::{net::SocketAddr, time::Duration};

use radishhaven_core::ids::{FailureDomain, VmId};

use crate::settings::Section;

/// `[node]`; `vm`, `failure_domain`, `callers` and `operators` are required.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// The node's VM.
    pub vm: VmId,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for operators.
    pub operators: SocketAddr,
    /// Longest duration of a graceful shutdown. Default: 30 s.
    pub shutdown_timeout: Duration,
}

const DEFAULT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

impl NodeConfig {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<Self> {
        let id = "1 to 96 of a-z A-Z 0-9 . _ : -";
        let vm = section.require("vm", id, |v| v.parse().ok());
        let failure_domain = section.require("failure_domain", id, |v| v.parse().ok());
        let callers = section.address("callers");
        let operators = section.address("operators");
        let shutdown_timeout = section
            .millis("shutdown_ms", 0..=600_000)
            .unwrap_or(DEFAULT_SHUTDOWN_TIMEOUT);
        Some(Self {
            vm: vm?,
            failure_domain: failure_domain?,
            callers: callers?,
            operators: operators?,
            shutdown_timeout,
        })
    }
}
