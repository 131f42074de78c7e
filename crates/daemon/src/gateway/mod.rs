//! Runs a gateway node, which forwards requests of callers to the backend
//! servers of the users' platform. The decisions are made by
//! `radishhaven_core::gateway`; this module does the I/O around them.
//!
//! See `docs/design/platform.md`.

mod body;
mod caller_account;
mod caller_stream;
mod closing;
mod connections;
mod crash;
mod directory;
mod dump;
mod events;
mod exchange;
mod forward;
mod hedging;
mod host;
mod ingress;
mod job;
mod links;
mod members;
mod metrics;
mod peer_configuration;
mod peer_forwarding;
mod peers;
mod placer;
mod relay;
mod response_memory;
mod settings;
mod shutdown;
mod store_sync;
mod vm;

pub use self::{
    host::{GatewayHost, GatewayStartError},
    settings::GatewaySettings,
};
