//! Reads `[lease]` and `[orders]`.

use radishhaven_core::configs::{LeaseConfig, OrderConfig};

use crate::settings::{Section, parse_switch};

pub(crate) fn read_lease(section: &mut Section<'_>) -> LeaseConfig {
    let d = LeaseConfig::default();
    LeaseConfig {
        duration: section
            .millis("duration_ms", 100..=30_000)
            .unwrap_or(d.duration),
        renew: section.millis("renew_ms", 10..=30_000).unwrap_or(d.renew),
        drift_ppm: section
            .number("drift_ppm", 0..=500_000)
            .unwrap_or(d.drift_ppm),
    }
}

pub(crate) fn read_orders(section: &mut Section<'_>) -> OrderConfig {
    let d = OrderConfig::default();
    OrderConfig {
        give: section
            .take("give", "yes or no", parse_switch)
            .unwrap_or(d.give),
        read_back: section
            .millis("read_back_ms", 10..=600_000)
            .unwrap_or(d.read_back),
        max_delay: section
            .millis("max_delay_ms", 10..=600_000)
            .unwrap_or(d.max_delay),
        max_loading: section
            .number("max_loading", 1..=10_000)
            .unwrap_or(d.max_loading),
    }
}
