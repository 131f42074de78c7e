//! Which objects need which others, looked up from both ends.

use std::collections::{BTreeMap, BTreeSet};

use super::objects::{Kind, Object, ObjectKey, Workload};

/// A need of one object for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Need {
    /// The object that is needed.
    pub(super) key: ObjectKey,
    /// For a model, the layers that it must have at least.
    pub(super) layers: u16,
}

/// Returns what an object needs.
pub(super) fn need(object: &Object) -> Option<Need> {
    let key = |kind, name: &str| ObjectKey {
        kind,
        name: name.to_owned(),
    };
    match object {
        Object::Pipeline(p) => Some(Need {
            key: key(Kind::Model, p.model.as_str()),
            layers: 0,
        }),
        Object::Backend(b) => Some(match &b.carries {
            Workload::Layers { model, layers, .. } => Need {
                key: key(Kind::Model, model.as_str()),
                layers: layers.end(),
            },
            Workload::Service(service) => Need {
                key: key(Kind::Service, service.as_str()),
                layers: 0,
            },
        }),
        _ => None,
    }
}

/// For each object, those that need it, by the layers that they need.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct References {
    used_by: BTreeMap<ObjectKey, BTreeSet<(u16, ObjectKey)>>,
}

impl References {
    pub(super) fn add(&mut self, object: &Object) {
        if let Some(need) = need(object) {
            let users = self.used_by.entry(need.key).or_default();
            users.insert((need.layers, object.key()));
        }
    }

    pub(super) fn remove(&mut self, object: &Object) {
        let Some(need) = need(object) else { return };
        if let Some(users) = self.used_by.get_mut(&need.key) {
            users.remove(&(need.layers, object.key()));
            if users.is_empty() {
                self.used_by.remove(&need.key);
            }
        }
    }

    /// Returns the user that asks the most of an object.
    pub(super) fn most(&self, key: &ObjectKey) -> Option<&(u16, ObjectKey)> {
        self.used_by.get(key)?.last()
    }

    /// Returns the users of an object.
    pub(super) fn dependents(&self, key: &ObjectKey) -> impl Iterator<Item = &ObjectKey> {
        let users = self.used_by.get(key).into_iter().flatten();
        users.map(|(_, user)| user)
    }
}
