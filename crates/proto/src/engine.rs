//! The protocol of a model engine: steps, KV cache, load, cache events, orders.
//!
//! An engine holds a range of layers of one version of a model. A step runs
//! these layers over consecutive positions of one session; the first stage of
//! a pipeline takes tokens, the last one gives a token, and all others take
//! and give activations.

pub use radishhaven_core::engine::{
    EngineRefusal, KvCache, SessionRef, StageInput, StageOutput, StepReply,
};
use radishhaven_core::ids::{
    AdapterId, FencingToken, LayerRange, ModelId, Position, Priority, VersionId, VmId,
};
use serde::{Deserialize, Serialize};

/// `POST`: runs one step, body [`StepRequest`], answer [`StepReply`].
pub const STEP_PATH: &str = "/v1/step";
/// `POST`: ends a session, body [`SessionRef`], answer empty.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// `POST`: exports KV cache, body [`SessionRef`], answer [`KvCache`].
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// `POST`: imports KV cache as a new session, body [`KvImport`], answer empty.
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// `GET`: the load, which lags, as [`LoadReport`].
pub const LOAD_PATH: &str = "/v1/load";
/// `GET ?from=N`: cache events from a sequence number as [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// `POST`: gives an order, body [`Order`], answer [`OrderReply`].
pub const ORDER_PATH: &str = "/v1/order";
/// `GET`: what the engine holds now, as [`Holding`].
pub const HOLDING_PATH: &str = "/v1/holding";

/// Asks for one step.
///
/// Asking again for the newest step of a session, with the same positions,
/// gives the stored reply and runs nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StepRequest {
    /// The session; the engine opens it at position 0.
    pub session: SessionRef,
    /// The model that the caller of the step believes is held.
    pub model: ModelId,
    /// The version that is believed held.
    pub version: VersionId,
    /// The layers to run; the engine refuses a range that it doesn't hold.
    pub layers: LayerRange,
    /// The first position; it must be the next one of the session.
    pub first: Position,
    /// One value for each position.
    pub input: StageInput,
    /// Engines with a queue serve higher priorities first.
    pub priority: Priority,
    /// Milliseconds after which the result is worth nothing.
    pub deadline_ms: Option<u64>,
}

/// Opens a session from an exported cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvImport {
    /// The session to open.
    pub session: SessionRef,
    /// The cache.
    pub cache: KvCache,
}

/// The load of an engine at a moment that has passed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's VM.
    pub vm: VmId,
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Steps waiting.
    pub queued: u32,
    /// Steps in the running batch.
    pub running: u32,
    /// Open sessions.
    pub sessions: u32,
    /// Mean time of a step in microseconds.
    pub step_us: u64,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Numbers the events without gaps as the engine made them.
    pub seq: u64,
    /// Digest of the cached prompt prefix.
    pub prefix: u64,
    /// False when the prefix was dropped.
    pub cached: bool,
}

/// Cache events; they come late and some are missing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, by rising sequence number.
    pub events: Vec<CacheEvent>,
    /// The sequence number to ask from next.
    pub next: u64,
}

/// What an engine is to hold.
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
    /// The fencing token of the order that is in force.
    pub token: FencingToken,
    /// True while weights are still on their way.
    pub loading: bool,
}

/// Orders an engine to hold something; given as the desired state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The token of the lease under which the order is given.
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

/// The answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum OrderReply {
    /// The engine works towards the desired state.
    Accepted,
    /// A newer token was seen; engines that don't check never say this.
    StaleToken {
        /// The newest token that the engine has seen.
        newest: FencingToken,
    },
}
