//! Parses the `[lease]` and `[orders]` sections.

use radishhaven_core::configs::{LeaseConfig, OrderConfig};

use crate::settings::{Section, parse_yes_no};

pub(crate) fn read_lease(section: &mut Section<'_>) -> LeaseConfig {
    let defaults = LeaseConfig::default();
    LeaseConfig {
        duration: section
            .millis("duration_ms", 100..=30_000)
            .unwrap_or(defaults.duration),
        renew_interval: section
            .millis("renew_ms", 10..=30_000)
            .unwrap_or(defaults.renew_interval),
        drift_ppm: section
            .number("drift_ppm", 0..=500_000)
            .unwrap_or(defaults.drift_ppm),
    }
}

pub(crate) fn read_orders(section: &mut Section<'_>) -> OrderConfig {
    let defaults = OrderConfig::default();
    OrderConfig {
        enabled: section
            .optional("give", "yes or no", parse_yes_no)
            .unwrap_or(defaults.enabled),
        read_back_interval: section
            .millis("read_back_ms", 10..=600_000)
            .unwrap_or(defaults.read_back_interval),
        max_delay: section
            .millis("max_delay_ms", 10..=600_000)
            .unwrap_or(defaults.max_delay),
        max_loading: section
            .number("max_loading", 1..=10_000)
            .unwrap_or(defaults.max_loading),
    }
}
