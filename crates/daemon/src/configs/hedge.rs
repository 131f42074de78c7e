//! Parses the `[hedge]` section.

use radishhaven_core::configs::HedgeConfig;

use crate::settings::{Section, parse_yes_no};

pub(crate) fn read_hedge(section: &mut Section<'_>) -> HedgeConfig {
    let defaults = HedgeConfig::default();
    HedgeConfig {
        enabled: section
            .optional("enabled", "yes or no", parse_yes_no)
            .unwrap_or(defaults.enabled),
        percentile: section
            .number("percentile", 50..=99)
            .unwrap_or(defaults.percentile),
        min_delay: section
            .millis("min_delay_ms", 0..=600_000)
            .unwrap_or(defaults.min_delay),
        min_calls: section
            .number("min_calls", 1..=1_000_000)
            .unwrap_or(defaults.min_calls),
    }
}
