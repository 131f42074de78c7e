//! Parses the `[snapshots]` section.

use radishhaven_core::configs::SnapshotsConfig;

use crate::settings::Section;

pub(crate) fn read_snapshots(section: &mut Section<'_>) -> SnapshotsConfig {
    let defaults = SnapshotsConfig::default();
    SnapshotsConfig {
        interval: section
            .millis("every_ms", 1_000..=604_800_000)
            .unwrap_or(defaults.interval),
        interval_records: section
            .number("after_records", 1..=1_000_000)
            .unwrap_or(defaults.interval_records),
        spread: section
            .millis("spread_ms", 1..=3_600_000)
            .unwrap_or(defaults.spread),
    }
}
