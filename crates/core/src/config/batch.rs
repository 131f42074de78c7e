//! A batch of changes: the record that operators append to the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::objects::{Object, ObjectKey};
use crate::ids::{BatchId, Revision};

/// The format that this version writes and reads.
pub const BATCH_FORMAT: u16 = 1;
/// The most changes that one batch may hold.
pub const MAX_BATCH_CHANGES: usize = 10_000;

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces an object.
    Put(Object),
    /// Removes an object.
    Delete(ObjectKey),
}

impl Change {
    /// Returns the key of the object that is changed.
    pub fn key(&self) -> ObjectKey {
        match self {
            Change::Put(object) => object.key(),
            Change::Delete(key) => key.clone(),
        }
    }
}

/// Changes that are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The record's format, [`BATCH_FORMAT`].
    pub format: u16,
    /// Chosen by the operator; the same batch appended twice counts once.
    pub batch: BatchId,
    /// For each object that is touched, the revision at which the operator
    /// saw it changed last; an object that is left out is expected not to exist.
    #[serde(default)]
    pub base: BTreeMap<ObjectKey, Revision>,
    /// The revision at which the batch was planned. A batch that reaches the
    /// log more than [`super::RESULT_RETENTION_REVISIONS`] later is refused, so that a
    /// duplicate can't outlive the memory of the first one.
    #[serde(default)]
    pub planned: Revision,
    /// The digest of the text that the batch was made from, if it was. The
    /// same text makes other bases later; it is still the same batch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<Fingerprint>,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Batch {
    /// Returns what tells this batch from another one under the same id.
    pub fn fingerprint(&self) -> Fingerprint {
        self.source.unwrap_or_else(|| {
            let changes = serde_json::to_vec(&self.changes).unwrap_or_default();
            Fingerprint::of(&changes)
        })
    }
}

/// The first bytes of a SHA-256; tells apart batches under one id, and records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub(super) u64);

impl Fingerprint {
    /// Takes the fingerprint of some bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = Sha256::digest(bytes);
        let first = hash.first_chunk::<8>().copied().unwrap_or_default();
        Self(u64::from_be_bytes(first))
    }
}
