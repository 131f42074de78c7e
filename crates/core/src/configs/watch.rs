//! Settings of the monitoring of backend servers.

use std::time::Duration;

/// Controls how nodes poll backend servers and report their status; the INI
/// section `[watch]`.
#[derive(Debug, Clone)]
pub struct WatchConfig {
    /// Interval between two reads of an engine by one watcher, unless the limit on
    /// reads requires a longer one. Default: 500 ms.
    pub interval: Duration,
    /// Maximum number of reads of engines per second by this node. Default: 20.
    pub reads_per_s: u32,
    /// Maximum number of bytes of reports that one node receives per second.
    /// Default: 6000.
    pub bytes_per_s: u32,
    /// Interval after which an unchanged report is sent again, unless the limit on
    /// bytes requires a longer one. Default: 10 s.
    pub refresh_interval: Duration,
    /// Age from which a report is ignored; at least three times the actual refresh
    /// interval. Default: 30 s.
    pub report_ttl: Duration,
    /// Age from which the reported load is ignored. Default: 2 s.
    pub load_ttl: Duration,
}

impl Default for WatchConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            reads_per_s: 20,
            bytes_per_s: 6_000,
            refresh_interval: Duration::from_secs(10),
            report_ttl: Duration::from_secs(30),
            load_ttl: Duration::from_secs(2),
        }
    }
}
