//! The radishhaven entry node: network protocols around the decision core of
//! [`radishhaven_core`].
//!
//! [`host::Host`] owns the decision core. Each module of [`edges`] translates
//! one network protocol into events and executes actions.

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
