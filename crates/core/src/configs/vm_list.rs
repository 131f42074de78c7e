//! Settings of the dissemination of the VM list to the nodes.

use std::time::Duration;

/// Controls how nodes read the VM list and forward it to each other; the INI
/// section `[vm_list]`. The number of readers in each failure domain is
/// [`DisseminationConfig::readers`](super::DisseminationConfig::readers).
#[derive(Debug, Clone)]
pub struct VmListConfig {
    /// Interval between two reads of the list by a reader. Default: 3 s.
    pub read_interval: Duration,
    /// Interval between two queries from a subscriber to its reader. Default: 5 s.
    pub refresh_interval: Duration,
    /// Time within which a reader should respond; it may serve other subscribers
    /// first. Default: 10 s.
    pub answer_timeout: Duration,
    /// Age of the list from which a subscriber reads it itself. A random delay of
    /// up to the same length is added. Default: 20 s.
    pub fallback_after: Duration,
    /// Shortest interval between two full lists that a node sends. Default: 500
    /// ms.
    pub min_snapshot_interval: Duration,
    /// Number of changes that a node retains for its subscribers. Default: 256.
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
