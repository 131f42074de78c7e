//! Reports on their way between nodes.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{HeldDigest, QueueLevel, Report, ReportBody, Sequence, ServerKey};
use crate::time::Timestamp;

/// Bytes that one report takes in a message.
pub const PACKED_REPORT_BYTES: u32 = 18;
/// Reports in one message at most.
pub const MAX_MESSAGE_REPORTS: usize = 1_024;
/// Unit of a report's age.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// One report in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedReport {
    server: ServerKey,
    /// The report's number beyond the message's least one.
    #[serde(rename = "beyond")]
    seq_offset: u64,
    /// Its age in units of 10 ms, which needs no common clock.
    age: u32,
    holds: HeldDigest,
    queue: Option<QueueLevel>,
}

/// Reports from one node to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchMessage {
    /// Whether the receiver passes them on to its failure domain.
    pub relay: bool,
    least: Sequence,
    #[serde(rename = "digests")]
    packed: Vec<PackedReport>,
}

impl WatchMessage {
    /// Makes a message of the first [`MAX_MESSAGE_REPORTS`] of some reports.
    pub fn new(relay: bool, now: Timestamp, reports: &BTreeMap<ServerKey, Report>) -> Self {
        let reports = || reports.iter().take(MAX_MESSAGE_REPORTS);
        let min_seq = reports().map(|(_, report)| report.body.seq).min();
        let min_seq = min_seq.unwrap_or_default();
        let pack = |(server, report): (&ServerKey, &Report)| PackedReport {
            server: *server,
            seq_offset: report.body.seq.0 - min_seq.0,
            age: units(now.since(report.at)),
            holds: report.body.holds,
            queue: report.body.queue,
        };
        Self {
            relay,
            least: min_seq,
            packed: reports().map(pack).collect(),
        }
    }

    /// Returns the reports as of the receiver's clock.
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

fn units(age: Duration) -> u32 {
    u32::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u32::MAX)
}
