//! Crashes of servers under prompts of many parts.

use radishhaven_core::gateway::{CrashCause, Gateway, PromptPart, RequestDigest};

use super::{gateway, ms, name, placed_engines};

/// Requests that wait at a server when it crashes, at each node.
pub const WAITING: usize = 32;

/// Returns the causes of request `number`, whose prompt has parts of its own.
pub fn causes(number: usize, parts: usize) -> Vec<CrashCause> {
    let part = |index| PromptPart(u64::MAX - (number << 13 | index) as u64);
    let parts = (0..parts).map(|index| CrashCause::Part(part(index)));
    let request = CrashCause::Request(RequestDigest(u64::MAX - number as u64));
    parts.chain([request]).collect()
}

/// Returns a node, of which requests with these numbers of parts were at crashes.
pub fn node_after_crashes(node: usize, requests: usize, parts: usize) -> Gateway {
    let mut gateway = gateway(ms(0), placed_engines());
    for number in 0..requests {
        let causes = causes(node * WAITING + number, parts);
        gateway.record_crash(ms(1_000), &name(number % 8), &causes);
    }
    gateway
}
