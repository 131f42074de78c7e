//! The gateway configuration set by the operators, after validation.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, OrganisationId, Priority, ServiceId};

/// Shortest time without an event after which callers give a stream up.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// One version of the configuration. It replaces the previous version as a
/// whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Services to which routes forward requests.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Organisations by id; `None` means that no route requires a key.
    pub organisations: Option<BTreeMap<OrganisationId, Organisation>>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request's header section.
    pub header_timeout: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether requests of a route may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once per attempt of the caller.
    NonIdempotent,
    /// Answered with a stream of events.
    Streaming {
        /// Whether an interrupted stream may be resumed on another backend
        /// server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }
}

/// Forwarding rules for requests with a given host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The host name in the caller's request.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Time within which the answer, or the first event of a stream, is on
    /// time.
    pub target_latency: Duration,
    /// Maximum interval between two events of a stream that is still on time.
    pub target_gap: Option<Duration>,
    /// Priority; zero is served first.
    pub priority: Priority,
    /// Maximum number of backend servers that one attempt of a caller may
    /// reach.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services with their weights for the traffic split.
    pub split: Vec<(ServiceId, u32)>,
}

impl Route {
    /// Returns the time without an event after which callers give a stream up: the longest
    /// of two seconds, four times the target latency and eight times the target gap.
    pub fn caller_patience(&self) -> Duration {
        let gap = self.target_gap.unwrap_or_default();
        let patience = (self.target_latency * 4).max(gap * 8);
        patience.max(MIN_CALLER_PATIENCE)
    }
}

/// A service in the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of a backend server's health check.
    pub health_path: String,
    /// The engines of the service, or `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Properties of a service's engines and of the model that they serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine accepts at a time as the first engine of a path.
    pub slots: u32,
    /// Number of layers of the model.
    pub layers: u16,
    /// Size of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// KV cache size of one token over all layers, in bytes.
    #[serde(rename = "kv_bytes")]
    pub kv_bytes_per_token: f64,
    /// Time to load all layers of the model.
    #[serde(rename = "load")]
    pub load_time: Duration,
    /// Number of concurrent loads above which each load becomes slower.
    pub loads_at_once: u32,
    /// Duration of one decoding step over all layers at step factor 1, in
    /// milliseconds.
    pub step_ms: f64,
    /// Additional step time per request that is generating, in milliseconds.
    pub per_request_ms: f64,
    /// Additional step time per 1,000 tokens of context, in milliseconds.
    pub per_context_k_ms: f64,
    /// Decoding steps that an engine runs for a request before it passes the result on.
    /// An event of a stream holds the tokens of these steps.
    pub stride: u32,
    /// The shortest [`Route::target_gap`] of the routes to the service, if they have
    /// different priorities. Otherwise engines are placed without regard to it.
    pub target_gap: Option<Duration>,
    /// Prompt tokens processed per second over all layers at read factor 1.
    #[serde(rename = "read_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Activation size of one token, in bytes.
    #[serde(rename = "activation_bytes")]
    pub activation_bytes_per_token: f64,
    /// Bandwidth of the link between two failure domains, in Mbit/s.
    #[serde(rename = "pipe_mbps")]
    pub link_mbps: f64,
    /// Typical number of prompt tokens per request.
    #[serde(rename = "usual_prompt")]
    pub baseline_prompt_tokens: u32,
    /// Typical number of output tokens per request.
    #[serde(rename = "usual_output")]
    pub baseline_output_tokens: u32,
    /// Accelerators by name.
    #[serde(rename = "kinds")]
    pub accelerators: BTreeMap<String, Accelerator>,
    /// One-way delays between failure domains.
    pub delays: Vec<DomainDelay>,
}

/// The one-way delay between two failure domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainDelay {
    /// The first failure domain.
    pub from: FailureDomain,
    /// The second failure domain.
    pub to: FailureDomain,
    /// The delay, in milliseconds.
    pub ms: f64,
}

/// A kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Accelerator {
    /// Memory, in megabytes.
    #[serde(rename = "mb")]
    pub memory_mb: f64,
    /// Factor on the duration of a decoding step.
    #[serde(rename = "pace")]
    pub step_factor: f64,
    /// Factor on the time to process a prompt.
    pub read_factor: f64,
}

impl EngineSpec {
    /// Returns the number of tokens of a request of typical size.
    pub fn baseline_tokens(&self) -> u32 {
        let tokens = self.baseline_prompt_tokens + self.baseline_output_tokens;
        tokens.max(1)
    }

    /// Returns the number of KV cache tokens that fit into memory beside
    /// `layers` layers, or `None` if `layers` is zero or the layers alone
    /// exceed the memory.
    pub fn kv_tokens(&self, kind: &Accelerator, layers: u16) -> Option<u32> {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        if free_mb < 0.0 || layers == 0 {
            return None;
        }
        let token_bytes = self.kv_bytes_per_token * f64::from(layers) / f64::from(self.layers);
        Some((free_mb * 1e6 / token_bytes) as u32)
    }
}

/// A customer of the operators, identified by its keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Keys that authenticate its requests.
    pub keys: Vec<String>,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<Priority>,
}
