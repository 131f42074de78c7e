//! Configuration objects that the tests share.

use std::collections::{BTreeMap, BTreeSet};

use radishhaven_core::{
    config::{
        BATCH_FORMAT, Backend, Batch, Change, Model, Object, Organisation, Pipeline, Workload,
    },
    ids::{AdapterId, LayerRange, Priority, Revision},
};
use sha2::{Digest, Sha256};

use super::id;

/// The bearer token of the callers of the organisation.
pub const TOKEN: &[u8] = b"token";

/// Returns the model whose layers the engines hold.
pub fn model(layers: u16) -> Object {
    Object::Model(Model {
        id: id("dictado"),
        layers,
    })
}

/// Returns the pipeline of that model.
pub fn pipeline(adapters: BTreeSet<AdapterId>) -> Object {
    Object::Pipeline(Pipeline {
        id: id("dictado"),
        model: id("dictado"),
        version: id("v1"),
        adapters,
    })
}

/// Returns the organisation whose callers send [`TOKEN`].
pub fn organisation(priority: u8) -> Object {
    let token = Sha256::digest(TOKEN);
    Object::Organisation(Organisation {
        id: id("small-firm"),
        token_sha256: token.iter().map(|b| format!("{b:02x}")).collect(),
        priority: Priority(priority),
        max_in_flight: 1_000,
        share: 1,
    })
}

/// Returns the engine with the given number.
pub fn engine(n: usize, layers: LayerRange, adapters: BTreeSet<AdapterId>) -> Object {
    Object::Backend(Backend {
        id: id(&format!("engine-{n}")),
        carries: Workload::Layers {
            model: id("dictado"),
            version: id("v1"),
            layers,
            adapters,
        },
        checks_tokens: true,
    })
}

/// Returns a server of a plain service.
pub fn server(vm: &str, service: &str) -> Object {
    Object::Backend(Backend {
        id: id(vm),
        carries: Workload::Service(id(service)),
        checks_tokens: false,
    })
}

/// Returns the first batch of a log.
pub fn batch(objects: Vec<Object>) -> Batch {
    Batch {
        format: BATCH_FORMAT,
        batch: id("first"),
        base: BTreeMap::new(),
        planned: Revision(0),
        source: None,
        changes: objects.into_iter().map(Change::Put).collect(),
    }
}
