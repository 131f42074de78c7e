//! Snapshots: the whole configuration in parts of bounded size.
//!
//! A part is a record of the log, and the body of a message between nodes.
//! The same configuration is always cut into the same parts, so parts from
//! different writers complete each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    apply::{Config, Entry},
    batch::Fingerprint,
    digest::ConfigDigest,
    results::Decision,
};
use crate::ids::Revision;

/// The format that this version writes and reads.
pub const SNAPSHOT_FORMAT: u16 = 1;
/// Bytes after which a part is closed.
const PART_BYTES: usize = 256 * 1024;
/// Most parts of one snapshot.
const MAX_PARTS: u32 = 1_024;

/// Names a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotId {
    /// The revision whose configuration it holds.
    pub revision: Revision,
    /// The digest of that configuration.
    pub digest: ConfigDigest,
    /// The number of its parts.
    pub parts: u32,
}

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The record's format, [`SNAPSHOT_FORMAT`].
    pub format: u16,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The part's number, counted from 0.
    pub part: u32,
    /// The fingerprint of the record before the revision.
    pub tail: Fingerprint,
    /// Records that could not be read up to the revision.
    pub broken_records: u64,
    /// Objects.
    pub entries: Vec<Entry>,
    /// Results of batches.
    pub decisions: Vec<Decision>,
}

impl SnapshotPart {
    /// Tells whether the numbers of the part are within bounds.
    pub fn is_valid(&self) -> bool {
        self.format == SNAPSHOT_FORMAT
            && self.part < self.snapshot.parts
            && self.snapshot.parts <= MAX_PARTS
    }

    /// Writes the part as a record's body.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Config {
    /// Cuts the configuration into parts.
    pub fn snapshot(&self) -> Vec<SnapshotPart> {
        let mut parts = vec![self.empty_part()];
        let mut bytes = 0;
        for entry in self.objects().values() {
            self.grow(&mut parts, &mut bytes, entry)
                .entries
                .push(entry.clone());
        }
        for decision in self.decisions() {
            self.grow(&mut parts, &mut bytes, decision)
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

    fn grow<'a>(
        &self,
        parts: &'a mut Vec<SnapshotPart>,
        bytes: &mut usize,
        item: &impl Serialize,
    ) -> &'a mut SnapshotPart {
        let size = serde_json::to_vec(item).map_or(0, |buf| buf.len());
        if *bytes > 0 && *bytes + size > PART_BYTES {
            parts.push(self.empty_part());
            *bytes = 0;
        }
        *bytes += size;
        let last = parts.len() - 1;
        &mut parts[last]
    }
}

/// Collects the parts of the newest snapshot that is under way.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    id: Option<SnapshotId>,
    parts: BTreeMap<u32, SnapshotPart>,
}

impl SnapshotAssembler {
    /// Takes in a part; returns the configuration once all are there.
    ///
    /// # Errors
    ///
    /// Parts whose content doesn't have the digest that they name are
    /// refused, and collecting begins anew.
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

/// Why a snapshot is not used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Its numbers are out of bounds.
    #[error("a part of a snapshot is out of bounds")]
    OutOfBounds,
    /// Its content doesn't have its digest.
    #[error("the snapshot of revision {0} does not have the digest that it names")]
    Digest(Revision),
}
