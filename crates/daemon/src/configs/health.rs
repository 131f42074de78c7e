//! Parses the `[health]` section.

use radishhaven_core::configs::HealthConfig;

use crate::settings::Section;

pub(crate) fn read_health(section: &mut Section<'_>) -> HealthConfig {
    let defaults = HealthConfig::default();
    HealthConfig {
        eject_after: section
            .number("eject_after", 1..=1_000)
            .unwrap_or(defaults.eject_after),
        eject_score_percent: section
            .number("eject_score_percent", 1..=101)
            .unwrap_or(defaults.eject_score_percent),
        max_ejected_percent: section
            .number("max_ejected_percent", 0..=100)
            .unwrap_or(defaults.max_ejected_percent),
        base_ejection_time: section
            .millis("eject_ms", 1..=600_000)
            .unwrap_or(defaults.base_ejection_time),
        max_ejection_time: section
            .millis("max_eject_ms", 1..=3_600_000)
            .unwrap_or(defaults.max_ejection_time),
        half_open_time: section
            .millis("trial_ms", 0..=600_000)
            .unwrap_or(defaults.half_open_time),
        probes: section
            .number("probes", 1..=1_000)
            .unwrap_or(defaults.probes),
        ramp: section
            .millis("ramp_ms", 0..=600_000)
            .unwrap_or(defaults.ramp),
        half_life: section
            .millis("half_life_ms", 1..=3_600_000)
            .unwrap_or(defaults.half_life),
        max_penalty: section
            .number("cost", 0..=1_000)
            .unwrap_or(defaults.max_penalty),
        min_slow_step: section
            .millis("slow_least_ms", 0..=600_000)
            .unwrap_or(defaults.min_slow_step),
    }
}
