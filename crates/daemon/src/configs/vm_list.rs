//! Reads `[vm_list]`.

use std::time::Duration;

use radishhaven_core::configs::VmListConfig;

use crate::settings::Section;

/// Reads the section; the time between two reads stands in `[platform]`.
pub(crate) fn read_vm_list(section: &mut Section<'_>, read: Option<Duration>) -> VmListConfig {
    let d = VmListConfig::default();
    VmListConfig {
        read_interval: read.unwrap_or(d.read_interval),
        refresh_interval: section
            .millis("refresh_ms", 100..=600_000)
            .unwrap_or(d.refresh_interval),
        answer_timeout: section
            .millis("answer_ms", 100..=600_000)
            .unwrap_or(d.answer_timeout),
        fallback_after: section
            .millis("fallback_ms", 100..=600_000)
            .unwrap_or(d.fallback_after),
        min_snapshot_interval: section
            .millis("pace_ms", 1..=60_000)
            .unwrap_or(d.min_snapshot_interval),
        retained_changes: section
            .number("kept_changes", 1..=100_000)
            .unwrap_or(d.retained_changes),
    }
}
