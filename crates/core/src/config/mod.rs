//! The configuration: a deterministic fold over the log.
//!
//! Each node folds the same records with the same function, so the position
//! of a batch in the log decides whether it is accepted. The design note is
//! `docs/design/configuration.md`.

mod batch;
mod digest;
mod fold;
mod lookup;
mod objects;
mod record;
mod references;
mod results;
mod snapshot;
#[cfg(test)]
mod tests;

pub use batch::{BATCH_FORMAT, Batch, Change, Fingerprint, MAX_BATCH_CHANGES};
pub use digest::{ConfigDigest, DigestError, SetDigest};
pub use fold::{BatchResult, Config, Conflict, Entry, FoldError, Folded, RefusedBatch};
pub use objects::{
    Backend, Carries, Deployment, KeyError, Kind, Link, Model, Object, ObjectKey, Organisation,
    Pipeline, RoutingPolicy, Service,
};
pub use record::{LogRecord, MAX_RECORD_BYTES, Unreadable};
pub use results::{Decision, RESULT_REVISIONS};
pub use snapshot::{SNAPSHOT_FORMAT, SnapshotError, SnapshotId, SnapshotPart, SnapshotReader};
