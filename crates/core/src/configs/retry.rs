//! Settings of retries.

use std::time::Duration;

/// Bounds how a node finds and replaces attempts that failed; the INI section
/// `[retry]`.
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Attempts at one request, the first one included. Default: 4.
    pub max_attempts: u32,
    /// Time without an answer before which no step counts as lost. Default: 400 ms.
    pub step_timeout: Duration,
    /// Time for each position of a step at an engine whose pace is not known
    /// yet. Default: 2 ms.
    pub position_timeout: Duration,
    /// Time without an answer after which any step counts as lost. Default: 10 s.
    pub max_step_timeout: Duration,
    /// A step counts as lost after its expected time, so many times over. Default: 8.
    pub step_factor: u32,
    /// Longest first wait before a repetition. Default: 10 ms.
    pub backoff: Duration,
    /// Longest wait before any repetition. Default: 500 ms.
    pub max_backoff: Duration,
    /// Retries that the budget holds at most. Default: 100.
    pub budget_burst: u32,
    /// Retries that each second adds to the budget. Default: 10.
    pub budget_per_s: u32,
    /// Retries that a hundred requests add to the budget. Default: 10.
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
