//! Messages between entry nodes.
//!
//! They are one-way: an answer is a message of its own. Any of them may be
//! lost, late or doubled, and the receiver must bear that. The daemon carries
//! them in the order in which they were sent, while a connection lasts.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, Revision, VmId},
    platform::Record,
};

/// Version of the messages; nodes of another version are refused.
pub const PEER_VERSION: u16 = 1;

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Says that the sender lives and what it has in force.
    Heartbeat(Heartbeat),
    /// Configuration that goes from node to node.
    Config(ConfigMessage),
}

/// Carries the configuration between nodes; see
/// `docs/design/configuration.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Asks which revision the receiver has.
    AskRevision,
    /// Answers [`ConfigMessage::AskRevision`].
    Revision(Revision),
    /// Asks for records.
    AskRecords {
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The revision that it has in force.
    pub revision: Revision,
    /// The first bytes of the digest of its configuration.
    pub digest: u64,
    /// Whether it is shutting down.
    pub draining: bool,
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
