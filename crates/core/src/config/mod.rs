//! The configuration: a deterministic fold over the log.
//!
//! Each node folds the same records with the same function, so the position
//! of a batch in the log decides whether it is accepted. The design note is
//! `docs/design/configuration.md`.

mod batch;
mod fold;
mod objects;

pub use batch::{BATCH_FORMAT, Batch, Change, MAX_BATCH_CHANGES};
pub use fold::{BatchResult, Config, Conflict, Entry, FoldError, RefusedBatch};
pub use objects::{
    Backend, Carries, Deployment, KeyError, Kind, Link, Model, Object, ObjectKey, Organisation,
    Pipeline, RoutingPolicy, Service,
};
