//! Reports on their way between nodes.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Holds, QueueLevel, Report, Said, Sequence, ServerKey};
use crate::time::Timestamp;

/// Bytes that one report takes in a message.
pub const DIGEST_BYTES: u32 = 18;
/// Reports in one message at most.
pub const MAX_DIGESTS: usize = 1_024;
/// Unit of a report's age.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// One report in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    server: ServerKey,
    /// The report's number beyond the message's least one.
    beyond: u64,
    /// Its age in units of 10 ms, which needs no common clock.
    age: u32,
    holds: Holds,
    queue: Option<QueueLevel>,
}

/// Reports from one node to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchMessage {
    /// Whether the receiver passes them on to its failure domain.
    pub relay: bool,
    least: Sequence,
    digests: Vec<Digest>,
}

impl WatchMessage {
    /// Makes a message of the first [`MAX_DIGESTS`] of some reports.
    pub fn new(relay: bool, now: Timestamp, reports: &BTreeMap<ServerKey, Report>) -> Self {
        let reports = || reports.iter().take(MAX_DIGESTS);
        let least = reports().map(|(_, report)| report.said.seq).min();
        let least = least.unwrap_or_default();
        let digest = |(server, report): (&ServerKey, &Report)| Digest {
            server: *server,
            beyond: report.said.seq.0 - least.0,
            age: units(now.since(report.at)),
            holds: report.said.holds,
            queue: report.said.queue,
        };
        Self {
            relay,
            least,
            digests: reports().map(digest).collect(),
        }
    }

    /// Returns the reports as of the receiver's clock.
    pub fn reports(&self, now: Timestamp) -> impl Iterator<Item = (ServerKey, Report)> {
        self.digests.iter().take(MAX_DIGESTS).map(move |digest| {
            let said = Said {
                seq: Sequence(self.least.0.saturating_add(digest.beyond)),
                holds: digest.holds,
                queue: digest.queue,
            };
            let at = now - AGE_UNIT * digest.age;
            (digest.server, Report { said, at })
        })
    }
}

fn units(age: Duration) -> u32 {
    u32::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u32::MAX)
}
