//! Snapshots of the complete configuration, split into parts of bounded size.
//!
//! Nodes append the parts to the log as records, and send them to each other
//! in messages. Equal configurations are split into equal parts, so the parts
//! that a node receives may come from different writers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    apply::{Config, Entry},
    batch::Fingerprint,
    digest::ConfigDigest,
    results::Decision,
};
use crate::ids::Revision;

/// Version of the snapshot format that this build reads and writes.
pub const SNAPSHOT_FORMAT: u16 = 1;
/// Size in bytes above which the next object or decision starts a new part.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Maximum number of parts of a snapshot.
const MAX_PARTS: u32 = 1_024;

/// The identity of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotId {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The digest of the configuration.
    pub digest: ConfigDigest,
    /// The number of parts.
    pub parts: u32,
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The version of the snapshot format, [`SNAPSHOT_FORMAT`].
    pub format: u16,
    /// The snapshot that the part belongs to.
    pub snapshot: SnapshotId,
    /// The index of the part, starting at 0.
    pub part: u32,
    /// The fingerprint of the last record before the revision.
    pub tail: Fingerprint,
    /// The number of records before the revision that could not be read.
    pub broken_records: u64,
    /// The configured objects in this part.
    pub entries: Vec<Entry>,
    /// The retained decisions in this part.
    pub decisions: Vec<Decision>,
}

impl SnapshotPart {
    /// Returns whether the format, index and number of parts are valid.
    pub fn is_valid(&self) -> bool {
        self.format == SNAPSHOT_FORMAT
            && self.part < self.snapshot.parts
            && self.snapshot.parts <= MAX_PARTS
    }

    /// Serializes the part as the body of a record.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Config {
    /// Returns a snapshot of the configuration, split into parts.
    pub fn snapshot(&self) -> Vec<SnapshotPart> {
        let mut parts = vec![self.empty_part()];
        let mut bytes = 0;
        for entry in self.objects().values() {
            self.part_for(&mut parts, &mut bytes, entry)
                .entries
                .push(entry.clone());
        }
        for decision in self.decisions() {
            self.part_for(&mut parts, &mut bytes, decision)
                .decisions
                .push(decision.clone());
        }
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (part, number) in parts.iter_mut().zip(0..) {
            part.part = number;
            part.snapshot.parts = count;
        }
        parts
    }

    fn empty_part(&self) -> SnapshotPart {
        SnapshotPart {
            format: SNAPSHOT_FORMAT,
            snapshot: SnapshotId {
                revision: self.revision(),
                digest: self.digest(),
                parts: 0,
            },
            part: 0,
            tail: self.tail(),
            broken_records: self.broken_records(),
            entries: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Returns the part that takes the next item: the last one, or a new one if
    /// the item would exceed [`MAX_PART_BYTES`].
    fn part_for<'a>(
        &self,
        parts: &'a mut Vec<SnapshotPart>,
        bytes: &mut usize,
        item: &impl Serialize,
    ) -> &'a mut SnapshotPart {
        let size = serde_json::to_vec(item).map_or(0, |buf| buf.len());
        if *bytes > 0 && *bytes + size > MAX_PART_BYTES {
            parts.push(self.empty_part());
            *bytes = 0;
        }
        *bytes += size;
        let last = parts.len() - 1;
        &mut parts[last]
    }
}

/// Assembles the newest of the snapshots whose parts it receives.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    id: Option<SnapshotId>,
    parts: BTreeMap<u32, SnapshotPart>,
}

impl SnapshotAssembler {
    /// Adds a part. Returns the configuration once the snapshot is complete, and
    /// `None` before that or if the part belongs to an older snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the part is invalid, or if the complete snapshot
    /// doesn't match its digest. In the latter case its parts are dropped.
    pub fn add(&mut self, part: SnapshotPart) -> Result<Option<Config>, SnapshotError> {
        if !part.is_valid() {
            return Err(SnapshotError::OutOfBounds);
        }
        if self
            .id
            .is_some_and(|id| id.revision > part.snapshot.revision)
        {
            return Ok(None);
        }
        if self.id != Some(part.snapshot) {
            self.parts.clear();
            self.id = Some(part.snapshot);
        }
        let id = part.snapshot;
        self.parts.insert(part.part, part);
        if self.parts.len() < id.parts as usize {
            return Ok(None);
        }
        self.id = None;
        let parts = std::mem::take(&mut self.parts);
        let config = assemble(id, parts);
        if config.digest() == id.digest {
            Ok(Some(config))
        } else {
            Err(SnapshotError::Digest(id.revision))
        }
    }
}

fn assemble(id: SnapshotId, parts: BTreeMap<u32, SnapshotPart>) -> Config {
    let first = parts.get(&0);
    let (tail, broken) = first.map_or_else(Default::default, |p| (p.tail, p.broken_records));
    let (mut entries, mut decisions) = (Vec::new(), Vec::new());
    for part in parts.into_values() {
        entries.extend(part.entries);
        decisions.extend(part.decisions);
    }
    Config::restore(id.revision, tail, broken, entries, decisions)
}

/// The reason why a snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The format, index or number of parts is out of bounds.
    #[error("a snapshot part has an unsupported format or an index out of bounds")]
    OutOfBounds,
    /// The content doesn't match the digest.
    #[error("the snapshot of revision {0} does not match its digest")]
    Digest(Revision),
}
