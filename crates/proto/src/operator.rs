//! The protocol between the operators' command and a node.

use radishhaven_core::{
    config::BatchResult,
    ids::{BatchId, Revision, VmId},
};
use serde::{Deserialize, Serialize};

/// `GET`: the whole state of the node as JSON.
pub const STATE_PATH: &str = "/state";
/// `GET`: the configuration in force at the node.
pub const CONFIG_PATH: &str = "/config";
/// `POST`: appends a batch, body `Batch`, answer [`Applied`].
pub const APPLY_PATH: &str = "/apply";

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
