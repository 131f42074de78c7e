//! Settings of how the VM list reaches the nodes.

use std::time::Duration;

/// Shapes reads of the VM list and help between nodes; the INI section
/// `[vm_list]`. How many nodes of a failure domain read is
/// [`DisseminationConfig::readers`](super::DisseminationConfig::readers).
#[derive(Debug, Clone)]
pub struct VmListConfig {
    /// Time between two reads of a node that reads for others. Default: 3 s.
    pub read: Duration,
    /// Time between two questions of a node that relies on a reader. Default: 5 s.
    pub refresh: Duration,
    /// Time within which a reader should answer; others may be served first.
    /// Default: 10 s.
    pub answer: Duration,
    /// Age of the list from which on a node that relies on readers reads it
    /// itself, after up to as long again. Default: 20 s.
    pub fallback: Duration,
    /// Shortest time between two whole lists that a node gives. Default: 500 ms.
    pub pace: Duration,
    /// Changes that a node keeps for those that ask. Default: 256.
    pub kept_changes: u32,
}

impl Default for VmListConfig {
    fn default() -> Self {
        Self {
            read: Duration::from_secs(3),
            refresh: Duration::from_secs(5),
            answer: Duration::from_secs(10),
            fallback: Duration::from_secs(20),
            pace: Duration::from_millis(500),
            kept_changes: 256,
        }
    }
}
