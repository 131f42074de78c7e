//! The configuration: a deterministic fold over the log.
//!
//! Each node folds the same records with the same function, so the position
//! of a batch in the log decides whether it is accepted. The design note is
//! `docs/design/configuration.md`.

mod apply;
mod batch;
mod digest;
mod lookup;
mod objects;
mod record;
mod references;
mod results;
mod snapshot;
#[cfg(test)]
mod tests;

pub use apply::{ApplyError, BatchRefusal, BatchResult, Config, Conflict, Entry, RecordOutcome};
pub use batch::{BATCH_FORMAT, Batch, Change, Fingerprint, MAX_BATCH_CHANGES};
pub use digest::{ConfigDigest, DigestError, SetDigest};
pub use objects::{
    Backend, Deployment, KeyError, Kind, Link, Model, Object, ObjectKey, Organisation, Pipeline,
    RoutingPolicy, Service, Workload,
};
pub use record::{LogRecord, MAX_RECORD_BYTES, RecordError};
pub use results::{Decision, RESULT_RETENTION_REVISIONS};
pub use snapshot::{SNAPSHOT_FORMAT, SnapshotAssembler, SnapshotError, SnapshotId, SnapshotPart};
