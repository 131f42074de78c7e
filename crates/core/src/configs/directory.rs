//! Settings of the node directory.

use std::time::Duration;

/// Shapes the responses to callers that look up node addresses; the INI section
/// `[directory]`.
#[derive(Debug, Clone)]
pub struct DirectoryConfig {
    /// Time for which a caller may cache a response. Default: 10 s.
    pub ttl: Duration,
    /// Maximum number of nodes in one response. Default: 8.
    pub max_nodes: u32,
}

impl Default for DirectoryConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            max_nodes: 8,
        }
    }
}
