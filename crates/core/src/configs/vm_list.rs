//! Settings of how the VM list reaches the nodes.

use std::time::Duration;

/// Shapes reads of the VM list and help between nodes; the INI section
/// `[vm_list]`. How many nodes of a failure domain read is
/// [`DisseminationConfig::readers`](super::DisseminationConfig::readers).
#[derive(Debug, Clone)]
pub struct VmListConfig {
    /// Time between two reads of a node that reads for others. Default: 3 s.
    pub read_interval: Duration,
    /// Time between two questions of a node that relies on a reader. Default: 5 s.
    pub refresh_interval: Duration,
    /// Time within which a reader should answer; others may be served first.
    /// Default: 10 s.
    pub answer_timeout: Duration,
    /// Age of the list from which on a node that relies on readers reads it
    /// itself, after up to as long again. Default: 20 s.
    pub fallback_after: Duration,
    /// Shortest time between two whole lists that a node gives. Default: 500 ms.
    pub min_snapshot_interval: Duration,
    /// Changes that a node keeps for those that ask. Default: 256.
    pub retained_changes: u32,
}

impl Default for VmListConfig {
    fn default() -> Self {
        Self {
            read_interval: Duration::from_secs(3),
            refresh_interval: Duration::from_secs(5),
            answer_timeout: Duration::from_secs(10),
            fallback_after: Duration::from_secs(20),
            min_snapshot_interval: Duration::from_millis(500),
            retained_changes: 256,
        }
    }
}
