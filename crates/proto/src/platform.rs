//! The platform's protocols: append-only log, VM list and weight store.

pub use radishhaven_core::platform::{Record, Vm, VmList, VmRole, VmState};
use serde::{Deserialize, Serialize};

/// `POST /v1/streams/NAME/records` appends, body [`Append`], answer
/// [`Appended`]; `GET` with `?from=N&max=M&wait_ms=W` reads [`Records`].
pub const STREAMS_PATH: &str = "/v1/streams/";
/// The stream that carries configuration.
pub const CONFIG_STREAM: &str = "config";
/// The stream that carries leases.
pub const LEASE_STREAM: &str = "leases";
/// `GET`: the VM list, as [`VmList`].
pub const VMS_PATH: &str = "/v1/vms";
/// `GET /v1/weights/MODEL/VERSION?layers=A..B`: sends weights at the store's rate.
pub const WEIGHTS_PATH: &str = "/v1/weights/";

/// Appends one record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The record; the log doesn't look inside.
    pub body: String,
}

/// Says where a record was put.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: u64,
}

/// A part of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Records {
    /// The lowest offset that is still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub end: u64,
    /// Records from the offset that was asked for, or from `first` if that is higher.
    pub records: Vec<Record>,
}
