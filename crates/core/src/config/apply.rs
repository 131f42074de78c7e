//! The active configuration, and the records that change it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    batch::{Batch, Change, Fingerprint},
    digest::{ConfigDigest, SetDigest},
    objects::{Kind, Object, ObjectKey},
    record::{LogRecord, RecordError},
    references::{DependencyIndex, dependency},
    results::{Decision, RESULT_RETENTION_REVISIONS, Results},
    snapshot::SnapshotPart,
};
use crate::{
    ids::{BatchId, Revision},
    platform::Record,
};

/// Maximum number of conflicts listed in a refusal; further ones are left out.
const MAX_CONFLICTS: usize = 64;

/// A configured object and its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The object.
    pub object: Object,
    /// The revision of the last change.
    pub changed: Revision,
    /// The batch that made the last change.
    pub by: BatchId,
}

/// An object that changed after the operator read it and before the batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object.
    pub key: ObjectKey,
    /// The revision of the last change that the operator saw; 0 if the object
    /// didn't exist.
    pub expected: Revision,
    /// The revision of the actual last change; 0 if the object doesn't exist.
    pub found: Revision,
    /// The batch that made the last change; `None` if the object doesn't exist.
    pub by: Option<BatchId>,
}

/// The reason why a batch was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum BatchRefusal {
    /// Other batches changed some of the objects first.
    #[error("{} objects were changed by another batch", .0.len())]
    Conflicts(Vec<Conflict>),
    /// The resulting configuration would be inconsistent.
    #[error("{0}")]
    Invalid(String),
    /// The batch was planned so long ago that a duplicate would go undetected.
    #[error("the batch was planned at revision {0}, which is too long ago; plan it again")]
    Expired(Revision),
    /// The batch was planned at a revision that the log has not reached.
    #[error("the batch was planned at revision {0}, which the log has not reached")]
    Ahead(Revision),
    /// Another batch used the same ID.
    #[error("the batch id was used for other changes, decided at revision {0}")]
    IdTaken(Revision),
}

/// The result of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchResult {
    /// The batch is active since this revision.
    Accepted(Revision),
    /// The batch was refused at this revision.
    Refused(Revision, BatchRefusal),
}

impl BatchResult {
    /// Returns the revision at which the batch was accepted or refused.
    pub fn revision(&self) -> Revision {
        match self {
            BatchResult::Accepted(at) | BatchResult::Refused(at, _) => *at,
        }
    }
}

/// The error returned for a record that can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The record is not the next one in the log.
    #[error("expected record {expected}, got record {found}")]
    OutOfOrder {
        /// The offset of the next record.
        expected: u64,
        /// The offset of the given record.
        found: u64,
    },
}

/// The effect of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record held a new batch, which was accepted or refused.
    Decided {
        /// The batch and its result.
        decision: Decision,
        /// The keys of the changed objects.
        changed: BTreeSet<ObjectKey>,
    },
    /// The record held a batch whose ID was decided before; nothing changed.
    Duplicate(BatchId),
    /// The record held a part of a snapshot; nothing changed.
    Snapshot(Box<SnapshotPart>),
    /// The record can't be read; only the number of broken records changed.
    Unreadable(RecordError),
}

/// The configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Config {
    revision: Revision,
    tail: Fingerprint,
    objects: BTreeMap<ObjectKey, Entry>,
    objects_digest: SetDigest,
    dependencies: DependencyIndex,
    results: Results,
    broken_records: u64,
}

impl Config {
    /// Creates the empty configuration before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    pub(super) fn restore(
        revision: Revision,
        tail: Fingerprint,
        broken_records: u64,
        entries: impl IntoIterator<Item = Entry>,
        decisions: impl IntoIterator<Item = Decision>,
    ) -> Self {
        let mut config = Self {
            revision,
            tail,
            broken_records,
            ..Self::default()
        };
        for entry in entries {
            config.replace(entry.object.key(), Some(entry));
        }
        for decision in decisions {
            config.results.insert(decision);
        }
        config
    }

    /// Returns the revision, which is the offset of the next record to apply.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the fingerprint of the last applied record.
    pub fn tail(&self) -> Fingerprint {
        self.tail
    }

    /// Returns the number of applied records that could not be read.
    pub fn broken_records(&self) -> u64 {
        self.broken_records
    }

    /// Returns all configured objects by key.
    pub fn objects(&self) -> &BTreeMap<ObjectKey, Entry> {
        &self.objects
    }

    /// Returns the decision on a batch, while it is retained.
    pub fn decision(&self, batch: &BatchId) -> Option<&Decision> {
        self.results.get(batch)
    }

    /// Returns the result of a batch, while it is retained.
    pub fn result(&self, batch: &BatchId) -> Option<&BatchResult> {
        self.decision(batch).map(|decision| &decision.result)
    }

    /// Returns the retained decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.results.iter()
    }

    /// Returns the number of retained decisions.
    pub fn decision_count(&self) -> usize {
        self.results.len()
    }

    /// Returns the objects that depend on an object.
    pub fn dependents(&self, key: &ObjectKey) -> impl Iterator<Item = &ObjectKey> {
        self.dependencies.dependents(key)
    }

    /// Returns the digest, which nodes compare to detect divergence. It takes
    /// constant time, whatever the size of the configuration.
    pub fn digest(&self) -> ConfigDigest {
        let mut hash = Sha256::new();
        hash.update(self.revision.0.to_be_bytes());
        hash.update(self.tail.0.to_be_bytes());
        hash.update(self.broken_records.to_be_bytes());
        self.objects_digest.update(&mut hash);
        self.results.digest().update(&mut hash);
        ConfigDigest::finish(hash)
    }

    /// Applies the next record.
    ///
    /// A record that can't be read is counted on every node alike, and otherwise
    /// changes only the revision. The time that this takes is proportional to the
    /// size of the record, not of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the record is not the next one
    /// in the log.
    pub fn apply_record(&mut self, record: &Record) -> Result<RecordOutcome, ApplyError> {
        if record.offset != self.revision.0 {
            let expected = self.revision.0;
            return Err(ApplyError::OutOfOrder {
                expected,
                found: record.offset,
            });
        }
        self.revision = Revision(record.offset + 1);
        self.tail = Fingerprint::of(record.body.as_bytes());
        self.results.expire(self.revision);
        Ok(match LogRecord::parse(&record.body) {
            Ok(LogRecord::Batch(batch)) => self.decide(batch),
            Ok(LogRecord::Snapshot(part)) => RecordOutcome::Snapshot(Box::new(part)),
            Err(why) => {
                self.broken_records += 1;
                RecordOutcome::Unreadable(why)
            }
        })
    }

    fn decide(&mut self, batch: Batch) -> RecordOutcome {
        if self.results.get(&batch.batch).is_some() {
            return RecordOutcome::Duplicate(batch.batch);
        }
        let at = self.revision;
        let (result, changed) = match self.apply_batch(&batch) {
            Ok(undo) => {
                let changed = undo.into_iter().map(|(key, _)| key).collect();
                (BatchResult::Accepted(at), changed)
            }
            Err(why) => (BatchResult::Refused(at, why), BTreeSet::new()),
        };
        let decision = Decision {
            fingerprint: batch.fingerprint(),
            batch: batch.batch,
            result,
        };
        self.results.insert(decision.clone());
        RecordOutcome::Decided { decision, changed }
    }

    /// Checks whether a batch would be accepted if it were the next record.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the batch would be refused.
    pub fn preview(&mut self, batch: &Batch) -> Result<(), BatchRefusal> {
        if let Some(decision) = self.results.get(&batch.batch) {
            return Err(BatchRefusal::IdTaken(decision.result.revision()));
        }
        self.revision.0 += 1;
        let undo = self.apply_batch(batch);
        self.revision.0 -= 1;
        self.revert(undo?);
        Ok(())
    }

    fn apply_batch(&mut self, batch: &Batch) -> Result<Undo, BatchRefusal> {
        let planned = batch.planned;
        if planned >= self.revision {
            return Err(BatchRefusal::Ahead(planned));
        }
        if planned.0 + RESULT_RETENTION_REVISIONS < self.revision.0 {
            return Err(BatchRefusal::Expired(planned));
        }
        let conflicts = self.conflicts(batch);
        if !conflicts.is_empty() {
            return Err(BatchRefusal::Conflicts(conflicts));
        }
        let undo = self.make_changes(batch);
        if let Err(message) = self.validate(&undo) {
            self.revert(undo);
            return Err(BatchRefusal::Invalid(message));
        }
        Ok(undo)
    }

    fn conflicts(&self, batch: &Batch) -> Vec<Conflict> {
        let touched: BTreeSet<ObjectKey> = batch.changes.iter().map(Change::key).collect();
        let conflict = |key: ObjectKey| {
            let expected = batch.base.get(&key).copied().unwrap_or_default();
            let entry = self.objects.get(&key);
            let found = entry.map(|e| e.changed).unwrap_or_default();
            let by = entry.map(|e| e.by.clone());
            (expected != found).then_some(Conflict {
                key,
                expected,
                found,
                by,
            })
        };
        let conflicts = touched.into_iter().filter_map(conflict);
        conflicts.take(MAX_CONFLICTS).collect()
    }

    fn make_changes(&mut self, batch: &Batch) -> Undo {
        let mut undo = Undo::new();
        for change in &batch.changes {
            let entry = match change {
                Change::Put(object) => Some(Entry {
                    object: object.clone(),
                    changed: self.revision,
                    by: batch.batch.clone(),
                }),
                Change::Delete(_) => None,
            };
            let key = change.key();
            let old = self.replace(key.clone(), entry);
            undo.push((key, old));
        }
        undo
    }

    fn revert(&mut self, undo: Undo) {
        for (key, old) in undo.into_iter().rev() {
            self.replace(key, old);
        }
    }

    fn replace(&mut self, key: ObjectKey, entry: Option<Entry>) -> Option<Entry> {
        if let Some(entry) = &entry {
            self.objects_digest.add(entry);
        }
        let old = match entry.clone() {
            Some(entry) => self.objects.insert(key, entry),
            None => self.objects.remove(&key),
        };
        if let Some(old) = &old {
            self.objects_digest.remove(old);
            self.dependencies.remove(&old.object);
        }
        if let Some(entry) = &entry {
            self.dependencies.add(&entry.object);
        }
        old
    }

    fn validate(&self, changed: &Undo) -> Result<(), String> {
        let keys: BTreeSet<&ObjectKey> = changed.iter().map(|(key, _)| key).collect();
        keys.into_iter().try_for_each(|key| self.validate_one(key))
    }

    /// Checks the dependency of the object at `key`, and the most demanding of
    /// the objects that depend on it.
    fn validate_one(&self, key: &ObjectKey) -> Result<(), String> {
        if let Some(needed) = self.objects.get(key).and_then(|e| dependency(&e.object)) {
            self.check_dependency(key, &needed.key, needed.layers)?;
        }
        match self.dependencies.most_demanding(key) {
            Some((layers, dependent)) => self.check_dependency(dependent, key, *layers),
            None => Ok(()),
        }
    }

    /// Checks that the object at `key` exists and has enough layers.
    fn check_dependency(
        &self,
        dependent: &ObjectKey,
        key: &ObjectKey,
        layers: u16,
    ) -> Result<(), String> {
        match self.objects.get(key).map(|entry| &entry.object) {
            None => Err(format!("{dependent} needs {key}, which is not configured")),
            Some(Object::Model(m)) if m.layers < layers => Err(format!(
                "{dependent} needs {layers} layers of {key}, which has {}",
                m.layers
            )),
            Some(_) => Ok(()),
        }
    }

    pub(super) fn object(&self, kind: Kind, name: &str) -> Option<&Object> {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        self.objects.get(&key).map(|entry| &entry.object)
    }
}

/// The entries that a batch replaced, in the order of its changes.
type Undo = Vec<(ObjectKey, Option<Entry>)>;
