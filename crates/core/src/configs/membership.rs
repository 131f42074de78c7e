//! Settings of membership.

use std::{net::SocketAddr, time::Duration};

/// Controls how nodes detect and gossip the status of other nodes; the INI section
/// `[membership]`.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Interval between two probes of the same node. Default: 500 ms.
    pub heartbeat_interval: Duration,
    /// Number of unanswered probes after which a node is suspect. After one fewer,
    /// other nodes are requested to probe it as well. Default: 3.
    pub suspect_after: u32,
    /// Time after which a suspect node counts as dead. Default: 2 s.
    pub suspicion_timeout: Duration,
    /// Time without any update about a node after which it is suspect, even if no
    /// node reported it as such. Default: 30 s.
    pub stale_after: Duration,
    /// Time after which a dead node that is not in the VM list is removed from the
    /// table. Default: 600 s.
    pub forget_after: Duration,
    /// Maximum number of facts about other nodes in one message. Default: 24.
    pub facts_per_message: u32,
    /// Number of nodes that a death, a start or a shutdown is sent to immediately.
    /// Default: 4.
    pub fanout: u32,
    /// The address at which this node listens for peers, from `[peers]`. If it is
    /// `None`, other nodes get the address from the VM list. Default: none.
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
