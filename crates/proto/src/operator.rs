//! The protocol between the operators' command and a node.
//!
//! All paths but health, readiness and metrics want the operators' token as
//! a bearer token, where the node's settings have one.

use radishhaven_core::{
    config::{BatchRefusal, BatchResult},
    ids::{BatchId, Revision, VmId},
    language::{Difference, LanguageError, NodeStatus},
};
use serde::{Deserialize, Serialize};

/// `GET`: the whole state of the node as JSON.
pub const STATE_PATH: &str = "/state";
/// `GET`: the configuration in force at the node, in parts of a snapshot.
pub const CONFIG_PATH: &str = "/config";
/// `POST`: answers a query in the operators' language, sent as plain text,
/// with `Answer`, or with [`LanguageErrors`] and status 422.
pub const QUERY_PATH: &str = "/query";
/// `POST`: tells what a batch would change, answer [`Planned`]; the body is
/// as for [`APPLY_PATH`].
pub const PLAN_PATH: &str = "/plan";
/// `POST`: appends a batch, answer [`Applied`]; the body is plain text in the
/// operators' language, or a `Batch` as JSON if it begins with a brace. What
/// can't be understood is answered with [`LanguageErrors`] and status 422.
pub const APPLY_PATH: &str = "/apply";
/// `GET`: which revision is in force where, answer [`Nodes`].
pub const NODES_PATH: &str = "/nodes";

/// What became of a batch that was handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// The log holds the batch, and its position decided.
    Decided(BatchResult),
    /// The log could not be reached; the batch is not in it.
    NotAppended,
    /// The log's answer was lost and reading it did not settle the batch.
    Unknown,
}

/// The answer to a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The batch.
    pub batch: BatchId,
    /// What became of it.
    pub outcome: ApplyOutcome,
    /// The node that answers.
    pub node: VmId,
    /// The revision that this node has in force.
    pub revision: Revision,
}

/// What a batch would change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planned {
    /// The batch.
    pub batch: BatchId,
    /// The revision at which this was found.
    pub revision: Revision,
    /// Why it would be refused, if it would.
    pub refusal: Option<BatchRefusal>,
    /// For each object, its fields before and after.
    pub differences: Vec<Difference>,
}

/// LanguageErrors in a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LanguageErrors {
    /// The mistakes, in the order of the text.
    pub mistakes: Vec<LanguageError>,
}

/// Which revision is in force where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nodes {
    /// The node that answers.
    pub node: VmId,
    /// All nodes of the VM list.
    pub nodes: Vec<NodeStatus>,
}
