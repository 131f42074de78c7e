//! Settings of the dissemination of the configuration to the nodes.

use std::time::Duration;

/// Controls how nodes read the configuration log and forward its records to each
/// other; the INI section `[dissemination]`.
#[derive(Debug, Clone)]
pub struct DisseminationConfig {
    /// Number of nodes in each failure domain that long-poll the log. Default: 2.
    pub readers: u32,
    /// Interval between two reads of the log by the other nodes. Default: 5 s.
    pub fallback_interval: Duration,
    /// Shortest interval between two reads that return records. Default: 50 ms.
    pub min_read_interval: Duration,
    /// Shortest delay after a failed read. Default: 200 ms.
    pub min_backoff: Duration,
    /// Longest delay after repeated failed reads. Default: 5 s.
    pub max_backoff: Duration,
    /// Time for which a node that lags behind its peers waits for the missing
    /// records before it requests them from a peer. Default: 100 ms.
    pub catch_up_wait: Duration,
    /// Time for which a starting node waits for the responses of its peers.
    /// Default: 1 s.
    pub join_wait: Duration,
    /// Number of records that a node retains to serve them to peers. Default:
    /// 4096.
    pub retained_records: u32,
    /// Time without contact to the log and to peers after which a node queries its
    /// peers again before it continues to serve. Default: 5 s.
    pub rejoin_after: Duration,
    /// Time after which a node that is not ready yet reports this to the
    /// operators, and the interval at which it repeats the report. Default: 10 s.
    pub readiness_report_interval: Duration,
}

impl Default for DisseminationConfig {
    fn default() -> Self {
        Self {
            readers: 2,
            fallback_interval: Duration::from_secs(5),
            min_read_interval: Duration::from_millis(50),
            min_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(5),
            catch_up_wait: Duration::from_millis(100),
            join_wait: Duration::from_secs(1),
            retained_records: 4_096,
            rejoin_after: Duration::from_secs(5),
            readiness_report_interval: Duration::from_secs(10),
        }
    }
}
