//! Parses the `[directory]` section.

use radishhaven_core::configs::DirectoryConfig;

use crate::settings::Section;

pub(crate) fn read_directory(section: &mut Section<'_>) -> DirectoryConfig {
    let defaults = DirectoryConfig::default();
    DirectoryConfig {
        ttl: section
            .millis("keep_ms", 100..=600_000)
            .unwrap_or(defaults.ttl),
        max_nodes: section
            .number("max_nodes", 1..=1_000)
            .unwrap_or(defaults.max_nodes),
    }
}
