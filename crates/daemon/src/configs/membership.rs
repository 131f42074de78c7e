//! Parses the `[membership]` section.

use radishhaven_core::configs::MembershipConfig;

use crate::settings::Section;

pub(crate) fn read_membership(section: &mut Section<'_>) -> MembershipConfig {
    let defaults = MembershipConfig::default();
    MembershipConfig {
        heartbeat_interval: section
            .millis("heartbeat_ms", 10..=60_000)
            .unwrap_or(defaults.heartbeat_interval),
        suspect_after: section
            .number("suspect_after", 2..=100)
            .unwrap_or(defaults.suspect_after),
        suspicion_timeout: section
            .millis("suspicion_ms", 10..=600_000)
            .unwrap_or(defaults.suspicion_timeout),
        stale_after: section
            .millis("stale_ms", 100..=3_600_000)
            .unwrap_or(defaults.stale_after),
        forget_after: section
            .millis("forget_ms", 1_000..=86_400_000)
            .unwrap_or(defaults.forget_after),
        facts_per_message: section
            .number("facts", 1..=1_000)
            .unwrap_or(defaults.facts_per_message),
        fanout: section.number("fanout", 1..=100).unwrap_or(defaults.fanout),
        peer_address: defaults.peer_address,
    }
}
