//! Messages between entry nodes.
//!
//! Messages are one-way: a response is a separate message. Any message may be
//! lost, delayed or duplicated, and the receiver must tolerate that. Within one
//! connection the daemon delivers messages in the order in which they were sent.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    config::SetDigest,
    ids::{FailureDomain, Incarnation, Revision, VmId},
    once::OnceMessage,
    platform::{Record, VmChanges},
    watch::WatchMessage,
};

/// Version of the peer protocol. Nodes that use another version are refused.
pub const PEER_PROTOCOL_VERSION: u16 = 2;

/// A message from one entry node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Membership: a probe, its acknowledgement, or facts about nodes.
    Gossip(Gossip),
    /// At-most-once execution of a request.
    Once(OnceMessage),
    /// Configuration that nodes replicate from each other.
    Config(ConfigMessage),
    /// Reports about backend servers.
    Watch(WatchMessage),
    /// The VM list that nodes replicate from each other.
    Vms(VmListMessage),
}

/// Replicates the VM list between nodes; see `docs/design/vm-list.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmListMessage {
    /// Requests the changes since `held` and subscribes to later changes.
    #[serde(rename = "Ask")]
    Query {
        /// Unique identifier of the query.
        #[serde(rename = "question")]
        query_id: u64,
        /// Digest of the list that the sender holds; `None` requests the full
        /// list.
        held: Option<SetDigest>,
    },
    /// Answers [`VmListMessage::Query`].
    #[serde(rename = "Answer")]
    Response {
        /// Identifier of the query that this message answers.
        #[serde(rename = "question")]
        query_id: u64,
        /// The list or its changes; `None` if the sender has no list.
        #[serde(rename = "part")]
        update: Option<VmListUpdate>,
    },
    /// Pushes a change to a subscriber as soon as it is applied.
    Changed(VmListUpdate),
}

/// A full VM list, or the changes that lead to it from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListUpdate {
    /// Number of changes to the sender's list since its process started.
    pub number: u64,
    /// Digest of the list to which the changes apply; `None` if `changes` holds
    /// the full list.
    pub base: Option<SetDigest>,
    /// Digest of the list after the changes.
    pub digest: SetDigest,
    /// Time since the read that returned the list began: the platform returned
    /// the list no earlier than this.
    pub began_ago: Duration,
    /// Time since that read ended: the platform returned the list no later than
    /// this.
    pub ended_ago: Duration,
    /// The changes.
    pub changes: VmChanges,
}

/// Replicates the configuration between nodes; see
/// `docs/design/configuration.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Queries the receiver's revision.
    #[serde(rename = "AskRevision")]
    QueryRevision {
        /// Random identifier of the query. It prevents a late response to an
        /// earlier query from being accepted for this one.
        round: u64,
    },
    /// Answers [`ConfigMessage::QueryRevision`].
    Revision {
        /// Identifier of the query that this message answers.
        round: u64,
        /// The sender's revision.
        revision: Revision,
    },
    /// Requests configuration records.
    #[serde(rename = "AskRecords")]
    QueryRecords {
        /// The sender's revision; the records start here.
        from: Revision,
    },
    /// Sends records, in response to a query or unsolicited.
    Records {
        /// The revision at which the records begin.
        from: Revision,
        /// The first bytes of the sender's configuration digest at that revision.
        digest: u64,
        /// The sender's current revision.
        end: Revision,
        /// The records, limited in number and bytes.
        records: Vec<Record>,
    },
    /// Sends a chunk of a snapshot when the requested records are no longer
    /// retained.
    Snapshot {
        /// The chunk, encoded as in the log.
        body: String,
    },
}

/// State that a node reports about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The configuration revision that is active on the node.
    pub revision: Revision,
    /// The first bytes of the digest of the node's configuration.
    pub digest: u64,
    /// Whether the node is shutting down.
    pub draining: bool,
    /// Whether the node's configuration is recent enough to serve callers.
    pub ready: bool,
    /// Number of requests that run on the node.
    pub open_requests: u32,
}

/// The node process that sent a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node's VM.
    pub vm: VmId,
    /// The node's incarnation: identifies one run of the node's process.
    pub incarnation: Incarnation,
}

/// Liveness of a node, as seen by another node.
///
/// The order of the variants matters: of two facts with the same beat, the one
/// with the greater status wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// The node reports itself alive.
    Alive,
    /// The node did not answer probes. It may be paused or its link may be down.
    Suspect,
    /// The node stayed suspect for longer than the suspicion timeout.
    Dead,
}

/// Addresses and failure domain of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Address at which the node serves callers.
    pub address: SocketAddr,
    /// Address at which the node listens for peers.
    pub peer_address: SocketAddr,
    /// The failure domain in which the node runs.
    pub failure_domain: FailureDomain,
}

/// A fact about one node. Facts are ordered by incarnation, beat and status,
/// and the greatest one wins; see `docs/design/membership.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFact {
    /// The node's VM.
    pub vm: VmId,
    /// The node's incarnation; 0 if no message of the node was ever received.
    pub incarnation: Incarnation,
    /// Version of the node's state within its incarnation. Only the node itself
    /// increments it.
    pub beat: u32,
    /// Liveness of the node.
    pub status: MemberStatus,
    /// The state that the node reported with this beat.
    #[serde(rename = "said")]
    pub heartbeat: Heartbeat,
    /// Where the node runs; omitted if the receiver should already have it.
    pub place: Option<Place>,
}

/// Kind of a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Requests a [`GossipKind::Ack`].
    Probe,
    /// Requests a [`GossipKind::Ack`] on behalf of a node that received none.
    /// The receiver increments its beat, which makes its answer a new fact for
    /// all nodes.
    RelayedProbe,
    /// Requests that the receiver probe another node and relay the answer.
    ProbeFor {
        /// The node to probe.
        target: VmId,
    },
    /// Requests all facts that the receiver has. A node sends it while it has
    /// contact with no other node.
    Join,
    /// Acknowledges a probe.
    Ack,
    /// Carries facts and requires no response.
    #[serde(rename = "News")]
    Facts,
}

/// A membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Kind of the message.
    pub kind: GossipKind,
    /// The sender's fact about itself.
    pub own: MemberFact,
    /// Facts about other nodes, limited in number.
    pub facts: Vec<MemberFact>,
    /// Data that other components attach to the message.
    pub piggyback: Vec<Piggyback>,
}

/// Data that other components attach to membership messages. A component that
/// needs a slot adds a variant and fills it in `systems::membership::piggyback`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piggyback {}
