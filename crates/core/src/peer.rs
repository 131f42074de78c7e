//! Messages between entry nodes.
//!
//! They are one-way: an answer is a message of its own. Any of them may be
//! lost, late or doubled, and the receiver must bear that. The daemon carries
//! them in the order in which they were sent, while a connection lasts.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, Revision, VmId},
    once::OnceMessage,
};

/// Version of the messages; nodes of another version are refused.
pub const PEER_VERSION: u16 = 1;

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Says that the sender lives and what it has in force.
    Heartbeat(Heartbeat),
    /// Runs a request at most once.
    Once(OnceMessage),
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The revision that it has in force.
    pub revision: Revision,
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
