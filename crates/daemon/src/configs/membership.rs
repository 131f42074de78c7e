//! Parses the `[membership]` section.

use radishhaven_core::configs::MembershipConfig;

use crate::settings::Section;

pub(crate) fn read_membership(section: &mut Section<'_>) -> MembershipConfig {
    let defaults = MembershipConfig::default();
    MembershipConfig {
        heartbeat: section
            .millis("heartbeat_ms", 10..=60_000)
            .unwrap_or(defaults.heartbeat),
        suspect_after: section
            .number("suspect_after", 2..=100)
            .unwrap_or(defaults.suspect_after),
        suspicion: section
            .millis("suspicion_ms", 10..=600_000)
            .unwrap_or(defaults.suspicion),
        stale: section
            .millis("stale_ms", 100..=3_600_000)
            .unwrap_or(defaults.stale),
        forget: section
            .millis("forget_ms", 1_000..=86_400_000)
            .unwrap_or(defaults.forget),
        facts: section.number("facts", 1..=1_000).unwrap_or(defaults.facts),
        fanout: section.number("fanout", 1..=100).unwrap_or(defaults.fanout),
        peer_address: defaults.peer_address,
    }
}
