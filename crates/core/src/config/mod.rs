//! The configuration, as a deterministic result of the log's records.
//!
//! A *batch* is a set of changes that operators append to the log as one
//! record; the *revision* is the number of records that a node has applied.
//! Every node applies the same records in the same way, so all of them accept
//! or refuse a batch alike, and its position in the log decides between
//! conflicting batches. See `docs/design/configuration.md`.

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
