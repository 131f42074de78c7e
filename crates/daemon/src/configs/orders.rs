//! Reads `[lease]` and `[orders]`.

use radishhaven_core::configs::{LeaseConfig, OrderConfig};

use crate::settings::{Section, parse_switch};

pub(crate) fn read_lease(section: &mut Section<'_>) -> LeaseConfig {
    let d = LeaseConfig::default();
    LeaseConfig {
        duration: section
            .millis("duration_ms", 100..=30_000)
            .unwrap_or(d.duration),
        renew_interval: section
            .millis("renew_ms", 10..=30_000)
            .unwrap_or(d.renew_interval),
        drift_ppm: section
            .number("drift_ppm", 0..=500_000)
            .unwrap_or(d.drift_ppm),
    }
}

pub(crate) fn read_orders(section: &mut Section<'_>) -> OrderConfig {
    let d = OrderConfig::default();
    OrderConfig {
        enabled: section
            .take("give", "yes or no", parse_switch)
            .unwrap_or(d.enabled),
        read_back_interval: section
            .millis("read_back_ms", 10..=600_000)
            .unwrap_or(d.read_back_interval),
        max_delay: section
            .millis("max_delay_ms", 10..=600_000)
            .unwrap_or(d.max_delay),
        max_loading: section
            .number("max_loading", 1..=10_000)
            .unwrap_or(d.max_loading),
    }
}
