//! Settings of snapshots.

use std::time::Duration;

/// Controls when snapshots are written to the log; the INI section `[snapshots]`.
/// Both bounds must be well below the retention of the log.
#[derive(Debug, Clone)]
pub struct SnapshotsConfig {
    /// Age of the newest snapshot at which the next one is due. Default: 3600 s.
    pub interval: Duration,
    /// Number of records since the newest snapshot at which the next one is due.
    /// Default: 2000.
    pub interval_records: u32,
    /// Time over which the nodes distribute their attempts at random. Default: 30
    /// s.
    pub spread: Duration,
}

impl Default for SnapshotsConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(3_600),
            interval_records: 2_000,
            spread: Duration::from_secs(30),
        }
    }
}
