//! The protocol between the operators' command and a node.
//!
//! If the node's settings contain an operators' token, all paths except health,
//! readiness and metrics require it as a bearer token.

use radishhaven_core::{
    config::{BatchRefusal, BatchResult},
    ids::{BatchId, Revision, VmId},
    language::{Difference, LanguageError, NodeStatus},
};
use serde::{Deserialize, Serialize};

/// `GET`: returns the complete state of the node as JSON.
pub const STATE_PATH: &str = "/state";
/// `GET`: returns the active configuration of the node as the parts of a
/// snapshot.
pub const CONFIG_PATH: &str = "/config";
/// `POST`: runs a query in the operators' language, sent as plain text. The
/// response is an `Answer`, or [`LanguageErrors`] with status 422.
pub const QUERY_PATH: &str = "/query";
/// `POST`: computes the changes that a batch would make, response [`Planned`].
/// The body is the same as for [`APPLY_PATH`].
pub const PLAN_PATH: &str = "/plan";
/// `POST`: appends a batch to the log, response [`Applied`]. A body that begins
/// with a brace is a `Batch` as JSON; any other body is plain text in the
/// operators' language. If the body can't be parsed, the response is
/// [`LanguageErrors`] with status 422.
pub const APPLY_PATH: &str = "/apply";
/// `GET`: returns the active revision of each node as [`Nodes`].
pub const NODES_PATH: &str = "/nodes";

/// Outcome of a batch that was sent to a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// The batch is in the log, and its position decided the result.
    Decided(BatchResult),
    /// The log was unreachable. The batch is not in the log.
    NotAppended,
    /// The response of the log was lost, and reading the log did not show
    /// whether it contains the batch.
    Unknown,
}

/// Response to a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Id of the batch.
    pub batch: BatchId,
    /// Outcome of the batch.
    pub outcome: ApplyOutcome,
    /// The responding node.
    pub node: VmId,
    /// The revision that is active on this node.
    pub revision: Revision,
}

/// The changes that a batch would make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// Id of the batch.
    pub batch: BatchId,
    /// The revision for which the changes were computed.
    pub revision: Revision,
    /// Reason for which the batch would be refused, if any.
    pub refusal: Option<BatchRefusal>,
    /// The fields of each changed object before and after the batch.
    pub differences: Vec<Difference>,
}

/// The errors in a text of the operators' language.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LanguageErrors {
    /// The errors, in the order of the text.
    #[serde(rename = "mistakes")]
    pub errors: Vec<LanguageError>,
}

/// The active revision of each node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nodes {
    /// The responding node.
    pub node: VmId,
    /// The status of each node in the VM list.
    pub nodes: Vec<NodeStatus>,
}
