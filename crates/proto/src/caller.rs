//! The protocol that radishhaven offers to callers.
//!
//! The id, the deadline and the priority of a request are sent as headers; see
//! `docs/CALLERS.md`.

use std::net::SocketAddr;

use radishhaven_core::{
    ids::{PipelineId, RequestId, Revision, VmId},
    outcome::Outcome,
};
use serde::{Deserialize, Serialize};

/// `GET`: returns the addresses of the entry nodes as [`Directory`].
pub const DIRECTORY_PATH: &str = "/v1/directory";
/// `POST ?count=N`: issues request ids, response [`IssuedIds`].
pub const REQUEST_IDS_PATH: &str = "/v1/request-ids";
/// `POST`: runs a completion, body [`CompletionRequest`].
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// `POST /v1/services/NAME/OPERATION`: calls a plain service, which is a
/// service that runs no model.
pub const SERVICES_PATH: &str = "/v1/services/";
/// `GET /v1/requests/ID`: returns the status of a request as [`RequestStatus`].
pub const REQUESTS_PATH: &str = "/v1/requests/";

/// Header: id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header: time in milliseconds after which the caller no longer needs the
/// response.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header: priority from 0 to 9, limited by the priority of the organisation.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header: `true` if the request may run more than once.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header of responses: kind of the outcome.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// The addresses of the entry nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Directory {
    /// Entry nodes in order of preference.
    pub nodes: Vec<DirectoryNode>,
    /// Time in milliseconds for which the caller may cache the response.
    pub keep_ms: u64,
    /// Revision of the configuration that is active on the responding node.
    pub revision: Revision,
}

/// An entry node: a node that accepts requests of callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectoryNode {
    /// VM of the node.
    pub vm: VmId,
    /// Address on which it serves callers.
    pub address: SocketAddr,
}

/// Newly issued request ids.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct IssuedIds {
    /// The ids. Each is valid for one request.
    pub ids: Vec<RequestId>,
}

/// Requests a completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The pipeline that runs the completion.
    pub model: PipelineId,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// A complete response, or the last event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the request.
    pub id: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// The text. It is `None` in a stream, where the deltas contain the text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Number of tokens generated.
    pub tokens: u32,
    /// SHA-256 digest of the complete text in hex.
    pub digest: String,
}

/// An event of a stream with the text of one token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the delta in its stream, starting at 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// Name of the last server-sent event of a stream, with a [`Completion`].
pub const DONE_EVENT: &str = "done";
/// Name of the server-sent events with a [`Delta`].
pub const DELTA_EVENT: &str = "delta";

/// Response to a call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Id of the request.
    pub id: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Result of the service, if the call completed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<serde_json::Value>,
}

/// Status of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Id of the request.
    pub id: RequestId,
    /// Outcome of the request; `None` while it runs.
    pub outcome: Option<Outcome>,
}

/// Body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind and reason of the outcome.
    pub outcome: Outcome,
    /// Description of the error for people.
    pub message: String,
}
