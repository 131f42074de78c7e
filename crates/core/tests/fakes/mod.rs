//! Small fakes at a node's edges, driven in one thread with a clock that the
//! test moves.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod engine;
pub mod objects;
pub mod services;
pub mod trace;
pub mod world;

use std::str::FromStr;

/// Makes an identifier from a name that is known to be valid.
pub fn id<T: FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("the name is valid")
}
