//! Fakes of the components around a node, driven on one thread with a clock that
//! the test advances.

#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod engine;
pub mod objects;
pub mod services;
pub mod trace;
pub mod world;

use std::str::FromStr;

/// Parses an identifier from a name that must be valid.
pub fn id<T: FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("the name is valid")
}
