//! Reads `[hedge]`.

use radishhaven_core::configs::HedgeConfig;

use crate::settings::{Section, parse_switch};

pub(crate) fn read_hedge(section: &mut Section<'_>) -> HedgeConfig {
    let d = HedgeConfig::default();
    HedgeConfig {
        enabled: section
            .take("enabled", "yes or no", parse_switch)
            .unwrap_or(d.enabled),
        percentile: section
            .number("percentile", 50..=99)
            .unwrap_or(d.percentile),
        min_delay: section
            .millis("min_delay_ms", 0..=600_000)
            .unwrap_or(d.min_delay),
        min_calls: section
            .number("min_calls", 1..=1_000_000)
            .unwrap_or(d.min_calls),
    }
}
