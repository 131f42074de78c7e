//! Parses the `[once]` section.

use radishhaven_core::configs::OnceConfig;

use crate::settings::Section;

pub(crate) fn read_once(section: &mut Section<'_>) -> OnceConfig {
    let defaults = OnceConfig::default();
    let millis = 1..=86_400_000;
    OnceConfig {
        key: defaults.key,
        witnesses: section
            .number("witnesses", 0..=4)
            .unwrap_or(defaults.witnesses),
        id_ttl: section
            .millis("id_life_ms", millis.clone())
            .unwrap_or(defaults.id_ttl),
        outcome_retention: section
            .millis("remember_ms", millis.clone())
            .unwrap_or(defaults.outcome_retention),
        max_remembered: section
            .number("max_remembered", 1..=10_000_000)
            .unwrap_or(defaults.max_remembered),
        max_witnessed: section
            .number("max_witnessed", 1..=10_000_000)
            .unwrap_or(defaults.max_witnessed),
        max_result_bytes: section
            .number("max_result_bytes", 0..=1_048_576)
            .unwrap_or(defaults.max_result_bytes),
        max_total_result_bytes: section
            .number("max_results_bytes", 0..=1_073_741_824)
            .unwrap_or(defaults.max_total_result_bytes),
        max_witness_result_bytes: section
            .number("max_witness_result_bytes", 0..=1_048_576)
            .unwrap_or(defaults.max_witness_result_bytes),
        witness_timeout: section
            .millis("witness_timeout_ms", millis.clone())
            .unwrap_or(defaults.witness_timeout),
        home_timeout: section
            .millis("home_timeout_ms", millis.clone())
            .unwrap_or(defaults.home_timeout),
        resend_interval: section
            .millis("resend_ms", millis)
            .unwrap_or(defaults.resend_interval),
    }
}
