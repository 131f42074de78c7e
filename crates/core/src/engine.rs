//! What the decisions know of a model engine: sessions, steps and KV cache.

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, LayerRange, ModelId, Position, RequestId, VersionId};

/// Names one session of an engine: the KV cache of one attempt at one request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionRef {
    /// The request that the session serves.
    pub request: RequestId,
    /// The node's attempt; output of an older attempt never joins a newer one.
    pub attempt: Attempt,
}

/// What goes into a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageInput {
    /// Tokens, for the stage that holds layer 0; one for each position.
    Tokens(Vec<u32>),
    /// Activations of the layer before, one value for each position.
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

    /// Tells whether there are no positions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What comes out of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageOutput {
    /// Activations for the next stage, one value for each position.
    Activations(Vec<u64>),
    /// The token that follows the last position, from the last stage.
    Token(u32),
}

/// The token that ends an answer.
pub const END_TOKEN: u32 = 0;

/// The result of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReply {
    /// The engine's name for the run.
    pub run: String,
    /// The session that was asked about, so that crossed replies are seen.
    pub session: SessionRef,
    /// The first position that was run.
    pub first: Position,
    /// What came out.
    pub output: StageOutput,
}

/// Why an engine did not run a step, an import or an export.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum EngineRefusal {
    /// The engine doesn't hold these layers of this version.
    NotHeld,
    /// The session isn't known here.
    NoSession,
    /// The step doesn't begin at the session's next position.
    WrongPosition {
        /// The position that the session would take.
        next: Position,
    },
    /// The step was cancelled or its deadline had passed; nothing was run.
    NotRun,
    /// The engine takes no new sessions.
    Leaving,
    /// The engine's queue is full; nothing was run.
    Busy,
}

/// The KV cache of a session, for the layers that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCache {
    /// The model that the cache belongs to.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// The next position of the session.
    pub next: Position,
    /// One value for each layer.
    pub state: Vec<u64>,
}
