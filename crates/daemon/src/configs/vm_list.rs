//! Reads `[vm_list]`.

use std::time::Duration;

use radishhaven_core::configs::VmListConfig;

use crate::settings::Section;

/// Reads the section; the time between two reads stands in `[platform]`.
pub(crate) fn read_vm_list(section: &mut Section<'_>, read: Option<Duration>) -> VmListConfig {
    let d = VmListConfig::default();
    VmListConfig {
        read: read.unwrap_or(d.read),
        refresh: section
            .millis("refresh_ms", 100..=600_000)
            .unwrap_or(d.refresh),
        answer: section
            .millis("answer_ms", 100..=600_000)
            .unwrap_or(d.answer),
        fallback: section
            .millis("fallback_ms", 100..=600_000)
            .unwrap_or(d.fallback),
        pace: section.millis("pace_ms", 1..=60_000).unwrap_or(d.pace),
        kept_changes: section
            .number("kept_changes", 1..=100_000)
            .unwrap_or(d.kept_changes),
    }
}
