//! Settings of the watch over backend servers.

use std::time::Duration;

/// Shapes the watch over backend servers; the INI section `[watch]`.
#[derive(Debug, Clone)]
pub struct WatchConfig {
    /// Time between two reads of an engine by one watcher, if the bound on
    /// reads allows it. Default: 500 ms.
    pub interval: Duration,
    /// Reads of engines a second by this node. Default: 20.
    pub reads_per_s: u32,
    /// Bytes a second of reports that one node receives at most. Default: 6000.
    pub bytes_per_s: u32,
    /// Time after which a report that did not change is told again, if the
    /// bound on bytes allows it. Default: 10 s.
    pub refresh_interval: Duration,
    /// Age from which on a report counts for nothing; never less than three
    /// times the time between two repetitions. Default: 30 s.
    pub report_ttl: Duration,
    /// Age from which on the reported load counts for nothing. Default: 2 s.
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
