//! Messages between entry nodes.
//!
//! They are one-way: an answer is a message of its own. Any of them may be
//! lost, late or doubled, and the receiver must bear that. The daemon carries
//! them in the order in which they were sent, while a connection lasts.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    config::SetDigest,
    ids::{FailureDomain, Incarnation, Revision, VmId},
    once::OnceMessage,
    platform::{Record, VmChanges},
    watch::WatchMessage,
};

/// Version of the messages; nodes of another version are refused.
pub const PEER_PROTOCOL_VERSION: u16 = 2;

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Membership: a probe, its answer, or news of nodes.
    Gossip(Gossip),
    /// Runs a request at most once.
    Once(OnceMessage),
    /// Configuration that goes from node to node.
    Config(ConfigMessage),
    /// Reports of backend servers.
    Watch(WatchMessage),
    /// The VM list that goes from node to node.
    Vms(VmListMessage),
}

/// Carries the VM list between nodes; see `docs/design/vm-list.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmListMessage {
    /// Asks for what changed, and to be told of changes from now on.
    #[serde(rename = "Ask")]
    Query {
        /// Names the question; never used twice.
        #[serde(rename = "question")]
        query_id: u64,
        /// The digest of the list that the sender holds; absent if it wants
        /// the whole list.
        held: Option<SetDigest>,
    },
    /// Answers [`VmListMessage::Query`].
    #[serde(rename = "Answer")]
    Response {
        /// The question.
        #[serde(rename = "question")]
        query_id: u64,
        /// The answer; absent if the sender has no list.
        #[serde(rename = "part")]
        update: Option<VmListUpdate>,
    },
    /// Tells of a change at once.
    Changed(VmListUpdate),
}

/// A VM list, or what leads to it from another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListUpdate {
    /// Counts the changes of the sender's list in its life.
    pub number: u64,
    /// The digest of the list that the changes begin with; absent if they are
    /// the whole list.
    pub base: Option<SetDigest>,
    /// The digest of the list that they lead to.
    pub digest: SetDigest,
    /// How long ago the platform showed the list at the earliest.
    pub began_ago: Duration,
    /// How long ago the platform showed the list at the latest.
    pub ended_ago: Duration,
    /// The changes.
    pub changes: VmChanges,
}

/// Carries the configuration between nodes; see
/// `docs/design/configuration.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Asks which revision the receiver has.
    #[serde(rename = "AskRevision")]
    QueryRevision {
        /// Random number of the question, so that a late answer to an
        /// earlier one is not taken for the answer to this one.
        round: u64,
    },
    /// Answers [`ConfigMessage::QueryRevision`].
    Revision {
        /// The question's number.
        round: u64,
        /// The sender's revision.
        revision: Revision,
    },
    /// Asks for records.
    #[serde(rename = "AskRecords")]
    QueryRecords {
        /// The revision that the sender has.
        from: Revision,
    },
    /// Gives records, asked for or not.
    Records {
        /// The revision at which they begin.
        from: Revision,
        /// The first bytes of the sender's digest at that revision.
        digest: u64,
        /// The revision that the sender has.
        end: Revision,
        /// The records, bounded in number and bytes.
        records: Vec<Record>,
    },
    /// Gives a part of a snapshot, because older records are no longer kept.
    Snapshot {
        /// The part, as it would stand in the log.
        body: String,
    },
}

/// What a node says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The revision that it has in force.
    pub revision: Revision,
    /// The first bytes of the digest of its configuration.
    pub digest: u64,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether it serves callers, as far as its configuration goes.
    pub ready: bool,
    /// Requests that run on it.
    pub open_requests: u32,
}

/// Who sent a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node's VM.
    pub vm: VmId,
    /// The node's life.
    pub incarnation: Incarnation,
}

/// Whether a node is believed to live.
///
/// The order matters: of two facts about the same beat the worse one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// It says that it lives.
    Alive,
    /// It did not answer; it may be paused or its link broken.
    Suspect,
    /// It was suspect for too long.
    Dead,
}

/// Where a node is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Where it serves callers.
    pub address: SocketAddr,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
}

/// What is known of one node. Facts of a node are ordered by incarnation,
/// beat and status, and the greatest one holds; see `docs/design/membership.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFact {
    /// The node's VM.
    pub vm: VmId,
    /// The node's life; 0 for one that was never heard.
    pub incarnation: Incarnation,
    /// Counts what the node said of itself in this life; only the node
    /// itself raises it.
    pub beat: u32,
    /// Whether it is believed to live.
    pub status: MemberStatus,
    /// What it said with this beat.
    #[serde(rename = "said")]
    pub heartbeat: Heartbeat,
    /// Where it is; left out where the receiver should know it.
    pub place: Option<Place>,
}

/// What a gossip message asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Asks for an [`GossipKind::Ack`].
    Probe,
    /// Asks for an [`GossipKind::Ack`] on behalf of a node that had none; the
    /// receiver raises its beat, so that its answer is news to all.
    RelayedProbe,
    /// Asks the receiver to probe another node and to pass on the answer.
    ProbeFor {
        /// The node to probe.
        target: VmId,
    },
    /// Asks for all that the receiver knows; sent by a node that has heard
    /// of nobody.
    Join,
    /// Answers a probe.
    Ack,
    /// Asks for nothing.
    #[serde(rename = "News")]
    Facts,
}

/// A message of membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// What is asked for.
    pub kind: GossipKind,
    /// The sender's own fact.
    pub own: MemberFact,
    /// Facts of other nodes, bounded in number.
    pub facts: Vec<MemberFact>,
    /// What other parts of the node send along.
    pub piggyback: Vec<Piggyback>,
}

/// What other parts send along with membership's messages; a part that needs
/// a slot adds a variant and fills it in `systems::membership::piggyback`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piggyback {}
