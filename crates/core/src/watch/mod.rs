//! Watch over backend servers: who watches which, and what is told of them.
//!
//! No node can ask all backend servers of a large deployment, and nothing of
//! the project runs on their VMs. So each is watched by two nodes, which tell
//! the others what changes. The design note is `docs/design/watch.md`.

mod assignment;
mod message;
mod report;
#[cfg(test)]
mod tests;

pub use assignment::{WatchAssignment, WatcherRole};
pub use message::{MAX_MESSAGE_REPORTS, PACKED_REPORT_BYTES, PackedReport, WatchMessage};
pub use report::{HeldDigest, QueueLevel, Report, ReportBody, Sequence, ServerKey};

use serde::{Deserialize, Serialize};

use crate::{orders::Held, time::Timestamp};

/// What a watcher read of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// What the engine holds.
    pub held: Held,
    /// Steps that wait there, if that was asked for and answered.
    pub queued: Option<u32>,
    /// When that was so.
    pub at: Timestamp,
}
