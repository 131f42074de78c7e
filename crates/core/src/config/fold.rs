//! Folds log records into the configuration in force.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{
    batch::{BATCH_FORMAT, Batch, Change, MAX_BATCH_CHANGES},
    objects::{Backend, Carries, Kind, Model, Object, ObjectKey, Organisation, Pipeline, Service},
};
use crate::{
    ids::{BatchId, ModelId, OrganisationId, PipelineId, Revision, ServiceId},
    platform::Record,
};

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
pub enum RefusedBatch {
    /// Another batch came first.
    #[error("{} objects were changed by another batch", .0.len())]
    Conflicts(Vec<Conflict>),
    /// The result would not be consistent.
    #[error("{0}")]
    Invalid(String),
}

/// What became of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchResult {
    /// In force since this revision.
    Accepted(Revision),
    /// Refused at this revision.
    Refused(Revision, RefusedBatch),
}

/// Why a record could not be folded at all.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FoldError {
    /// The record isn't the next one.
    #[error("record {found} was offered where {expected} is next")]
    OutOfOrder {
        /// The offset that is next.
        expected: u64,
        /// The offset that was offered.
        found: u64,
    },
}

/// The configuration in force at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    revision: Revision,
    objects: BTreeMap<ObjectKey, Entry>,
    results: BTreeMap<BatchId, BatchResult>,
    broken_records: u64,
}

impl Config {
    /// Makes the configuration before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision: the offset of the next record to fold.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of records that could not be read.
    pub fn broken_records(&self) -> u64 {
        self.broken_records
    }

    /// Returns all objects by key.
    pub fn objects(&self) -> &BTreeMap<ObjectKey, Entry> {
        &self.objects
    }

    /// Returns what became of a batch.
    pub fn result(&self, batch: &BatchId) -> Option<&BatchResult> {
        self.results.get(batch)
    }

    /// Returns SHA-256 over the objects, for comparing nodes.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for entry in self.objects.values() {
            hash.update(serde_json::to_vec(entry).unwrap_or_default());
        }
        hash.finalize().iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Folds the next record.
    ///
    /// A record that can't be read is counted and changes nothing but the
    /// revision, on each node the same. Returns the batch and its result, if
    /// the record held a batch that wasn't seen before.
    ///
    /// # Errors
    ///
    /// A record out of order is refused, and nothing changes.
    pub fn fold(&mut self, record: &Record) -> Result<Option<(BatchId, BatchResult)>, FoldError> {
        if record.offset != self.revision.0 {
            let expected = self.revision.0;
            return Err(FoldError::OutOfOrder {
                expected,
                found: record.offset,
            });
        }
        self.revision = Revision(record.offset + 1);
        let Some(batch) = parse(&record.body) else {
            self.broken_records += 1;
            return Ok(None);
        };
        if self.results.contains_key(&batch.batch) {
            return Ok(None);
        }
        let id = batch.batch.clone();
        let result = self.apply(batch);
        self.results.insert(id.clone(), result.clone());
        Ok(Some((id, result)))
    }

    /// Tells what would become of a batch if it were the next record.
    pub fn preview(&self, batch: &Batch) -> Result<BTreeMap<ObjectKey, Entry>, RefusedBatch> {
        let conflicts = self.conflicts(batch);
        if !conflicts.is_empty() {
            return Err(RefusedBatch::Conflicts(conflicts));
        }
        let objects = self.changed(batch, Revision(self.revision.0 + 1));
        validate(&objects).map_err(RefusedBatch::Invalid)?;
        Ok(objects)
    }

    fn apply(&mut self, batch: Batch) -> BatchResult {
        let at = self.revision;
        let conflicts = self.conflicts(&batch);
        if !conflicts.is_empty() {
            return BatchResult::Refused(at, RefusedBatch::Conflicts(conflicts));
        }
        let objects = self.changed(&batch, at);
        if let Err(message) = validate(&objects) {
            return BatchResult::Refused(at, RefusedBatch::Invalid(message));
        }
        self.objects = objects;
        BatchResult::Accepted(at)
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
        touched.into_iter().filter_map(conflict).collect()
    }

    fn changed(&self, batch: &Batch, at: Revision) -> BTreeMap<ObjectKey, Entry> {
        let mut objects = self.objects.clone();
        for change in &batch.changes {
            match change {
                Change::Put(object) => {
                    let by = batch.batch.clone();
                    let entry = Entry {
                        object: object.clone(),
                        changed: at,
                        by,
                    };
                    objects.insert(object.key(), entry);
                }
                Change::Delete(key) => {
                    objects.remove(key);
                }
            }
        }
        objects
    }

    fn object(&self, kind: Kind, name: &str) -> Option<&Object> {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        self.objects.get(&key).map(|entry| &entry.object)
    }

    /// Returns an organisation.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        match self.object(Kind::Organisation, id.as_str())? {
            Object::Organisation(o) => Some(o),
            _ => None,
        }
    }

    /// Returns a pipeline.
    pub fn pipeline(&self, id: &PipelineId) -> Option<&Pipeline> {
        match self.object(Kind::Pipeline, id.as_str())? {
            Object::Pipeline(p) => Some(p),
            _ => None,
        }
    }

    /// Returns a model.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        match self.object(Kind::Model, id.as_str())? {
            Object::Model(m) => Some(m),
            _ => None,
        }
    }

    /// Returns a plain service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        match self.object(Kind::Service, id.as_str())? {
            Object::Service(s) => Some(s),
            _ => None,
        }
    }

    /// Returns the choices for the whole deployment.
    pub fn deployment(&self) -> super::Deployment {
        match self.object(Kind::Deployment, "all") {
            Some(Object::Deployment(d)) => d.clone(),
            _ => super::Deployment::default(),
        }
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.objects
            .values()
            .filter_map(|entry| match &entry.object {
                Object::Organisation(o) => Some(o),
                _ => None,
            })
    }

    /// Returns all backend servers.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.objects
            .values()
            .filter_map(|entry| match &entry.object {
                Object::Backend(b) => Some(b),
                _ => None,
            })
    }
}

fn parse(body: &str) -> Option<Batch> {
    let batch: Batch = serde_json::from_str(body).ok()?;
    let known = batch.format == BATCH_FORMAT && batch.changes.len() <= MAX_BATCH_CHANGES;
    known.then_some(batch)
}

fn validate(objects: &BTreeMap<ObjectKey, Entry>) -> Result<(), String> {
    let exists = |kind: Kind, name: &str| {
        objects.contains_key(&ObjectKey {
            kind,
            name: name.to_owned(),
        })
    };
    for (key, entry) in objects {
        let missing = match &entry.object {
            Object::Pipeline(p) if !exists(Kind::Model, p.model.as_str()) => {
                Some(format!("model {}", p.model))
            }
            Object::Backend(b) => missing_of_backend(objects, b),
            _ => None,
        };
        if let Some(missing) = missing {
            return Err(format!("{key} needs {missing}, which is not configured"));
        }
    }
    Ok(())
}

fn missing_of_backend(objects: &BTreeMap<ObjectKey, Entry>, backend: &Backend) -> Option<String> {
    let find = |kind, name: &str| {
        objects.get(&ObjectKey {
            kind,
            name: name.to_owned(),
        })
    };
    match &backend.carries {
        Carries::Service(service) => find(Kind::Service, service.as_str())
            .is_none()
            .then(|| format!("service {service}")),
        Carries::Layers { model, layers, .. } => match find(Kind::Model, model.as_str()) {
            Some(Entry {
                object: Object::Model(m),
                ..
            }) if layers.end() <= m.layers => None,
            Some(_) => Some(format!("model {model} with layers {layers}")),
            None => Some(format!("model {model}")),
        },
    }
}
