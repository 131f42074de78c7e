//! What became of recent batches.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{apply::BatchResult, batch::Fingerprint, digest::SetDigest};
use crate::ids::{BatchId, Revision};

/// For how many revisions the result of a batch is kept.
///
/// A batch says at which revision it was planned and is refused when that is
/// longer ago than this. A duplicate of a batch that was accepted is therefore
/// either met by the kept result or refused: it never applies twice.
pub const RESULT_RETENTION_REVISIONS: u64 = 20_000;

/// A batch and what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// The batch.
    pub batch: BatchId,
    /// Tells it from another batch under the same id.
    pub fingerprint: Fingerprint,
    /// What became of it.
    pub result: BatchResult,
}

/// Decisions by batch, with an index by revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Results {
    by_batch: BTreeMap<BatchId, Decision>,
    by_revision: BTreeMap<Revision, BatchId>,
    digest: SetDigest,
}

impl Results {
    pub(super) fn get(&self, batch: &BatchId) -> Option<&Decision> {
        self.by_batch.get(batch)
    }

    pub(super) fn digest(&self) -> &SetDigest {
        &self.digest
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Decision> {
        let batches = self.by_revision.values();
        batches.filter_map(|batch| self.by_batch.get(batch))
    }

    pub(super) fn len(&self) -> usize {
        self.by_batch.len()
    }

    pub(super) fn insert(&mut self, decision: Decision) {
        self.digest.add(&decision);
        let (at, batch) = (decision.result.revision(), decision.batch.clone());
        self.by_revision.insert(at, batch.clone());
        self.by_batch.insert(batch, decision);
    }

    /// Forgets what is too old at `now`.
    pub(super) fn expire(&mut self, now: Revision) {
        while let Some(oldest) = self.by_revision.first_entry() {
            if oldest.key().0 + RESULT_RETENTION_REVISIONS >= now.0 {
                return;
            }
            if let Some(decision) = self.by_batch.remove(&oldest.remove()) {
                self.digest.remove(&decision);
            }
        }
    }
}
