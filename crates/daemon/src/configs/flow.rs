//! Parses the `[flow]` section.

use radishhaven_core::configs::FlowConfig;

use crate::settings::Section;

pub(crate) fn read_flow(section: &mut Section<'_>) -> FlowConfig {
    let defaults = FlowConfig::default();
    FlowConfig {
        max_unread_chunks: section
            .number("max_unread_parts", 1..=1_000_000)
            .unwrap_or(defaults.max_unread_chunks),
    }
}
