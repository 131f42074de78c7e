//! Settings of hedging.

use std::time::Duration;

/// Says when an idempotent call gets a second attempt at another server; the
/// INI section `[hedge]`. Each one draws on the budget of
/// [`super::RetryConfig`].
#[derive(Debug, Clone)]
pub struct HedgeConfig {
    /// Whether calls are hedged. Default: true.
    pub enabled: bool,
    /// Percentage of a service's calls that are quicker than the time after
    /// which one counts as slow. Default: 95.
    pub percentile: u32,
    /// Time before which no call counts as slow. Default: 10 ms.
    pub min_delay: Duration,
    /// Calls of a service that are observed before any is hedged. Default: 50.
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
