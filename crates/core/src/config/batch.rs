//! Batches of configuration changes, which operators append to the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::objects::{Object, ObjectKey};
use crate::ids::{BatchId, Revision};

/// Version of the batch format that this build reads and writes.
pub const BATCH_FORMAT: u16 = 1;
/// Maximum number of changes in one batch.
pub const MAX_BATCH_CHANGES: usize = 10_000;

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces an object.
    Put(Object),
    /// Removes an object.
    Delete(ObjectKey),
}

impl Change {
    /// Returns the key of the changed object.
    pub fn key(&self) -> ObjectKey {
        match self {
            Change::Put(object) => object.key(),
            Change::Delete(key) => key.clone(),
        }
    }
}

/// A set of changes that is accepted or refused as a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The version of the batch format, [`BATCH_FORMAT`].
    pub format: u16,
    /// The batch ID, chosen by the operator. A batch that is appended twice
    /// takes effect once.
    pub batch: BatchId,
    /// For each changed object, the revision of its last change as the operator
    /// saw it. An object that isn't listed is expected not to exist.
    #[serde(default)]
    pub base: BTreeMap<ObjectKey, Revision>,
    /// The revision at which the batch was planned. A batch that reaches the
    /// log more than [`super::RESULT_RETENTION_REVISIONS`] later is refused,
    /// because the result of an earlier copy may no longer be retained, and a
    /// duplicate would go undetected.
    #[serde(default)]
    pub planned: Revision,
    /// The fingerprint of the text that the batch was compiled from, or `None`
    /// if there is no such text. Compiling the same text at a later revision
    /// yields a different `base`, but still counts as the same batch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<Fingerprint>,
    /// The changes, in the order in which they apply.
    pub changes: Vec<Change>,
}

impl Batch {
    /// Returns the fingerprint that distinguishes batches with the same ID.
    pub fn fingerprint(&self) -> Fingerprint {
        self.source.unwrap_or_else(|| {
            let changes = serde_json::to_vec(&self.changes).unwrap_or_default();
            Fingerprint::of(&changes)
        })
    }
}

/// The first 64 bits of a SHA-256, which distinguish records, and batches
/// with the same ID.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub(super) u64);

impl Fingerprint {
    /// Computes the fingerprint of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = Sha256::digest(bytes);
        let first = hash.first_chunk::<8>().copied().unwrap_or_default();
        Self(u64::from_be_bytes(first))
    }
}
