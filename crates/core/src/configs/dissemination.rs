//! Settings of how the configuration reaches the nodes.

use std::time::Duration;

/// Shapes reads of the log and help between nodes; the INI section
/// `[dissemination]`.
#[derive(Debug, Clone)]
pub struct DisseminationConfig {
    /// Nodes of each failure domain that wait at the log. Default: 2.
    pub readers: u32,
    /// Time between two reads of a node that doesn't wait at the log. Default: 5 s.
    pub fallback_interval: Duration,
    /// Shortest time between two reads that bring records. Default: 50 ms.
    pub min_read_interval: Duration,
    /// Shortest pause after a read that failed. Default: 200 ms.
    pub min_backoff: Duration,
    /// Longest pause after reads that failed. Default: 5 s.
    pub max_backoff: Duration,
    /// Time for which a node waits for records that others have, before it
    /// asks one of them. Default: 100 ms.
    pub catch_up_wait: Duration,
    /// Time for which a node that starts waits for its peers' answers. Default: 1 s.
    pub join_wait: Duration,
    /// Records that a node keeps for its peers. Default: 4096.
    pub retained_records: u32,
    /// Time without a sign of the log or of peers after which a node asks
    /// its peers before it serves on. Default: 5 s.
    pub rejoin_after: Duration,
    /// Time after which a node that does not serve yet says so to the
    /// operators, and how often it says it again. Default: 10 s.
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
