//! Decisions for requests that are forwarded whole: where they go, whether
//! they wait, and what each backend server holds.
//!
//! The engines behind a gateway hand activations on among themselves, along a
//! path that the gateway names. That sets this module apart from
//! [`crate::systems`], where the node steps each engine itself. The design
//! note is `docs/design/platform.md`.

pub mod admission;
pub mod budget;
pub mod config;
pub mod drain;
pub mod freshness;
pub mod hubs;
pub mod paths;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod routes;
pub mod servers;
pub mod stall;
pub mod state;
pub mod store_view;
pub mod ticket;

pub use config::{Configuration, EngineSpec, Organisation, Route, RouteKind, Service};
pub use paths::{Path, Stage};
pub use servers::{Server, ServerState, Servers};
pub use state::Gateway;
pub use ticket::{Target, Ticket, TicketOutcome};
