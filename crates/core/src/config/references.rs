//! Dependencies between configured objects, with an index of dependents.

use std::collections::{BTreeMap, BTreeSet};

use super::objects::{Kind, Object, ObjectKey, Workload};

/// The dependency of one object on another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Dependency {
    /// The required object.
    pub(super) key: ObjectKey,
    /// The number of layers that a required model must have at least; 0 for
    /// objects of other kinds.
    pub(super) layers: u16,
}

/// Returns the dependency of an object, if it has one.
pub(super) fn dependency(object: &Object) -> Option<Dependency> {
    let key = |kind, name: &str| ObjectKey {
        kind,
        name: name.to_owned(),
    };
    match object {
        Object::Pipeline(p) => Some(Dependency {
            key: key(Kind::Model, p.model.as_str()),
            layers: 0,
        }),
        Object::Backend(b) => Some(match &b.carries {
            Workload::Layers { model, layers, .. } => Dependency {
                key: key(Kind::Model, model.as_str()),
                layers: layers.end(),
            },
            Workload::Service(service) => Dependency {
                key: key(Kind::Service, service.as_str()),
                layers: 0,
            },
        }),
        _ => None,
    }
}

/// The dependents of each object, ordered by the number of layers that they
/// require.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct DependencyIndex {
    dependents: BTreeMap<ObjectKey, BTreeSet<(u16, ObjectKey)>>,
}

impl DependencyIndex {
    pub(super) fn add(&mut self, object: &Object) {
        if let Some(dependency) = dependency(object) {
            let dependents = self.dependents.entry(dependency.key).or_default();
            dependents.insert((dependency.layers, object.key()));
        }
    }

    pub(super) fn remove(&mut self, object: &Object) {
        let Some(dependency) = dependency(object) else {
            return;
        };
        if let Some(dependents) = self.dependents.get_mut(&dependency.key) {
            dependents.remove(&(dependency.layers, object.key()));
            if dependents.is_empty() {
                self.dependents.remove(&dependency.key);
            }
        }
    }

    /// Returns the dependent that requires the most layers, and their number.
    pub(super) fn most_demanding(&self, key: &ObjectKey) -> Option<&(u16, ObjectKey)> {
        self.dependents.get(key)?.last()
    }

    /// Returns the objects that depend on an object.
    pub(super) fn dependents(&self, key: &ObjectKey) -> impl Iterator<Item = &ObjectKey> {
        let dependents = self.dependents.get(key).into_iter().flatten();
        dependents.map(|(_, dependent)| dependent)
    }
}
