//! Small stand-ins for the systems around radishhaven.
//!
//! Each stand-in serves the published protocol of one system over HTTP, keeps
//! its own records of what it did, and can be told to fail in a stated way.
//! Tests and examples judge radishhaven by these records and by what callers
//! saw. A stand-in runs inside a test by [`runtime::ServerHandle`], or as a process
//! by the `standin` example.

pub mod bound;
pub mod checker;
pub mod control;
pub mod cpu;
pub mod deployment;
pub mod engine;
pub mod log;
pub mod net;
pub mod reference;
pub mod runtime;
pub mod scenarios;
pub mod service;
pub mod vms;
pub mod weights;
mod wire;
