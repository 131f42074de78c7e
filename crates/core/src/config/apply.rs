//! Folds log records into the configuration in force.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    batch::{Batch, Change, Fingerprint},
    digest::{ConfigDigest, SetDigest},
    objects::{Kind, Object, ObjectKey},
    record::{LogRecord, RecordError},
    references::{References, need},
    results::{Decision, RESULT_RETENTION_REVISIONS, Results},
    snapshot::SnapshotPart,
};
use crate::{
    ids::{BatchId, Revision},
    platform::Record,
};

/// Conflicts that a result names; further ones are left out.
const MAX_CONFLICTS: usize = 64;

/// An object and where it was changed last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The object.
    pub object: Object,
    /// The revision that the change made.
    pub changed: Revision,
    /// The batch that changed it.
    pub by: BatchId,
}

/// An object that changed between the operator's look and the batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object.
    pub key: ObjectKey,
    /// The revision that the operator saw; 0 for an absent object.
    pub expected: Revision,
    /// The revision in force; 0 for an absent object.
    pub found: Revision,
    /// The batch that changed it, if it is there.
    pub by: Option<BatchId>,
}

/// Why a batch was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum BatchRefusal {
    /// Another batch came first.
    #[error("{} objects were changed by another batch", .0.len())]
    Conflicts(Vec<Conflict>),
    /// The result would not be consistent.
    #[error("{0}")]
    Invalid(String),
    /// It was planned too long ago for a duplicate to be recognised.
    #[error("the batch was planned at revision {0}, which is too long ago; plan it again")]
    Expired(Revision),
    /// It was planned at a revision that the log has not reached.
    #[error("the batch was planned at revision {0}, which the log has not reached")]
    Ahead(Revision),
    /// Another batch has the same id.
    #[error("the batch id was used for other changes, decided at revision {0}")]
    IdTaken(Revision),
}

/// What became of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchResult {
    /// In force since this revision.
    Accepted(Revision),
    /// Refused at this revision.
    Refused(Revision, BatchRefusal),
}

impl BatchResult {
    /// Returns the revision that decided.
    pub fn revision(&self) -> Revision {
        match self {
            BatchResult::Accepted(at) | BatchResult::Refused(at, _) => *at,
        }
    }
}

/// Why a record could not be folded at all.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The record isn't the next one.
    #[error("record {found} was offered where {expected} is next")]
    OutOfOrder {
        /// The offset that is next.
        expected: u64,
        /// The offset that was offered.
        found: u64,
    },
}

/// What a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It held a batch, which was decided.
    Decided {
        /// The batch and what became of it.
        decision: Decision,
        /// The objects that changed, each once.
        changed: BTreeSet<ObjectKey>,
    },
    /// It held a batch whose id had been decided before; nothing changed.
    Duplicate(BatchId),
    /// It held a part of a snapshot; nothing changed.
    Snapshot(Box<SnapshotPart>),
    /// It can't be read; it is counted and nothing else changed.
    Unreadable(RecordError),
}

/// The configuration in force at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Config {
    revision: Revision,
    tail: Fingerprint,
    objects: BTreeMap<ObjectKey, Entry>,
    objects_digest: SetDigest,
    references: References,
    results: Results,
    broken_records: u64,
}

impl Config {
    /// Makes the configuration before the first record.
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

    /// Returns the revision: the offset of the next record to fold.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the fingerprint of the record that was folded last.
    pub fn tail(&self) -> Fingerprint {
        self.tail
    }

    /// Returns the number of records that could not be read.
    pub fn broken_records(&self) -> u64 {
        self.broken_records
    }

    /// Returns all objects by key.
    pub fn objects(&self) -> &BTreeMap<ObjectKey, Entry> {
        &self.objects
    }

    /// Returns what became of a batch, while that is kept.
    pub fn decision(&self, batch: &BatchId) -> Option<&Decision> {
        self.results.get(batch)
    }

    /// Returns what became of a batch, while that is kept.
    pub fn result(&self, batch: &BatchId) -> Option<&BatchResult> {
        self.decision(batch).map(|decision| &decision.result)
    }

    /// Returns the kept decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.results.iter()
    }

    /// Returns the number of kept decisions.
    pub fn decision_count(&self) -> usize {
        self.results.len()
    }

    /// Returns the objects that need an object.
    pub fn dependents(&self, key: &ObjectKey) -> impl Iterator<Item = &ObjectKey> {
        self.references.dependents(key)
    }

    /// Returns the digest, for comparing nodes; it costs the same at any size.
    pub fn digest(&self) -> ConfigDigest {
        let mut hash = Sha256::new();
        hash.update(self.revision.0.to_be_bytes());
        hash.update(self.tail.0.to_be_bytes());
        hash.update(self.broken_records.to_be_bytes());
        self.objects_digest.update(&mut hash);
        self.results.digest().update(&mut hash);
        ConfigDigest::finish(hash)
    }

    /// Folds the next record.
    ///
    /// A record that can't be read is counted and changes nothing but the
    /// revision, on each node the same. The cost is in proportion to the
    /// record, not to the configuration.
    ///
    /// # Errors
    ///
    /// A record out of order is refused, and nothing changes.
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

    /// Tells what would become of a batch if it were the next record.
    ///
    /// # Errors
    ///
    /// Returns why it would be refused.
    pub fn preview(&mut self, batch: &Batch) -> Result<(), BatchRefusal> {
        if let Some(decision) = self.results.get(&batch.batch) {
            return Err(BatchRefusal::IdTaken(decision.result.revision()));
        }
        self.revision.0 += 1;
        let applied = self.apply_batch(batch);
        self.revision.0 -= 1;
        self.undo(applied?);
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
        let undo = self.change(batch);
        if let Err(message) = self.validate(&undo) {
            self.undo(undo);
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

    fn change(&mut self, batch: &Batch) -> Undo {
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

    fn undo(&mut self, undo: Undo) {
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
            self.references.remove(&old.object);
        }
        if let Some(entry) = &entry {
            self.references.add(&entry.object);
        }
        old
    }

    fn validate(&self, changed: &Undo) -> Result<(), String> {
        let keys: BTreeSet<&ObjectKey> = changed.iter().map(|(key, _)| key).collect();
        keys.into_iter().try_for_each(|key| self.validate_one(key))
    }

    /// Checks what the object at `key` needs and the one that needs most of it.
    fn validate_one(&self, key: &ObjectKey) -> Result<(), String> {
        if let Some(need) = self.objects.get(key).and_then(|e| need(&e.object)) {
            self.provides(key, &need.key, need.layers)?;
        }
        match self.references.most(key) {
            Some((layers, user)) => self.provides(user, key, *layers),
            None => Ok(()),
        }
    }

    fn provides(&self, user: &ObjectKey, key: &ObjectKey, layers: u16) -> Result<(), String> {
        match self.objects.get(key).map(|entry| &entry.object) {
            None => Err(format!("{user} needs {key}, which is not configured")),
            Some(Object::Model(m)) if m.layers < layers => Err(format!(
                "{user} needs {layers} layers of {key}, which has {}",
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

/// The entries that a batch replaced, in its order.
type Undo = Vec<(ObjectKey, Option<Entry>)>;
