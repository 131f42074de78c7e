//! Reads `[flow]`.

use radishhaven_core::configs::FlowConfig;

use crate::settings::Section;

pub(crate) fn read_flow(section: &mut Section<'_>) -> FlowConfig {
    let d = FlowConfig::default();
    FlowConfig {
        max_unread_chunks: section
            .number("max_unread_parts", 1..=1_000_000)
            .unwrap_or(d.max_unread_chunks),
    }
}
