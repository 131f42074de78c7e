//! What an engine records about itself, for a checker to judge by.

use radishhaven_core::ids::{LayerRange, ModelId, Position, VersionId};
use radishhaven_proto::engine::{Order, OrderReply, SessionRef, StageInput, StageOutput};
use serde::{Deserialize, Serialize};

/// One step that an engine ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The engine's name for the run.
    pub run: String,
    /// The session.
    pub session: SessionRef,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers that were run.
    pub layers: LayerRange,
    /// The first position.
    pub first: Position,
    /// The number of positions.
    pub positions: u32,
    /// What went in, one value for each position.
    pub input: StageInput,
    /// What came out.
    pub output: StageOutput,
    /// Wall-clock time of the start in microseconds.
    pub at_us: u64,
    /// The position at which the session was imported, if it was.
    pub imported_from: Option<Position>,
}

/// Names the state of KV cache at a position, to match an import to its export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvRecord {
    /// The session on this engine.
    pub session: SessionRef,
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// The next position of the session.
    pub next: Position,
    /// The cached state, one value for each layer.
    pub state: Vec<u64>,
    /// Wall-clock time in microseconds.
    pub at_us: u64,
}

/// Something that happened to a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub session: SessionRef,
    /// Wall-clock time in microseconds.
    pub at_us: u64,
}

/// An order that an engine was given.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// The engine's answer.
    pub reply: OrderReply,
    /// Wall-clock time in microseconds.
    pub at_us: u64,
}

/// One record of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "record")]
pub enum EngineRecord {
    /// A session began to run its first step.
    SessionStarted(SessionRecord),
    /// A step was run.
    Run(RunRecord),
    /// KV cache was exported.
    KvExported(KvRecord),
    /// KV cache was imported as a new session.
    KvImported(KvRecord),
    /// A session was cancelled.
    Cancelled(SessionRecord),
    /// An order was given.
    Ordered(OrderRecord),
}

impl EngineRecord {
    /// Returns the number of values that the record holds.
    pub(super) fn values(&self) -> usize {
        match self {
            Self::Run(run) => run.input.len() + output_values(&run.output),
            Self::KvExported(kv) | Self::KvImported(kv) => kv.state.len(),
            Self::SessionStarted(_) | Self::Cancelled(_) | Self::Ordered(_) => 1,
        }
    }
}

fn output_values(output: &StageOutput) -> usize {
    match output {
        StageOutput::Activations(v) => v.len(),
        StageOutput::Token(_) => 1,
    }
}
