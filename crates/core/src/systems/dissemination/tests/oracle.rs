//! A simple reference implementation of batches, which clones and checks all
//! objects for each record.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{Batch, Change, Kind, Object, ObjectKey, Workload},
    ids::{BatchId, Revision},
};

/// The configured objects, with the revision of their last change.
pub type Objects = BTreeMap<ObjectKey, (Object, Revision)>;

/// Applies all records that were ever appended.
#[derive(Debug, Default, Clone)]
pub struct Oracle {
    pub objects: Objects,
    batches: BTreeSet<BatchId>,
    revision: u64,
}

impl Oracle {
    pub fn apply(&mut self, body: &str) {
        self.revision += 1;
        let Ok(batch) = serde_json::from_str::<Batch>(body) else {
            return;
        };
        if !self.batches.insert(batch.batch.clone()) {
            return;
        }
        let at = Revision(self.revision);
        let expected = |key: &ObjectKey| batch.base.get(key).copied().unwrap_or_default();
        let found = |key: &ObjectKey| self.objects.get(key).map(|(_, at)| *at).unwrap_or_default();
        let mut objects = self.objects.clone();
        for change in &batch.changes {
            if expected(&change.key()) != found(&change.key()) {
                return;
            }
            match change {
                Change::Put(object) => drop(objects.insert(object.key(), (object.clone(), at))),
                Change::Delete(key) => drop(objects.remove(key)),
            }
        }
        if objects
            .values()
            .all(|(object, _)| is_consistent(&objects, object))
        {
            self.objects = objects;
        }
    }
}

fn is_consistent(objects: &Objects, object: &Object) -> bool {
    let layers = |name: &str| {
        let name = name.to_owned();
        let key = ObjectKey {
            kind: Kind::Model,
            name,
        };
        match objects.get(&key) {
            Some((Object::Model(model), _)) => Some(model.layers),
            _ => None,
        }
    };
    match object {
        Object::Pipeline(p) => layers(p.model.as_str()).is_some(),
        Object::Backend(b) => match &b.carries {
            Workload::Layers {
                model,
                layers: served,
                ..
            } => layers(model.as_str()).is_some_and(|count| served.end() <= count),
            Workload::Service(_) => false,
        },
        _ => true,
    }
}
