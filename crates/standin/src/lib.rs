//! Test servers that stand in for the systems around radishhaven.
//!
//! Each stand-in serves the published protocol of one system over HTTP, records
//! what it did and injects faults on request. Tests and examples check
//! radishhaven against these records and against the responses that callers
//! received. [`runtime::ServerHandle`] runs a stand-in inside a test; the
//! `standin` example runs one as a process.

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
