//! A batch of changes: the record that operators append to the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

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
    /// The changes.
    pub changes: Vec<Change>,
}
