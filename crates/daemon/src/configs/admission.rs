//! Reads `[admission]`.

use radishhaven_core::configs::AdmissionConfig;

use crate::settings::Section;

pub(crate) fn read_admission(section: &mut Section<'_>) -> AdmissionConfig {
    let d = AdmissionConfig::default();
    AdmissionConfig {
        max_in_flight: section
            .number("max_in_flight", 1..=100_000)
            .unwrap_or(d.max_in_flight),
        max_tokens: section
            .number("max_tokens", 1..=1_000_000)
            .unwrap_or(d.max_tokens),
        max_prompt_tokens: section
            .number("max_prompt_tokens", 1..=1_000_000)
            .unwrap_or(d.max_prompt_tokens),
        default_deadline: section
            .millis("default_deadline_ms", 1..=3_600_000)
            .unwrap_or(d.default_deadline),
        max_deadline: section
            .millis("max_deadline_ms", 1..=3_600_000)
            .unwrap_or(d.max_deadline),
        retry_after: section
            .millis("retry_after_ms", 1..=60_000)
            .unwrap_or(d.retry_after),
    }
}
