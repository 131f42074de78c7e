//! Parses the `[admission]` section.

use radishhaven_core::configs::AdmissionConfig;

use crate::settings::Section;

pub(crate) fn read_admission(section: &mut Section<'_>) -> AdmissionConfig {
    let defaults = AdmissionConfig::default();
    AdmissionConfig {
        max_in_flight: section
            .number("max_in_flight", 1..=100_000)
            .unwrap_or(defaults.max_in_flight),
        max_tokens: section
            .number("max_tokens", 1..=1_000_000)
            .unwrap_or(defaults.max_tokens),
        max_prompt_tokens: section
            .number("max_prompt_tokens", 1..=1_000_000)
            .unwrap_or(defaults.max_prompt_tokens),
        default_deadline: section
            .millis("default_deadline_ms", 1..=3_600_000)
            .unwrap_or(defaults.default_deadline),
        max_deadline: section
            .millis("max_deadline_ms", 1..=3_600_000)
            .unwrap_or(defaults.max_deadline),
        min_retry_after: section
            .millis("retry_after_ms", 1..=60_000)
            .unwrap_or(defaults.min_retry_after),
        max_retry_after: section
            .millis("max_retry_after_ms", 1..=3_600_000)
            .unwrap_or(defaults.max_retry_after),
        control_interval: section
            .millis("control_interval_ms", 10..=1_000)
            .unwrap_or(defaults.control_interval),
        initial_limit: section
            .number("initial_limit", 1..=100_000)
            .unwrap_or(defaults.initial_limit),
        target_wait_percent: section
            .number("target_wait_percent", 10..=1_000)
            .unwrap_or(defaults.target_wait_percent),
        max_queue_wait: section
            .millis("max_wait_ms", 1..=60_000)
            .unwrap_or(defaults.max_queue_wait),
    }
}
