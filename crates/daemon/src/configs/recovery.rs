//! Parses the `[recovery]` section.

use radishhaven_core::configs::RecoveryConfig;

use crate::settings::Section;

pub(crate) fn read_recovery(section: &mut Section<'_>) -> RecoveryConfig {
    let defaults = RecoveryConfig::default();
    RecoveryConfig {
        export_every_tokens: section
            .number("export_every_tokens", 0..=1_000_000)
            .unwrap_or(defaults.export_every_tokens),
        max_kept_positions: section
            .number("max_kept_positions", 1..=1_000_000)
            .unwrap_or(defaults.max_kept_positions),
    }
}
