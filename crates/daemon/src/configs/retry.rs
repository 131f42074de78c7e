//! Reads `[retry]`.

use radishhaven_core::configs::RetryConfig;

use crate::settings::Section;

pub(crate) fn read_retry(section: &mut Section<'_>) -> RetryConfig {
    let d = RetryConfig::default();
    RetryConfig {
        max_attempts: section
            .number("max_attempts", 1..=100)
            .unwrap_or(d.max_attempts),
        step_timeout: section
            .millis("step_timeout_ms", 1..=600_000)
            .unwrap_or(d.step_timeout),
        avoid: section.millis("avoid_ms", 0..=600_000).unwrap_or(d.avoid),
    }
}
