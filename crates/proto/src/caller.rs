//! The protocol that radishhaven offers to callers.
//!
//! A request states its purpose in headers; see `docs/CALLERS.md`.

use std::net::SocketAddr;

use radishhaven_core::{
    ids::{PipelineId, RequestId, Revision, VmId},
    outcome::Outcome,
};
use serde::{Deserialize, Serialize};

/// `GET`: the addresses to use, as [`Directory`].
pub const DIRECTORY_PATH: &str = "/v1/directory";
/// `POST`: mints request ids, answer [`IssuedIds`]; `?count=N`.
pub const REQUEST_IDS_PATH: &str = "/v1/request-ids";
/// `POST`: a completion, body [`CompletionRequest`].
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// `POST /v1/services/NAME/OPERATION`: a call to a plain service.
pub const SERVICES_PATH: &str = "/v1/services/";
/// `GET /v1/requests/ID`: what became of a request, as [`RequestStatus`].
pub const REQUESTS_PATH: &str = "/v1/requests/";

/// Header: the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header: milliseconds in which the answer is of use.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header: the priority, 0 to 9, bounded by the organisation's own.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header: `true` when the request may run more than once.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header of answers: the outcome's kind.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// The addresses that a caller may use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Directory {
    /// Entry nodes, the preferred one first.
    pub nodes: Vec<DirectoryNode>,
    /// Milliseconds for which the answer may be kept.
    pub keep_ms: u64,
    /// The configuration that the answering node has in force.
    pub revision: Revision,
}

/// One entry node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectoryNode {
    /// The node's VM.
    pub vm: VmId,
    /// Where it serves callers.
    pub address: SocketAddr,
}

/// Freshly minted request ids.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct IssuedIds {
    /// The ids, each good for one request.
    pub ids: Vec<RequestId>,
}

/// Asks for a completion.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The pipeline.
    pub model: PipelineId,
    /// The prompt.
    pub prompt: String,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// True for server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// A whole answer, or the last event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The request that is answered.
    pub id: RequestId,
    /// What became of it.
    pub outcome: Outcome,
    /// The text; in a stream the sum of the deltas, left out here.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Number of tokens generated.
    pub tokens: u32,
    /// SHA-256 of the whole text in hex.
    pub digest: String,
}

/// One event of a stream before the last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The request that is answered.
    pub id: RequestId,
    /// Counts the deltas from 0.
    pub index: u32,
    /// The text of one token.
    pub text: String,
}

/// Name of the server-sent event that ends a stream.
pub const DONE_EVENT: &str = "done";
/// Name of the server-sent events before.
pub const DELTA_EVENT: &str = "delta";

/// The answer to a service call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The request that is answered.
    pub id: RequestId,
    /// What became of it.
    pub outcome: Outcome,
    /// The service's result, for a completed call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<serde_json::Value>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The request.
    pub id: RequestId,
    /// Its outcome; absent while it runs.
    pub outcome: Option<Outcome>,
}

/// An error that precedes any outcome.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The outcome's kind and reason.
    pub outcome: Outcome,
    /// What is wrong, for a person.
    pub message: String,
}
