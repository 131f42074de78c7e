//! Parses the `[dissemination]` section.

use radishhaven_core::configs::DisseminationConfig;

use crate::settings::Section;

pub(crate) fn read_dissemination(section: &mut Section<'_>) -> DisseminationConfig {
    let defaults = DisseminationConfig::default();
    DisseminationConfig {
        readers: section
            .number("readers", 1..=100)
            .unwrap_or(defaults.readers),
        fallback: section
            .millis("fallback_ms", 100..=600_000)
            .unwrap_or(defaults.fallback),
        pace: section
            .millis("pace_ms", 1..=10_000)
            .unwrap_or(defaults.pace),
        backoff_min: section
            .millis("backoff_min_ms", 10..=60_000)
            .unwrap_or(defaults.backoff_min),
        backoff_max: section
            .millis("backoff_max_ms", 10..=600_000)
            .unwrap_or(defaults.backoff_max),
        catch_up: section
            .millis("catch_up_ms", 1..=10_000)
            .unwrap_or(defaults.catch_up),
        join_wait: section
            .millis("join_wait_ms", 10..=60_000)
            .unwrap_or(defaults.join_wait),
        kept_records: section
            .number("kept_records", 16..=1_000_000)
            .unwrap_or(defaults.kept_records),
        rejoin_after: section
            .millis("rejoin_after_ms", 1_000..=600_000)
            .unwrap_or(defaults.rejoin_after),
        ready_within: section
            .millis("ready_within_ms", 1_000..=600_000)
            .unwrap_or(defaults.ready_within),
    }
}
