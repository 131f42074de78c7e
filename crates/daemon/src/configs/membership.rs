//! Reads `[membership]`.

use radishhaven_core::configs::MembershipConfig;

use crate::settings::Section;

pub(crate) fn read_membership(section: &mut Section<'_>) -> MembershipConfig {
    let d = MembershipConfig::default();
    MembershipConfig {
        heartbeat: section
            .millis("heartbeat_ms", 10..=60_000)
            .unwrap_or(d.heartbeat),
    }
}
