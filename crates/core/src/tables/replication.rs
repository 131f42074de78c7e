//! Replication of the configuration from the log and from peers, and the join
//! at startup.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    config::SnapshotAssembler,
    ids::{Revision, VmId},
    time::{TimerId, Timestamp},
};

/// The state of the configuration log relative to this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogState {
    /// The log has not been read yet.
    #[default]
    Unread,
    /// Records of the log are being applied.
    Following,
    /// The log does not answer.
    Unreachable,
    /// The log ends before this node's revision; no records of it are applied.
    Shorter,
    /// The log's records differ from those that this node has applied; no
    /// records of it are applied.
    OtherHistory,
    /// The log no longer retains the next record; the node looks for a snapshot
    /// instead.
    Expired,
}

/// The phase after a start or a long pause in which the node must not serve
/// yet, because peers may hold a newer revision.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Join {
    /// When the phase began.
    pub began: Timestamp,
    /// Whether the node has already served in this incarnation.
    #[serde(rename = "again")]
    pub rejoin: bool,
    /// Whether peers have been queried for their revisions.
    #[serde(rename = "asked")]
    pub queried: bool,
    /// Whether all peers are queried in this round, rather than a few.
    #[serde(rename = "all")]
    pub query_all: bool,
    /// When the peers were last queried.
    #[serde(rename = "asked_at")]
    pub queried_at: Timestamp,
    /// The number of the current query round.
    pub round: u64,
    /// Peers that have not answered in this round.
    pub pending: BTreeSet<VmId>,
    /// The revisions that the peers have reported.
    #[serde(rename = "heard")]
    pub revisions: BTreeMap<VmId, Revision>,
    /// Whether the log has been read to its end since the phase began.
    pub log_read: bool,
    /// The timer for the end of the round.
    #[serde(skip)]
    pub timer: Option<TimerId>,
}

/// Replication counters.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ReplicationCounters {
    /// Times that a log was rejected because applying it would have reverted
    /// the configuration.
    pub reverts_refused: u64,
    /// Digests or records of other nodes or the log that differ from this
    /// node's.
    pub divergences: u64,
    /// Records received from peers.
    pub records_from_peers: u64,
    /// Records sent to peers.
    #[serde(rename = "records_to_peers")]
    pub records_sent_to_peers: u64,
    /// Snapshots written by this node.
    pub snapshots_written: u64,
    /// Snapshots that this node loaded.
    pub snapshots_loaded: u64,
    /// Snapshots rejected as malformed or because their content doesn't match
    /// their digest.
    pub snapshots_refused: u64,
    /// Times that the node queried its peers before it served.
    pub joins: u64,
    /// Warnings that the node is still not serving.
    pub joins_overdue: u64,
}

/// The state of the configuration's replication.
#[derive(Debug, Serialize)]
pub struct ReplicationTable {
    /// The state of the log.
    pub log: LogState,
    /// When the log last answered.
    #[serde(rename = "read")]
    pub last_log_read: Option<Timestamp>,
    /// Failed reads since then.
    pub failures: u32,
    /// Whether the last read returned records.
    #[serde(rename = "busy")]
    pub last_read_had_records: bool,
    /// Whether the next read must include the record before the next one, to
    /// compare it with the applied one.
    pub verify: bool,
    /// The offset at which the search for snapshots continues.
    #[serde(rename = "scan")]
    pub snapshot_scan: Option<u64>,
    /// The snapshot that is being read from the log.
    #[serde(skip)]
    pub log_snapshot: SnapshotAssembler,
    /// The snapshot that is being received from a peer.
    #[serde(skip)]
    pub peer_snapshot: SnapshotAssembler,
    /// When the log or a peer last answered.
    #[serde(rename = "contact")]
    pub last_contact: Timestamp,
    /// When the last event was handled.
    #[serde(rename = "handled")]
    pub last_event: Timestamp,
    /// The join phase, while it lasts.
    pub join: Option<Join>,
    /// The peer that was queried for records, and the deadline for its
    /// response.
    #[serde(rename = "ask")]
    pub pending_query: Option<(VmId, Timestamp)>,
    /// Whether a query for records is scheduled.
    pub catch_up: bool,
    /// The revision of the newest snapshot seen in the log.
    pub newest_snapshot: Revision,
    /// When that snapshot was seen.
    pub snapshot_seen: Timestamp,
    /// Whether a snapshot by this node is scheduled.
    #[serde(rename = "snapshot_waiting")]
    pub snapshot_scheduled: bool,
    /// The snapshot that was last sent to peers.
    #[serde(skip)]
    pub served_snapshot: Option<(Revision, Vec<String>)>,
    /// Counters.
    pub counters: ReplicationCounters,
}

impl Default for ReplicationTable {
    fn default() -> Self {
        Self {
            log: LogState::default(),
            last_log_read: None,
            failures: 0,
            last_read_had_records: false,
            verify: false,
            snapshot_scan: None,
            log_snapshot: SnapshotAssembler::default(),
            peer_snapshot: SnapshotAssembler::default(),
            last_contact: Timestamp::default(),
            last_event: Timestamp::default(),
            join: Some(Join::default()),
            pending_query: None,
            catch_up: false,
            newest_snapshot: Revision(0),
            snapshot_seen: Timestamp::default(),
            snapshot_scheduled: false,
            served_snapshot: None,
            counters: ReplicationCounters::default(),
        }
    }
}
