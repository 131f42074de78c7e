//! Protocols of the platform: append-only log, VM list and weight store.

pub use radishhaven_core::platform::{Record, Vm, VmList, VmRole, VmState};
use serde::{Deserialize, Serialize};

/// `POST /v1/streams/NAME/records`: appends a record, body [`Append`], response
/// [`Appended`]. `GET` with `?from=N&max=M&wait_ms=W`: returns [`Records`].
pub const STREAMS_PATH: &str = "/v1/streams/";
/// Stream with the records of the configuration.
pub const CONFIG_STREAM: &str = "config";
/// Stream with the records of the leases.
pub const LEASE_STREAM: &str = "leases";
/// `GET`: returns the VM list as [`VmList`].
pub const VMS_PATH: &str = "/v1/vms";
/// `GET /v1/weights/MODEL/VERSION?layers=A..B`: returns the weights, at the
/// rate of the store.
pub const WEIGHTS_PATH: &str = "/v1/weights/";

/// Appends one record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The record. The log doesn't interpret it.
    pub body: String,
}

/// Position of an appended record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: u64,
}

/// A range of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Records {
    /// The lowest offset that the log still retains.
    pub first: u64,
    /// The offset of the next append.
    pub end: u64,
    /// Records from the requested offset, or from `first` if that is higher.
    pub records: Vec<Record>,
}
