//! The operators' configuration of a gateway, checked.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, OrganisationId, Priority, ServiceId};

/// One version of the configuration, in force as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each version.
    pub version: u64,
    /// The routes by name.
    pub routes: BTreeMap<String, Route>,
    /// The services that routes lead to.
    pub services: BTreeMap<ServiceId, Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// The organisations; `None` means that no route asks for a key.
    pub organisations: Option<BTreeMap<OrganisationId, Organisation>>,
}

/// Bounds on what callers send and on how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time in which a request's head must arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay without a request.
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

/// What may be repeated, and how the answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a series of events.
    Streaming {
        /// Whether a broken stream may go on at another backend server.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// The prefix, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is still on time.
    pub target_latency: Duration,
    /// Longest pause between two events that is still on time.
    pub target_gap: Option<Duration>,
    /// Rank; zero is served first.
    pub priority: Priority,
    /// Most backend servers that one attempt of a caller may reach.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// The services and their weights.
    pub split: Vec<(ServiceId, u32)>,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path that tells a backend server's health.
    pub health_path: String,
    /// The model that its engines serve; a plain service has none.
    pub engine: Option<EngineSpec>,
}

/// What the operators say of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine takes at once as the first of a path.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u16,
    /// Weights of one layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    #[serde(rename = "kv_bytes")]
    pub kv_bytes_per_token: f64,
    /// Time to load the whole model.
    #[serde(rename = "load")]
    pub load_time: Duration,
    /// Loads at a time beyond which each one takes longer.
    pub loads_at_once: u32,
    /// Time of one token step over all layers at pace 1, in milliseconds.
    pub step_ms: f64,
    /// What each request that writes adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// What 1,000 tokens of context add to a step, in milliseconds.
    pub per_context_k_ms: f64,
    /// Prompt tokens read in a second, over all layers at read factor 1.
    #[serde(rename = "read_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Activations of one token, in bytes.
    #[serde(rename = "activation_bytes")]
    pub activation_bytes_per_token: f64,
    /// What the link between two failure domains carries, in Mbit/s.
    #[serde(rename = "pipe_mbps")]
    pub link_mbps: f64,
    /// Usual number of prompt tokens.
    #[serde(rename = "usual_prompt")]
    pub baseline_prompt_tokens: u32,
    /// Usual number of output tokens.
    #[serde(rename = "usual_output")]
    pub baseline_output_tokens: u32,
    /// Accelerators by the name of their kind.
    #[serde(rename = "kinds")]
    pub accelerators: BTreeMap<String, Accelerator>,
    /// One-way delays between failure domains.
    pub delays: Vec<DomainDelay>,
}

/// The one-way delay between two failure domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainDelay {
    /// One of the two.
    pub from: FailureDomain,
    /// The other one.
    pub to: FailureDomain,
    /// The delay in milliseconds.
    pub ms: f64,
}

/// A kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Accelerator {
    /// Its memory, in megabytes.
    #[serde(rename = "mb")]
    pub memory_mb: f64,
    /// Factor on the time of steps and context.
    #[serde(rename = "pace")]
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
}

impl EngineSpec {
    /// Returns the KV cache tokens that fit beside `layers` layers, or `None`
    /// when the layers alone are too large.
    pub fn kv_tokens(&self, kind: &Accelerator, layers: u16) -> Option<u32> {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        if free_mb < 0.0 || layers == 0 {
            return None;
        }
        let token_bytes = self.kv_bytes_per_token * f64::from(layers) / f64::from(self.layers);
        Some((free_mb * 1e6 / token_bytes) as u32)
    }
}

/// A customer of the operators, with the keys that name it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank that goes before the route's.
    pub priority: Option<Priority>,
}
