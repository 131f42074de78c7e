//! How this node follows the configuration: the log, the peers, its start.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    config::SnapshotReader,
    ids::{Revision, VmId},
    time::{TimerId, Timestamp},
};

/// How the log stands to this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogState {
    /// It was not read yet.
    #[default]
    Unread,
    /// Its records are folded.
    Following,
    /// It does not answer.
    Unreachable,
    /// It ends below this node's revision; nothing is folded from it.
    Shorter,
    /// It holds other records than this node folded; nothing is folded from it.
    OtherHistory,
    /// It no longer keeps the next record; a snapshot is looked for.
    Expired,
}

/// The time in which the node must not serve yet, because peers may hold a
/// newer revision.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Join {
    /// When it began.
    pub began: Timestamp,
    /// Whether the node has served before in this life.
    #[serde(rename = "again")]
    pub rejoin: bool,
    /// Whether peers were asked for their revisions.
    #[serde(rename = "asked")]
    pub queried: bool,
    /// Whether all peers were asked in this round, and not a few.
    #[serde(rename = "all")]
    pub query_all: bool,
    /// When they were asked last.
    #[serde(rename = "asked_at")]
    pub queried_at: Timestamp,
    /// The number of the question that is open.
    pub round: u64,
    /// Peers that have not answered.
    pub pending: BTreeSet<VmId>,
    /// What the others have said.
    #[serde(rename = "heard")]
    pub revisions: BTreeMap<VmId, Revision>,
    /// Whether the log was read to its end meanwhile.
    pub log_read: bool,
    /// The subscription to the end of the round.
    #[serde(skip)]
    pub timer: Option<TimerId>,
}

/// What was counted while following.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ReplicationCounters {
    /// Times at which a log was found that would have reverted the node.
    pub reverts_refused: u64,
    /// Digests or records of others that differ from this node's.
    pub divergences: u64,
    /// Records that came from peers.
    pub records_from_peers: u64,
    /// Records that were given to peers.
    #[serde(rename = "records_to_peers")]
    pub records_sent_to_peers: u64,
    /// Snapshots that this node wrote.
    pub snapshots_written: u64,
    /// Snapshots that this node started from.
    pub snapshots_loaded: u64,
    /// Snapshots whose content is not what they say.
    pub snapshots_refused: u64,
    /// Times at which the node asked its peers before it served on.
    pub joins: u64,
    /// Times at which it was told that the node still does not serve.
    pub joins_overdue: u64,
}

/// How this node follows the configuration.
#[derive(Debug, Serialize)]
pub struct ReplicationTable {
    /// How the log stands.
    pub log: LogState,
    /// When the log answered last.
    #[serde(rename = "read")]
    pub last_log_read: Option<Timestamp>,
    /// Reads that failed since then.
    pub failures: u32,
    /// Whether the last read brought records.
    #[serde(rename = "busy")]
    pub last_read_had_records: bool,
    /// Whether the next read must show the record before the next one.
    pub verify: bool,
    /// The offset from which snapshots are looked for.
    #[serde(rename = "scan")]
    pub snapshot_scan: Option<u64>,
    /// The snapshot that is being read from the log.
    #[serde(skip)]
    pub log_snapshot: SnapshotReader,
    /// The snapshot that is being read from a peer.
    #[serde(skip)]
    pub peer_snapshot: SnapshotReader,
    /// When the log or a peer was heard.
    #[serde(rename = "contact")]
    pub last_contact: Timestamp,
    /// When the last event came.
    #[serde(rename = "handled")]
    pub last_event: Timestamp,
    /// The node's start or return, while it lasts.
    pub join: Option<Join>,
    /// The peer that was asked for records, and until when its answer is awaited.
    #[serde(rename = "ask")]
    pub pending_query: Option<(VmId, Timestamp)>,
    /// Whether the node will soon ask a peer.
    pub catch_up: bool,
    /// The newest snapshot that was seen in the log.
    pub newest_snapshot: Revision,
    /// When it was seen.
    pub snapshot_seen: Timestamp,
    /// Whether the node waits for its turn to write a snapshot.
    #[serde(rename = "snapshot_waiting")]
    pub snapshot_scheduled: bool,
    /// The snapshot that was given to peers last.
    #[serde(skip)]
    pub served_snapshot: Option<(Revision, Vec<String>)>,
    /// What was counted.
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
            log_snapshot: SnapshotReader::default(),
            peer_snapshot: SnapshotReader::default(),
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
