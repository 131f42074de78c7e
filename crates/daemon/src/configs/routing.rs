//! Parses the `[routing]` section.

use radishhaven_core::configs::RoutingConfig;

use crate::settings::Section;

pub(crate) fn read_routing(section: &mut Section<'_>) -> RoutingConfig {
    let defaults = RoutingConfig::default();
    RoutingConfig {
        candidates: section
            .number("candidates", 1..=1_000)
            .unwrap_or(defaults.candidates),
    }
}
