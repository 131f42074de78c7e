//! The protocol of a plain service.

use radishhaven_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// `POST`: runs one call, body [`Call`], answer [`CallReply`].
pub const CALL_PATH: &str = "/v1/call";

/// Asks for one call. The service runs it each time that it is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The request that the call belongs to, for the service's own records.
    pub request: RequestId,
    /// The operation, for example `book` or `lookup`.
    pub operation: String,
    /// The call's argument.
    pub body: serde_json::Value,
    /// Milliseconds after which the result is worth nothing.
    pub deadline_ms: Option<u64>,
}

/// The result of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallReply {
    /// The request that was asked about.
    pub request: RequestId,
    /// The service's result.
    pub body: serde_json::Value,
}
