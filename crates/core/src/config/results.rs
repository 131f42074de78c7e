//! The retained results of recent batches.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{apply::BatchResult, batch::Fingerprint, digest::SetDigest};
use crate::ids::{BatchId, Revision};

/// Number of revisions for which the result of a batch is retained.
///
/// A batch that was planned more revisions ago than this is refused. A duplicate
/// of an accepted batch therefore either matches the retained result or is
/// refused as expired, and is never applied twice.
pub const RESULT_RETENTION_REVISIONS: u64 = 20_000;

/// A batch and its result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// The ID of the batch.
    pub batch: BatchId,
    /// The fingerprint that distinguishes batches with the same ID.
    pub fingerprint: Fingerprint,
    /// Whether the batch was accepted, and at which revision.
    pub result: BatchResult,
}

/// The retained decisions by batch, with an index by revision.
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

    /// Drops the decisions that are too old at revision `now`.
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
