//! Replication of the VM list.
//!
//! Some nodes, the readers, read the list from the platform. The others
//! subscribe to a reader and receive its changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::{
    config::SetDigest,
    ids::{Incarnation, VmId},
    time::Timestamp,
};

/// The revision of another node's list that this node's list equals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmSource {
    /// The other node.
    pub vm: VmId,
    /// The other node's incarnation.
    pub incarnation: Incarnation,
    /// The number of its list in that incarnation.
    pub number: u64,
}

/// An open query to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmQuery {
    /// The other node.
    pub to: VmId,
    /// Identifies the query; never reused.
    pub id: u64,
    /// When the query was sent.
    #[serde(rename = "asked")]
    pub sent_at: Timestamp,
}

/// Replication counters.
#[derive(Debug, Clone, Default, Serialize)]
pub struct VmReplicationCounters {
    /// Lists received from the platform.
    pub reads: u64,
    /// Reads that were dropped because a newer list had arrived meanwhile.
    pub late_reads: u64,
    /// Chunks from peers that were applied.
    #[serde(rename = "parts_taken")]
    pub chunks_applied: u64,
    /// Chunks from peers that were dropped because they may have been outdated.
    #[serde(rename = "old_parts")]
    pub stale_chunks: u64,
    /// Chunks from peers that did not produce the list with the stated digest.
    pub divergences: u64,
    /// Snapshots of the list sent to peers.
    #[serde(rename = "wholes_given")]
    pub snapshots_sent: u64,
    /// Deltas sent to peers.
    #[serde(rename = "changes_given")]
    pub changes_sent: u64,
}

/// The state of the VM list's replication.
///
/// The platform returned this node's current list at some time between
/// `read_began` and `read_ended`, on this node's clock.
#[derive(Debug, Default, Serialize)]
pub struct VmReplicationTable {
    /// The earliest time at which the platform may have returned the list.
    pub read_began: Timestamp,
    /// The latest time at which the platform may have returned the list.
    pub read_ended: Timestamp,
    /// The peer's list that this list equals; `None` if it comes from this
    /// node's own read.
    pub source: Option<VmSource>,
    /// Number of changes of the list in this incarnation.
    pub number: u64,
    /// When this node last began to read the list from the platform.
    #[serde(rename = "tried")]
    pub last_read_began: Option<Timestamp>,
    /// When the read in progress began.
    #[serde(rename = "reading")]
    pub open_read: Option<Timestamp>,
    /// Random fraction of the fallback time that is added to it, to spread the
    /// nodes' fallback reads.
    #[serde(skip)]
    pub fallback_jitter: f64,
    /// The reader that this node subscribes to; `None` while the node reads the
    /// list itself.
    pub reader: Option<VmId>,
    /// The open query.
    #[serde(rename = "question")]
    pub query: Option<VmQuery>,
    /// When to send the next query.
    #[serde(rename = "next_ask")]
    pub next_query: Timestamp,
    /// Number of queries without a useful response; it selects the next reader
    /// to try.
    #[serde(rename = "unhelped")]
    pub failed_queries: u64,
    /// Whether the next query must request a snapshot instead of a delta.
    #[serde(rename = "mistrusts")]
    pub needs_snapshot: bool,
    /// Nodes that subscribe to this one, with the expiry of each subscription.
    #[serde(rename = "followers")]
    pub subscribers: BTreeMap<VmId, Timestamp>,
    /// Nodes that wait for a snapshot, with their query ids.
    #[serde(skip)]
    pub snapshot_waiters: BTreeMap<VmId, u64>,
    /// The earliest time for sending the next snapshot.
    #[serde(rename = "next_whole")]
    pub next_snapshot: Timestamp,
    /// The last changes of the list: the digest before each change, and the
    /// changed VMs.
    #[serde(skip)]
    pub changes: VecDeque<(SetDigest, BTreeSet<VmId>)>,
    /// Counters.
    pub counters: VmReplicationCounters,
}
