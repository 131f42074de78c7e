//! State machines and algorithms of the radishhaven router.
//!
//! Nothing here performs input or output, reads a clock or has its own source
//! of randomness: events and the time go in, actions come out. The daemon runs
//! this crate, and other programs can embed it; see `docs/EMBEDDING.md`.

pub mod config;
pub mod configs;
pub mod engine;
pub mod gateway;
pub mod health;
pub mod ids;
pub mod language;
pub mod lease;
pub mod message;
pub mod node;
pub mod once;
pub mod orders;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod rendezvous;
pub mod systems;
pub mod tables;
pub mod time;
pub mod watch;

/// The embedding guide, whose examples run as doc tests.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/EMBEDDING.md")]
pub struct EmbeddingPage;
