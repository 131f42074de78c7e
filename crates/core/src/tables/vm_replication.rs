//! How this node follows the VM list: its own reads, the node that it relies
//! on, and the nodes that rely on it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::{
    config::SetDigest,
    ids::{Incarnation, VmId},
    time::Timestamp,
};

/// The list of another node that this node's list is equal to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmSource {
    /// The other node.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of its list in that life.
    pub number: u64,
}

/// A question that another node should answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmQuery {
    /// The other node.
    pub to: VmId,
    /// Names the question; never used twice.
    pub id: u64,
    /// When it was asked.
    #[serde(rename = "asked")]
    pub sent_at: Timestamp,
}

/// What was counted while following.
#[derive(Debug, Clone, Default, Serialize)]
pub struct VmReplicationCounters {
    /// Lists that the platform gave.
    pub reads: u64,
    /// Reads that came after something newer, and were dropped.
    pub late_reads: u64,
    /// Parts of peers that were taken over.
    #[serde(rename = "parts_taken")]
    pub chunks_applied: u64,
    /// Parts of peers that might have been older, and were dropped.
    #[serde(rename = "old_parts")]
    pub stale_chunks: u64,
    /// Parts of peers that don't lead to the list that they name.
    pub divergences: u64,
    /// Whole lists that were given to peers.
    #[serde(rename = "wholes_given")]
    pub snapshots_sent: u64,
    /// Changes that were given to peers.
    #[serde(rename = "changes_given")]
    pub changes_sent: u64,
}

/// How this node follows the VM list.
///
/// The list that it holds was shown by the platform between `read_began` and
/// `read_ended`, in this node's time.
#[derive(Debug, Default, Serialize)]
pub struct VmReplicationTable {
    /// The earliest moment at which the platform may have shown the list.
    pub read_began: Timestamp,
    /// The latest moment at which the platform may have shown the list.
    pub read_ended: Timestamp,
    /// The list that it equals, unless it is of an own read.
    pub source: Option<VmSource>,
    /// Counts changes of the list in this life.
    pub number: u64,
    /// When an own read was begun last.
    #[serde(rename = "tried")]
    pub last_read_began: Option<Timestamp>,
    /// When the own read that is open was begun.
    #[serde(rename = "reading")]
    pub open_read: Option<Timestamp>,
    /// Part of the fallback time that is waited beyond it.
    #[serde(skip)]
    pub fallback_jitter: f64,
    /// The node that this node relies on; absent while it reads itself.
    pub reader: Option<VmId>,
    /// The question that is open.
    #[serde(rename = "question")]
    pub query: Option<VmQuery>,
    /// When to ask next.
    #[serde(rename = "next_ask")]
    pub next_query: Timestamp,
    /// Questions that did not help, so that another reader comes next.
    #[serde(rename = "unhelped")]
    pub failed_queries: u64,
    /// Whether the whole list must be asked for.
    #[serde(rename = "mistrusts")]
    pub needs_snapshot: bool,
    /// Nodes that rely on this one, and until when.
    #[serde(rename = "followers")]
    pub subscribers: BTreeMap<VmId, Timestamp>,
    /// Nodes that wait for the whole list, with their questions.
    #[serde(skip)]
    pub snapshot_waiters: BTreeMap<VmId, u64>,
    /// When the next whole list may be given.
    #[serde(rename = "next_whole")]
    pub next_snapshot: Timestamp,
    /// What the list was before each of the last changes, and what changed.
    #[serde(skip)]
    pub changes: VecDeque<(SetDigest, BTreeSet<VmId>)>,
    /// What was counted.
    pub counters: VmReplicationCounters,
}
