//! The node's edges: each translates one outside protocol.

mod apply;
pub mod callers;
pub mod engines;
mod http;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod services;
