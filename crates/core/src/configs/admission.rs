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
    pub retry_after: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_in_flight: 4096,
            max_tokens: 4096,
            max_prompt_tokens: 32_768,
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(600),
            retry_after: Duration::from_millis(200),
        }
    }
}
