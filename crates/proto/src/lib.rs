//! Messages that radishhaven exchanges over its edges.
//!
//! [`engine`], [`service`] and [`platform`] describe the published protocols
//! of the systems around radishhaven as JSON over HTTP; [`caller`] is the
//! protocol that radishhaven offers. See `docs/ARCHITECTURE.md` for who talks
//! to whom.

pub mod caller;
pub mod engine;
pub mod operator;
pub mod platform;
pub mod service;
