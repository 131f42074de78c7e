//! Compact encoding of reports in messages between nodes.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{HeldDigest, QueueLevel, Report, ReportBody, Sequence, ServerKey};
use crate::time::Timestamp;

/// Encoded size of one report in a message, in bytes.
pub const PACKED_REPORT_BYTES: u32 = 18;
/// Maximum number of reports in one message.
pub const MAX_MESSAGE_REPORTS: usize = 1_024;
/// Unit in which a message encodes the age of a report.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// One report as encoded in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedReport {
    server: ServerKey,
    /// Offset of the report's sequence number from the lowest one in the message.
    #[serde(rename = "beyond")]
    seq_offset: u64,
    /// Age of the report in units of [`AGE_UNIT`]. An age, unlike a time, does
    /// not require synchronised clocks.
    age: u32,
    holds: HeldDigest,
    queue: Option<QueueLevel>,
}

/// Reports that one node sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchMessage {
    /// Whether the receiver relays the reports to the other nodes of its failure
    /// domain.
    pub relay: bool,
    /// The lowest sequence number among the reports.
    least: Sequence,
    #[serde(rename = "digests")]
    packed: Vec<PackedReport>,
}

impl WatchMessage {
    /// Creates a message with the first [`MAX_MESSAGE_REPORTS`] of `reports`.
    pub fn new(relay: bool, now: Timestamp, reports: &BTreeMap<ServerKey, Report>) -> Self {
        let reports = || reports.iter().take(MAX_MESSAGE_REPORTS);
        let min_seq = reports().map(|(_, report)| report.body.seq).min();
        let min_seq = min_seq.unwrap_or_default();
        let pack = |(server, report): (&ServerKey, &Report)| PackedReport {
            server: *server,
            seq_offset: report.body.seq.0 - min_seq.0,
            age: age_units(now.since(report.at)),
            holds: report.body.holds,
            queue: report.body.queue,
        };
        Self {
            relay,
            least: min_seq,
            packed: reports().map(pack).collect(),
        }
    }

    /// Returns the reports, with times converted to the receiver's clock.
    pub fn reports(&self, now: Timestamp) -> impl Iterator<Item = (ServerKey, Report)> {
        self.packed
            .iter()
            .take(MAX_MESSAGE_REPORTS)
            .map(move |packed| {
                let body = ReportBody {
                    seq: Sequence(self.least.0.saturating_add(packed.seq_offset)),
                    holds: packed.holds,
                    queue: packed.queue,
                };
                let at = now - AGE_UNIT * packed.age;
                (packed.server, Report { body, at })
            })
    }
}

fn age_units(age: Duration) -> u32 {
    u32::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u32::MAX)
}
