//! The protocol of model engines: sessions, steps and KV cache.
//!
//! An engine is a backend server that holds a range of a model's layers. A
//! session is the KV cache that it keeps for one attempt at a request, and a
//! step runs the next positions of a session.

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, LayerRange, ModelId, Position, RequestId, VersionId};

/// Identifies a session of an engine: the KV cache of one attempt at one
/// request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionRef {
    /// The request that the session serves.
    pub request: RequestId,
    /// The attempt at the request. Output of an earlier attempt is never
    /// combined with that of a later one.
    pub attempt: Attempt,
}

/// The input of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageInput {
    /// Tokens, one per position, for the stage that holds layer 0.
    Tokens(Vec<u32>),
    /// Activations of the preceding layer, one value per position.
    Activations(Vec<u64>),
}

impl StageInput {
    /// Returns the number of positions.
    pub fn len(&self) -> usize {
        match self {
            Self::Tokens(v) => v.len(),
            Self::Activations(v) => v.len(),
        }
    }

    /// Returns whether there are no positions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The output of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageOutput {
    /// Activations for the next stage, one value per position.
    Activations(Vec<u64>),
    /// The token that follows the last position, from the last stage.
    Token(u32),
}

/// The token that marks the end of an answer.
pub const END_TOKEN: u32 = 0;

/// The result of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReply {
    /// The engine's identifier of the run.
    pub run: String,
    /// The session that the step was sent for. It reveals replies that were
    /// delivered to another request.
    pub session: SessionRef,
    /// The first position that was run.
    pub first: Position,
    /// The output.
    pub output: StageOutput,
}

/// The reason why an engine refused a step, an import or an export.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum EngineRefusal {
    /// The engine doesn't hold these layers of this version.
    NotHeld,
    /// The engine doesn't have this session.
    NoSession,
    /// The step doesn't begin at the session's next position.
    WrongPosition {
        /// The session's next position.
        next: Position,
    },
    /// The step was cancelled or its deadline had passed; nothing was run.
    NotRun,
    /// The engine is leaving and accepts no new sessions.
    Leaving,
    /// The engine's queue is full; nothing was run.
    Busy,
}

/// The KV cache of a session, for the layers that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCache {
    /// The model that the cache belongs to.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// The session's next position.
    pub next: Position,
    /// The state, one value per layer.
    pub state: Vec<u64>,
}
