//! Watch over backend servers: who watches which, and what is told of them.
//!
//! No node can ask all backend servers of a large deployment, and nothing of
//! the project runs on their VMs. So each is watched by two nodes, which tell
//! the others what changes. The design note is `docs/design/watch.md`.

mod message;
mod report;
mod shares;
#[cfg(test)]
mod tests;

pub use message::{DIGEST_BYTES, Digest, MAX_DIGESTS, WatchMessage};
pub use report::{Holds, QueueLevel, Report, Said, Sequence, ServerKey};
pub use shares::{Role, Shares};

use serde::{Deserialize, Serialize};

use crate::{orders::EngineState, time::Timestamp};

/// What a watcher read of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// What the engine holds.
    pub held: EngineState,
    /// Steps that wait there, if that was asked for and answered.
    pub queued: Option<u32>,
    /// When that was so.
    pub at: Timestamp,
}
