//! Parses the `[watch]` section.

use radishhaven_core::configs::WatchConfig;

use crate::settings::Section;

pub(crate) fn read_watch(section: &mut Section<'_>) -> WatchConfig {
    let defaults = WatchConfig::default();
    WatchConfig {
        interval: section
            .millis("interval_ms", 10..=600_000)
            .unwrap_or(defaults.interval),
        reads_per_s: section
            .number("reads_per_s", 1..=100_000)
            .unwrap_or(defaults.reads_per_s),
        bytes_per_s: section
            .number("bytes_per_s", 100..=100_000_000)
            .unwrap_or(defaults.bytes_per_s),
        refresh_interval: section
            .millis("refresh_ms", 100..=3_600_000)
            .unwrap_or(defaults.refresh_interval),
        report_ttl: section
            .millis("stale_ms", 100..=3_600_000)
            .unwrap_or(defaults.report_ttl),
        load_ttl: section
            .millis("load_stale_ms", 1..=600_000)
            .unwrap_or(defaults.load_ttl),
    }
}
