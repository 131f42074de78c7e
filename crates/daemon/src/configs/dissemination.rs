//! Parses the `[dissemination]` section.

use radishhaven_core::configs::DisseminationConfig;

use crate::settings::Section;

pub(crate) fn read_dissemination(section: &mut Section<'_>) -> DisseminationConfig {
    let defaults = DisseminationConfig::default();
    DisseminationConfig {
        readers: section
            .number("readers", 1..=100)
            .unwrap_or(defaults.readers),
        fallback_interval: section
            .millis("fallback_ms", 100..=600_000)
            .unwrap_or(defaults.fallback_interval),
        min_read_interval: section
            .millis("pace_ms", 1..=10_000)
            .unwrap_or(defaults.min_read_interval),
        min_backoff: section
            .millis("backoff_min_ms", 10..=60_000)
            .unwrap_or(defaults.min_backoff),
        max_backoff: section
            .millis("backoff_max_ms", 10..=600_000)
            .unwrap_or(defaults.max_backoff),
        catch_up_wait: section
            .millis("catch_up_ms", 1..=10_000)
            .unwrap_or(defaults.catch_up_wait),
        join_wait: section
            .millis("join_wait_ms", 10..=60_000)
            .unwrap_or(defaults.join_wait),
        retained_records: section
            .number("kept_records", 16..=1_000_000)
            .unwrap_or(defaults.retained_records),
        rejoin_after: section
            .millis("rejoin_after_ms", 1_000..=600_000)
            .unwrap_or(defaults.rejoin_after),
        readiness_report_interval: section
            .millis("ready_within_ms", 1_000..=600_000)
            .unwrap_or(defaults.readiness_report_interval),
    }
}
