//! Settings of admission control.

use std::time::Duration;

/// Limits on the requests that one node accepts, as set in the INI section
/// `[admission]`.
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// Maximum number of requests that the node runs at the same time. Default:
    /// 4096.
    pub max_in_flight: u32,
    /// Maximum number of tokens that one request may generate. Default: 4096.
    pub max_tokens: u32,
    /// Maximum length of a prompt, in tokens. Default: 32768.
    pub max_prompt_tokens: u32,
    /// Deadline of a request that sets none. Default: 60 s.
    pub default_deadline: Duration,
    /// Longest deadline that a request may set. Default: 600 s.
    pub max_deadline: Duration,
    /// Shortest delay after which a rejected caller is advised to retry. Default:
    /// 200 ms.
    pub min_retry_after: Duration,
    /// Longest delay after which a rejected caller is advised to retry. Default:
    /// 10 s.
    pub max_retry_after: Duration,
    /// Interval between two adjustments of the concurrency limits. Default: 50 ms.
    pub control_interval: Duration,
    /// Initial concurrency limit of each model version on a node, until the node
    /// has measured the actual limit. Default: 16.
    pub initial_limit: u32,
    /// Target queueing time of steps at overloaded engines, in percent of their
    /// execution time. Default: 150.
    pub target_wait_percent: u32,
    /// Longest time that a request waits in the queue of the node for capacity.
    /// Default: 500 ms.
    pub max_queue_wait: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_in_flight: 4096,
            max_tokens: 4096,
            max_prompt_tokens: 32_768,
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(600),
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(10),
            control_interval: Duration::from_millis(50),
            initial_limit: 16,
            target_wait_percent: 150,
            max_queue_wait: Duration::from_millis(500),
        }
    }
}
