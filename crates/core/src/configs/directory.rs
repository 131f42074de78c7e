//! Settings of the directory answer.

use std::time::Duration;

/// Shapes the answer to callers that ask which address to use; the INI
/// section `[directory]`.
#[derive(Debug, Clone)]
pub struct DirectoryConfig {
    /// How long a caller may keep the answer. Default: 10 s.
    pub ttl: Duration,
    /// Nodes that one answer names. Default: 8.
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
