//! Runs a gateway: the decisions of `radishhaven_core::gateway` between
//! callers and backend servers on the users' platform.
//!
//! See `docs/design/platform.md`.

mod body;
mod connections;
mod directory;
mod dump;
mod exchange;
mod forward;
mod host;
mod ingress;
mod job;
mod members;
mod metrics;
mod peers;
mod placer;
mod relay;
mod settings;
mod shutdown;
mod store_sync;

pub use self::{
    host::{GatewayHost, GatewayStartError},
    settings::GatewaySettings,
};
