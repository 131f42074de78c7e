//! Settings of an engine.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};

use radishhaven_core::ids::{LayerRange, ModelId, VersionId, VmId};
use serde::{Deserialize, Serialize};

use crate::control::DEFAULT_MAX_RECORD_VALUES;

/// The kind of accelerator that an engine runs on.
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

/// An error on parsing the kind of an accelerator.
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

/// Processing time of a batch of steps, as a linear cost model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepCost {
    /// Fixed time per batch in microseconds.
    pub base_us: u64,
    /// Time per layer that the batch runs, in microseconds.
    pub per_layer_us: u64,
    /// Time per uncached position in the batch, in microseconds.
    pub per_position_us: u64,
    /// Time per step in the batch, in microseconds.
    pub per_step_us: u64,
}

impl Accelerator {
    /// Returns the step cost of this kind of accelerator.
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
    /// Returns the cost with all times multiplied by `factor`.
    pub fn scaled(self, factor: u64) -> Self {
        Self {
            base_us: self.base_us * factor,
            per_layer_us: self.per_layer_us * factor,
            per_position_us: self.per_position_us * factor,
            per_step_us: self.per_step_us * factor,
        }
    }

    /// Returns the processing time of a batch of `steps` steps.
    pub fn batch_time(&self, layers: u64, positions: u64, steps: u64) -> Duration {
        let us = self.base_us
            + self.per_layer_us * layers
            + self.per_position_us * positions
            + self.per_step_us * steps;
        Duration::from_micros(us)
    }
}

/// Settings of an [`Engine`](super::Engine).
#[derive(Debug, Clone)]
pub struct EngineCfg {
    /// The VM that the engine runs on.
    pub vm: VmId,
    /// The model that the engine initially holds.
    pub model: ModelId,
    /// The version of that model.
    pub version: VersionId,
    /// The layers that the engine initially holds.
    pub layers: LayerRange,
    /// Number of layers of each model that is not in [`EngineCfg::model_layers`].
    pub total_layers: u16,
    /// Number of layers by model, for models that differ from
    /// [`EngineCfg::total_layers`].
    pub model_layers: BTreeMap<ModelId, u16>,
    /// Processing time of steps.
    pub cost: StepCost,
    /// Maximum number of steps in a batch.
    pub max_batch: usize,
    /// Maximum number of queued steps; further steps are refused as busy.
    pub max_queued_steps: usize,
    /// Maximum number of open sessions; further ones are refused as busy.
    pub max_sessions: usize,
    /// Maximum number of cached prompt prefixes.
    pub max_cached_prefixes: usize,
    /// Fixed time of a KV export or import in microseconds.
    pub kv_base_us: u64,
    /// Time of a KV export or import per position, in microseconds.
    pub kv_per_position_us: u64,
    /// Delay of load reports in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until a cache event is published, in milliseconds.
    pub cache_lag_ms: u64,
    /// Interval of lost cache events: every nth event is left out; 0 for none.
    pub cache_gap_every: u64,
    /// Whether the engine refuses orders with stale fencing tokens.
    pub checks_tokens: bool,
    /// Size of the weights of one layer in bytes.
    pub layer_bytes: u64,
    /// Load rate without a weight store, in bytes per second.
    pub load_bytes_per_s: u64,
    /// Address of the weight store to load weights from.
    pub weight_store: Option<SocketAddr>,
    /// Delay of the link in each direction, in microseconds.
    ///
    /// The Tokio timer rounds the delay up to whole milliseconds.
    pub link_delay_us: u64,
    /// Maximum total number of values in the retained records.
    pub max_record_values: usize,
}

impl EngineCfg {
    /// Returns the settings of an engine on a standard accelerator.
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
        let listed = self.model_layers.get(model).copied();
        listed.unwrap_or(self.total_layers)
    }
}
