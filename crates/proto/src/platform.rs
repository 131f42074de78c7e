//! The platform's protocols: append-only log, VM list and weight store.

use radishhaven_core::ids::{FailureDomain, VmId};
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

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts the stream's records from 0.
    pub offset: u64,
    /// The record.
    pub body: String,
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

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry node of radishhaven.
    Node,
    /// A backend server.
    Backend,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is up.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub vm: VmId,
    /// What it is for.
    pub role: VmRole,
    /// Where it serves: IP address and port. For a node, its callers' address.
    pub address: std::net::SocketAddr,
    /// For a node, the address for its peers.
    pub peer_address: Option<std::net::SocketAddr>,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it stays.
    pub state: VmState,
}

/// The VM list, as of a moment that has passed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs, live and leaving.
    pub vms: Vec<Vm>,
}
