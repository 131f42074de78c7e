//! Settings of an engine.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};

use radishhaven_core::ids::{LayerRange, ModelId, VersionId, VmId};
use serde::{Deserialize, Serialize};

use crate::control::DEFAULT_MAX_RECORD_VALUES;

/// The kinds of accelerator that a deployment mixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Accelerator {
    /// Half the speed of the standard kind.
    Small,
    /// The standard kind.
    Standard,
    /// Twice the speed of the standard kind.
    Large,
}

/// Says that a text names no kind of accelerator.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not an accelerator: use small, standard or large")]
pub struct AcceleratorError(String);

impl FromStr for Accelerator {
    type Err = AcceleratorError;

    fn from_str(text: &str) -> Result<Self, AcceleratorError> {
        match text {
            "small" => Ok(Self::Small),
            "standard" => Ok(Self::Standard),
            "large" => Ok(Self::Large),
            other => Err(AcceleratorError(other.to_owned())),
        }
    }
}

/// What a step costs in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepCost {
    /// Microseconds for each batch.
    pub base_us: u64,
    /// Microseconds for each layer that the batch runs.
    pub per_layer_us: u64,
    /// Microseconds for each position in the batch that isn't cached.
    pub per_position_us: u64,
    /// Microseconds for each step in the batch.
    pub per_step_us: u64,
}

impl Accelerator {
    /// Returns the step cost of this kind.
    pub fn cost(self) -> StepCost {
        let scaled = |factor: u64| StepCost {
            base_us: 250 * factor,
            per_layer_us: 50 * factor,
            per_position_us: 5 * factor,
            per_step_us: 10 * factor,
        };
        match self {
            Self::Small => scaled(4),
            Self::Standard => scaled(2),
            Self::Large => scaled(1),
        }
    }
}

impl StepCost {
    /// Returns this cost, `factor` times as long.
    pub fn scaled(self, factor: u64) -> Self {
        Self {
            base_us: self.base_us * factor,
            per_layer_us: self.per_layer_us * factor,
            per_position_us: self.per_position_us * factor,
            per_step_us: self.per_step_us * factor,
        }
    }

    /// Returns the time of one batch.
    pub fn batch_time(&self, layers: u64, positions: u64, members: u64) -> Duration {
        let us = self.base_us
            + self.per_layer_us * layers
            + self.per_position_us * positions
            + self.per_step_us * members;
        Duration::from_micros(us)
    }
}

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineCfg {
    /// The engine's VM.
    pub vm: VmId,
    /// The model that is held from the start.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers that are held from the start.
    pub layers: LayerRange,
    /// Layers of a model that [`EngineCfg::model_layers`] doesn't name.
    pub total_layers: u16,
    /// Layers of each model that has another number.
    pub model_layers: BTreeMap<ModelId, u16>,
    /// What a step costs.
    pub cost: StepCost,
    /// Steps in a batch at most.
    pub max_batch: usize,
    /// Steps that wait at most; more are refused as busy.
    pub max_queued_steps: usize,
    /// Sessions that are open at most; more are refused as busy.
    pub max_sessions: usize,
    /// Prompt prefixes that are cached at most.
    pub max_cached_prefixes: usize,
    /// Microseconds of each KV export and import.
    pub kv_base_us: u64,
    /// Microseconds of KV export and import for each position.
    pub kv_per_position_us: u64,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which cache events show, in milliseconds.
    pub cache_lag_ms: u64,
    /// Every so many cache events one is missing; 0 for none.
    pub cache_gap_every: u64,
    /// False for engines that ignore an old fencing token.
    pub checks_tokens: bool,
    /// Bytes of one layer's weights.
    pub layer_bytes: u64,
    /// Rate of loading when there is no weight store, in bytes a second.
    pub load_bytes_per_s: u64,
    /// The weight store that weights are read from.
    pub weight_store: Option<SocketAddr>,
    /// Microseconds that the link adds, each way.
    ///
    /// The runtime sleeps in whole milliseconds and rounds up.
    pub link_delay_us: u64,
    /// Values that the kept records hold together at most.
    pub max_record_values: usize,
}

impl EngineCfg {
    /// Returns the settings of a standard engine that holds `layers`.
    pub fn new(vm: VmId, model: ModelId, version: VersionId, layers: LayerRange) -> Self {
        Self {
            vm,
            model,
            version,
            layers,
            total_layers: layers.end(),
            model_layers: BTreeMap::new(),
            cost: Accelerator::Standard.cost(),
            max_batch: 16,
            max_queued_steps: 1_024,
            max_sessions: 65_536,
            max_cached_prefixes: 256,
            kv_base_us: 1_000,
            kv_per_position_us: 10,
            load_lag_ms: 200,
            cache_lag_ms: 500,
            cache_gap_every: 0,
            checks_tokens: true,
            layer_bytes: 10_000_000,
            load_bytes_per_s: 1_000_000_000,
            weight_store: None,
            link_delay_us: 0,
            max_record_values: DEFAULT_MAX_RECORD_VALUES,
        }
    }

    /// Returns the number of layers of a model.
    pub fn layers_of(&self, model: &ModelId) -> u16 {
        let named = self.model_layers.get(model).copied();
        named.unwrap_or(self.total_layers)
    }
}
