//! Settings of retries.

use std::time::Duration;

/// Bounds how a node replaces attempts that failed; the INI section `[retry]`.
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Attempts at one request, the first one included. Default: 4.
    pub max_attempts: u32,
    /// Time without an answer after which a step counts as lost. Default: 400 ms.
    pub step_timeout: Duration,
    /// Time for which a backend server that failed gets no new work. Default: 1 s.
    pub avoid: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            step_timeout: Duration::from_millis(400),
            avoid: Duration::from_secs(1),
        }
    }
}
