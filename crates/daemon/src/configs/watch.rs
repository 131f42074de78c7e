//! Reads `[watch]`.

use radishhaven_core::configs::WatchConfig;

use crate::settings::Section;

pub(crate) fn read_watch(section: &mut Section<'_>) -> WatchConfig {
    let d = WatchConfig::default();
    WatchConfig {
        interval: section
            .millis("interval_ms", 10..=600_000)
            .unwrap_or(d.interval),
        reads_per_s: section
            .number("reads_per_s", 1..=100_000)
            .unwrap_or(d.reads_per_s),
        bytes_per_s: section
            .number("bytes_per_s", 100..=100_000_000)
            .unwrap_or(d.bytes_per_s),
        refresh_interval: section
            .millis("refresh_ms", 100..=3_600_000)
            .unwrap_or(d.refresh_interval),
        report_ttl: section
            .millis("stale_ms", 100..=3_600_000)
            .unwrap_or(d.report_ttl),
        load_ttl: section
            .millis("load_stale_ms", 1..=600_000)
            .unwrap_or(d.load_ttl),
    }
}
