//! Parses the `[vm_list]` section.

use std::time::Duration;

use radishhaven_core::configs::VmListConfig;

use crate::settings::Section;

/// Parses the section; `read_interval` comes from `[platform]`.
pub(crate) fn read_vm_list(
    section: &mut Section<'_>,
    read_interval: Option<Duration>,
) -> VmListConfig {
    let defaults = VmListConfig::default();
    VmListConfig {
        read: read_interval.unwrap_or(defaults.read),
        refresh: section
            .millis("refresh_ms", 100..=600_000)
            .unwrap_or(defaults.refresh),
        answer: section
            .millis("answer_ms", 100..=600_000)
            .unwrap_or(defaults.answer),
        fallback: section
            .millis("fallback_ms", 100..=600_000)
            .unwrap_or(defaults.fallback),
        pace: section
            .millis("pace_ms", 1..=60_000)
            .unwrap_or(defaults.pace),
        kept_changes: section
            .number("kept_changes", 1..=100_000)
            .unwrap_or(defaults.kept_changes),
    }
}
