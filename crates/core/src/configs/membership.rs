//! Settings of membership.

use std::{net::SocketAddr, time::Duration};

/// Shapes how nodes hear of each other; the INI section `[membership]`.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two probes of the same node. Default: 500 ms.
    pub heartbeat_interval: Duration,
    /// Probes without an answer after which a node is suspect; one fewer asks
    /// other nodes to probe it. Default: 3.
    pub suspect_after: u32,
    /// Time for which a node is suspect before it counts as dead. Default: 2 s.
    pub suspicion_timeout: Duration,
    /// Time without news after which a node is suspect though nobody said so.
    /// Default: 30 s.
    pub stale_after: Duration,
    /// Time after which a dead node that the VM list doesn't show is
    /// forgotten. Default: 600 s.
    pub forget_after: Duration,
    /// Facts of other nodes in one message. Default: 24.
    pub facts_per_message: u32,
    /// Nodes that are told at once of a death, a start or a shutdown. Default: 4.
    pub fanout: u32,
    /// Where this node listens for peers; from `[peers]`. Without it, others
    /// learn the address from the VM list. Default: none.
    pub peer_address: Option<SocketAddr>,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspect_after: 3,
            suspicion_timeout: Duration::from_secs(2),
            stale_after: Duration::from_secs(30),
            forget_after: Duration::from_secs(600),
            facts_per_message: 24,
            fanout: 4,
            peer_address: None,
        }
    }
}
