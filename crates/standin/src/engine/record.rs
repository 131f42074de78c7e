//! Records of the work of an engine, which the checker evaluates.

use radishhaven_core::ids::{LayerRange, ModelId, Position, VersionId};
use radishhaven_proto::engine::{Order, OrderReply, SessionRef, StageInput, StageOutput};
use serde::{Deserialize, Serialize};

/// A step that an engine ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The id that the engine assigned to the run.
    pub run: String,
    /// The session.
    pub session: SessionRef,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers that ran.
    pub layers: LayerRange,
    /// The first position.
    pub first: Position,
    /// The number of positions.
    pub positions: u32,
    /// The input, one value for each position.
    pub input: StageInput,
    /// The output.
    pub output: StageOutput,
    /// Wall-clock time of the start in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The next position when the session was imported, or `None` if it was not.
    pub imported_from: Option<Position>,
}

/// State of a KV cache at a position, which matches an import to its export.
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
    /// Wall-clock time of the event in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// The start or the cancellation of a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub session: SessionRef,
    /// Wall-clock time of the event in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// An order that an engine received.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// The reply of the engine.
    pub reply: OrderReply,
    /// Wall-clock time of the event in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// A record of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "record")]
pub enum EngineRecord {
    /// A session started to run its first step.
    SessionStarted(SessionRecord),
    /// A step ran.
    Run(RunRecord),
    /// A KV cache was exported.
    KvExported(KvRecord),
    /// A KV cache was imported as a new session.
    KvImported(KvRecord),
    /// A session was cancelled.
    Cancelled(SessionRecord),
    /// An order was received.
    Ordered(OrderRecord),
}

impl EngineRecord {
    /// Returns the number of values in the record, which counts against the limit on
    /// retained records.
    pub(super) fn value_count(&self) -> usize {
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
