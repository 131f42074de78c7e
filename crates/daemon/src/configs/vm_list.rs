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
        read_interval: read_interval.unwrap_or(defaults.read_interval),
        refresh_interval: section
            .millis("refresh_ms", 100..=600_000)
            .unwrap_or(defaults.refresh_interval),
        answer_timeout: section
            .millis("answer_ms", 100..=600_000)
            .unwrap_or(defaults.answer_timeout),
        fallback_after: section
            .millis("fallback_ms", 100..=600_000)
            .unwrap_or(defaults.fallback_after),
        min_snapshot_interval: section
            .millis("pace_ms", 1..=60_000)
            .unwrap_or(defaults.min_snapshot_interval),
        retained_changes: section
            .number("kept_changes", 1..=100_000)
            .unwrap_or(defaults.retained_changes),
    }
}
