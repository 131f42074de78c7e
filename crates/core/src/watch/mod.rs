//! Monitoring of backend servers: which nodes watch each server, and the
//! reports that they exchange.
//!
//! No node can poll all backend servers of a large deployment, and no
//! radishhaven process runs on their VMs. Each server is therefore watched by
//! two nodes, which report changes to all others. See `docs/design/watch.md`.

mod assignment;
mod message;
mod report;
#[cfg(test)]
mod tests;

pub use assignment::{WatchAssignment, WatcherRole};
pub use message::{MAX_MESSAGE_REPORTS, PACKED_REPORT_BYTES, PackedReport, WatchMessage};
pub use report::{HeldDigest, QueueLevel, Report, ReportBody, Sequence, ServerKey};

use serde::{Deserialize, Serialize};

use crate::{orders::EngineState, time::Timestamp};

/// State of an engine as read by a watcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The model, layers and adapters that the engine holds.
    pub held: EngineState,
    /// Number of steps that wait at the engine; `None` if not requested or not
    /// answered.
    pub queued: Option<u32>,
    /// Time of the reading.
    pub at: Timestamp,
}
