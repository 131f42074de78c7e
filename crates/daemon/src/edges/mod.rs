//! The node's edges: each module translates one network protocol into events of
//! the decision core and executes its actions.

mod apply;
pub mod callers;
pub mod engines;
mod http;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod services;
