//! The protocol of a model engine: steps, KV cache, load, cache events, orders.
//!
//! An engine holds a range of layers of one version of a model. A session is
//! the state of one sequence on an engine, its KV cache. A step runs the layers
//! for consecutive positions of a session. The first stage of a pipeline
//! receives tokens, the last one returns a token, and activations pass between
//! stages.

pub use radishhaven_core::engine::{
    EngineRefusal, KvCache, SessionRef, StageInput, StageOutput, StepReply,
};
use radishhaven_core::ids::{
    AdapterId, FencingToken, LayerRange, ModelId, Position, Priority, VersionId, VmId,
};
use serde::{Deserialize, Serialize};

/// `POST`: runs one step, body [`StepRequest`], response [`StepReply`].
pub const STEP_PATH: &str = "/v1/step";
/// `POST`: ends a session, body [`SessionRef`], empty response.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// `POST`: exports a KV cache, body [`SessionRef`], response [`KvCache`].
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// `POST`: imports a KV cache as a new session, body [`KvImport`], empty
/// response.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// `GET`: returns the load as [`LoadReport`]. The figures are not current; see
/// [`LoadReport::age_ms`].
pub const LOAD_PATH: &str = "/v1/load";
/// `GET ?from=N`: returns the cache events from a sequence number as
/// [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// `POST`: sends an order, body [`Order`], response [`OrderReply`].
pub const ORDER_PATH: &str = "/v1/order";
/// `GET`: returns the layers that the engine holds, as [`Holding`].
pub const HOLDING_PATH: &str = "/v1/holding";

/// Requests one step.
///
/// If the newest step of a session is requested again with the same positions,
/// the engine returns the stored reply and runs nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StepRequest {
    /// The session. A step at position 0 opens it.
    pub session: SessionRef,
    /// The model that the sender expects the engine to hold.
    pub model: ModelId,
    /// The version that the sender expects the engine to hold.
    pub version: VersionId,
    /// The layers to run. The engine refuses a range that it doesn't hold.
    pub layers: LayerRange,
    /// The first position, which must be the next one of the session.
    pub first: Position,
    /// One value for each position.
    pub input: StageInput,
    /// Priority of the step. Engines with a queue run higher priorities first.
    pub priority: Priority,
    /// Time in milliseconds after which the result is no longer needed.
    pub deadline_ms: Option<u64>,
}

/// Opens a session from an exported cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvImport {
    /// The session to open.
    pub session: SessionRef,
    /// The exported cache.
    pub cache: KvCache,
}

/// The load of an engine at a time in the past.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadReport {
    /// VM of the engine.
    pub vm: VmId,
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Number of queued steps.
    pub queued: u32,
    /// Number of steps in the running batch.
    pub running: u32,
    /// Number of open sessions.
    pub sessions: u32,
    /// Mean duration of a step in microseconds.
    pub step_us: u64,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event. The engine numbers its events without
    /// gaps.
    pub seq: u64,
    /// Digest of the cached prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was added to the cache; `false` if it was evicted.
    pub cached: bool,
}

/// A page of cache events. Events arrive late, and some are missing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Sequence number from which to continue.
    pub next: u64,
}

/// The layers that an engine holds or loads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers.
    pub layers: LayerRange,
    /// The adapters.
    pub adapters: Vec<AdapterId>,
    /// Fencing token of the order that the engine follows.
    pub token: FencingToken,
    /// Whether weights are still being loaded.
    pub loading: bool,
}

/// Orders an engine to hold the given layers. An order contains the complete
/// desired state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the lease that allows the sender to send orders.
    pub token: FencingToken,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers.
    pub layers: LayerRange,
    /// The adapters.
    pub adapters: Vec<AdapterId>,
}

/// Response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum OrderReply {
    /// The engine accepted the desired state.
    Accepted,
    /// The engine has seen a newer fencing token and refuses the order. Engines
    /// that don't check tokens never return this.
    StaleToken {
        /// The newest token that the engine has seen.
        newest: FencingToken,
    },
}
