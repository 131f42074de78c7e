//! What this node does for membership: its own beat, whom it probes, and
//! what it has to tell at once.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::{ids::VmId, time::Timestamp};

/// Whom this node probes and tells; renewed when the members change.
#[derive(Debug, Default, Serialize)]
pub struct MemberView {
    /// The [`MemberTable`](super::MemberTable) version that it was made from.
    pub version: u64,
    /// Nodes that were heard and aren't dead.
    pub live: Vec<VmId>,
    /// Nodes that are dead or were never heard.
    pub absent: Vec<VmId>,
    /// The version that `targets` was made from.
    pub targets_version: u64,
    /// Nodes that this node probes each round.
    pub targets: BTreeSet<VmId>,
}

/// The state of this node's own part in membership.
#[derive(Debug, Default, Serialize)]
pub struct ProbeTable {
    /// Counts what this node said of itself.
    pub beat: u32,
    /// Counts the rounds of probes.
    pub rounds: u64,
    /// When the last round began.
    pub last_round: Timestamp,
    /// Whom this node probes and tells.
    pub view: MemberView,
    /// Targets that did not answer yet in this round.
    #[serde(rename = "awaiting")]
    pub awaiting_ack: BTreeSet<VmId>,
    /// Nodes whose facts are to be told at once.
    #[serde(skip)]
    pub urgent_facts: BTreeSet<VmId>,
    /// Whether this node's own fact is to be told at once.
    #[serde(skip)]
    pub own_fact_urgent: bool,
    /// Messages of old lives that were ignored.
    #[serde(rename = "old_messages")]
    pub stale_messages: u64,
    /// Times that this process found itself paused.
    pub own_pauses: u64,
    /// Times that others claimed a newer life of this node's VM.
    pub superseded: u64,
}
