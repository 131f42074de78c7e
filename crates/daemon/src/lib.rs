//! The radishhaven entry node: the edges around the decisions of
//! [`radishhaven_core`].
//!
//! [`host::Host`] owns the decisions; each module of [`edges`] translates one
//! outside protocol into events and carries out actions.

pub mod clock;
pub mod commands;
pub mod configs;
pub mod edges;
pub mod explain;
pub mod gateway;
pub mod host;
pub mod logging;
pub mod metrics;
pub mod settings;
