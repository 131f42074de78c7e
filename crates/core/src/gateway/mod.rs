//! Decisions of a gateway, which forwards each request as a whole to backend
//! servers: routing, admission, path selection, stall detection and layer
//! placement.
//!
//! A backend server is either an engine, which holds a range of a model's
//! layers, or a plain server, which answers requests on its own. The engines
//! behind a gateway forward activations to each other along a path that the
//! gateway chooses. In [`crate::systems`], by contrast, the node runs each step
//! at each engine itself. The design is described in `docs/design/platform.md`.

pub mod admission;
pub mod budget;
pub mod caller_usage;
mod chains;
pub mod config;
pub mod config_update;
pub mod crash_cause;
pub mod drain;
pub mod faults;
pub mod freshness;
pub mod hedging;
pub mod hubs;
pub mod links;
pub mod list_schedule;
pub mod members;
pub mod notices;
mod outcomes;
pub mod paths;
pub mod peer_paths;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod prompt;
pub mod quarantine;
pub mod recent_count;
pub mod request_digest;
pub mod request_rate;
pub mod response_usage;
pub mod routes;
pub mod server_limits;
pub mod servers;
pub mod stall;
mod starts;
pub mod state;
pub mod store_view;
pub mod ticket;
pub mod urgency;

pub use config::{Configuration, EngineSpec, Organisation, Route, RouteKind, Service};
pub use crash_cause::CrashCause;
pub use paths::{Path, Stage};
pub use peer_paths::PeerChoice;
pub use prompt::PromptPart;
pub use request_digest::RequestDigest;
pub use request_rate::RequestRate;
pub use servers::{Server, ServerState, Servers};
pub use state::Gateway;
pub use store_view::{StoreEra, StorePosition};
pub use ticket::{Target, Ticket, TicketOutcome};
