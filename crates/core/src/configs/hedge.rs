//! Settings of hedged requests.

use std::time::Duration;

/// Controls when an idempotent call gets a second attempt at another server; the
/// INI section `[hedge]`. Each hedge is paid for from the budget in
/// [`super::RetryConfig`].
#[derive(Debug, Clone)]
pub struct HedgeConfig {
    /// Whether calls are hedged. Default: true.
    pub enabled: bool,
    /// Percentile of the latency of a service above which a call counts as slow.
    /// Default: 95.
    pub percentile: u32,
    /// Shortest time after which a call may count as slow. Default: 10 ms.
    pub min_delay: Duration,
    /// Number of calls of a service to observe before any call is hedged. Default:
    /// 50.
    pub min_calls: u32,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self {
            enabled: true,
            percentile: 95,
            min_delay: Duration::from_millis(10),
            min_calls: 50,
        }
    }
}
