//! Parses the `[retry]` section.

use std::time::Duration;

use radishhaven_core::configs::RetryConfig;

use crate::settings::Section;

pub(crate) fn read_retry(section: &mut Section<'_>) -> RetryConfig {
    let defaults = RetryConfig::default();
    let micros = |us: u32| Duration::from_micros(us.into());
    RetryConfig {
        max_attempts: section
            .number("max_attempts", 1..=100)
            .unwrap_or(defaults.max_attempts),
        step_timeout: section
            .millis("step_timeout_ms", 1..=600_000)
            .unwrap_or(defaults.step_timeout),
        position_timeout: section
            .number("position_timeout_us", 0..=1_000_000)
            .map_or(defaults.position_timeout, micros),
        max_step_timeout: section
            .millis("max_step_timeout_ms", 1..=600_000)
            .unwrap_or(defaults.max_step_timeout),
        step_factor: section
            .number("step_factor", 1..=1_000)
            .unwrap_or(defaults.step_factor),
        backoff: section
            .millis("backoff_ms", 1..=60_000)
            .unwrap_or(defaults.backoff),
        max_backoff: section
            .millis("max_backoff_ms", 1..=60_000)
            .unwrap_or(defaults.max_backoff),
        budget_burst: section
            .number("budget_burst", 0..=1_000_000)
            .unwrap_or(defaults.budget_burst),
        budget_per_s: section
            .number("budget_per_s", 0..=1_000_000)
            .unwrap_or(defaults.budget_per_s),
        budget_percent: section
            .number("budget_percent", 0..=100)
            .unwrap_or(defaults.budget_percent),
    }
}
