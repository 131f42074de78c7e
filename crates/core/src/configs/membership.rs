//! Settings of membership.

use std::time::Duration;

/// Shapes how nodes hear of each other; the INI section `[membership]`.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two heartbeats. Default: 500 ms.
    pub heartbeat: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
        }
    }
}
