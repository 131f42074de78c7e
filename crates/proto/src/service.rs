//! The protocol of a plain service, which is a service that runs no model.

use radishhaven_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// `POST`: runs one call, body [`Call`], response [`CallReply`].
pub const CALL_PATH: &str = "/v1/call";

/// Requests one call. The service runs it each time that it receives the
/// request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Id of the request that the call belongs to, for the service's own
    /// records.
    pub request: RequestId,
    /// The operation, for example `book` or `lookup`.
    pub operation: String,
    /// Argument of the call.
    pub body: serde_json::Value,
    /// Time in milliseconds after which the result is no longer needed.
    pub deadline_ms: Option<u64>,
}

/// The result of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallReply {
    /// Id of the request that the call belongs to.
    pub request: RequestId,
    /// Result of the service.
    pub body: serde_json::Value,
}
