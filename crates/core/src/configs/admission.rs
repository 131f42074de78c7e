//! Settings of admission.

use std::time::Duration;

/// Bounds what one node takes on; the INI section `[admission]`.
#[derive(Debug, Clone)]
pub struct AdmissionConfig {
    /// Requests that the node runs at one time. Default: 4096.
    pub max_in_flight: u32,
    /// Tokens that one request may ask for. Default: 4096.
    pub max_tokens: u32,
    /// Tokens of the longest prompt. Default: 32768.
    pub max_prompt_tokens: u32,
    /// Deadline of a request that names none. Default: 60 s.
    pub default_deadline: Duration,
    /// Longest deadline that a request may name. Default: 600 s.
    pub max_deadline: Duration,
    /// Shortest time after which a rejected caller should ask again. Default: 200 ms.
    pub min_retry_after: Duration,
    /// Longest time after which a rejected caller should ask again. Default: 10 s.
    pub max_retry_after: Duration,
    /// Time between two adjustments of the limits. Default: 50 ms.
    pub control_interval: Duration,
    /// Requests for one version that a node runs at one time before it has
    /// learned its limit. Default: 16.
    pub initial_limit: u32,
    /// Time that steps should wait at engines when there is more work than
    /// room, in percent of the time that the engines need. Default: 150.
    pub target_wait_percent: u32,
    /// Longest time that a request waits for room at the node. Default: 500 ms.
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
