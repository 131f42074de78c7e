//! Membership state of this node: its own heartbeat, its probe targets and its
//! urgent gossip.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::{ids::VmId, time::Timestamp};

/// The nodes that this node probes and gossips with, derived from the member
/// table.
#[derive(Debug, Default, Serialize)]
pub struct MemberView {
    /// The [`MemberTable`](super::MemberTable) version from which the view was
    /// derived.
    pub version: u64,
    /// Nodes that have been seen and are not dead.
    pub live: Vec<VmId>,
    /// Nodes that are dead or have never been seen.
    pub absent: Vec<VmId>,
    /// The version from which `targets` was derived.
    pub targets_version: u64,
    /// Nodes that this node probes in each round.
    pub targets: BTreeSet<VmId>,
}

/// Probe and gossip state of this node.
#[derive(Debug, Default, Serialize)]
pub struct ProbeTable {
    /// Sequence number of this node's own heartbeat.
    pub beat: u32,
    /// Number of probe rounds.
    pub rounds: u64,
    /// When the last round began.
    pub last_round: Timestamp,
    /// The nodes that this node probes and gossips with.
    pub view: MemberView,
    /// Probe targets that have not answered in this round.
    #[serde(rename = "awaiting")]
    pub awaiting_ack: BTreeSet<VmId>,
    /// Nodes with facts to be gossiped at once.
    #[serde(skip)]
    pub urgent_facts: BTreeSet<VmId>,
    /// Whether this node's own fact is to be gossiped at once.
    #[serde(skip)]
    pub own_fact_urgent: bool,
    /// Ignored messages of earlier incarnations.
    #[serde(rename = "old_messages")]
    pub stale_messages: u64,
    /// Detected pauses of this process.
    pub own_pauses: u64,
    /// Times that others reported a newer incarnation of this node's VM.
    pub superseded: u64,
}
