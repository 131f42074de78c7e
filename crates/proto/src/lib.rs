//! Messages that radishhaven exchanges with other systems.
//!
//! [`engine`], [`service`] and [`platform`] describe the published protocols of
//! the systems around radishhaven as JSON over HTTP. [`caller`] is the protocol
//! that radishhaven offers to callers, and [`operator`] the one that it offers
//! to operators. `docs/ARCHITECTURE.md` shows which systems communicate.

pub mod caller;
pub mod engine;
pub mod operator;
pub mod platform;
pub mod service;
