//! Settings of retries.

use std::time::Duration;

/// Controls how a node detects failed attempts and limits their retries; the INI
/// section `[retry]`.
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Maximum number of attempts for one request, including the first. Default:
    /// 4.
    pub max_attempts: u32,
    /// Shortest time without an answer after which a step counts as lost. Default:
    /// 400 ms.
    pub step_timeout: Duration,
    /// Timeout for each position of a step at an engine whose pace has not been
    /// measured yet. Default: 2 ms.
    pub position_timeout: Duration,
    /// Time without an answer after which any step counts as lost. Default: 10 s.
    pub max_step_timeout: Duration,
    /// Multiple of its expected duration after which a step counts as lost.
    /// Default: 8.
    pub step_factor: u32,
    /// Upper bound on the delay before the first retry. Default: 10 ms.
    pub backoff: Duration,
    /// Upper bound on the delay before any retry. Default: 500 ms.
    pub max_backoff: Duration,
    /// Maximum number of retries that the budget holds. Default: 100.
    pub budget_burst: u32,
    /// Number of retries added to the budget each second. Default: 10.
    pub budget_per_s: u32,
    /// Number of retries added to the budget for every hundred requests. Default:
    /// 10.
    pub budget_percent: u32,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            step_timeout: Duration::from_millis(400),
            position_timeout: Duration::from_millis(2),
            max_step_timeout: Duration::from_secs(10),
            step_factor: 8,
            backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(500),
            budget_burst: 100,
            budget_per_s: 10,
            budget_percent: 10,
        }
    }
}
