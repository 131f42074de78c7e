//! Waits before a request tries again: exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng;

use super::Context;

/// Waits of a request in a row before it is given up.
pub(super) const MAX_WAITS: u32 = 12;
/// Doublings after which the longest wait no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// Draws the wait that follows `waits` earlier ones.
pub(super) fn pause(cx: &mut Context<'_>, waits: u32) -> Duration {
    let cfg = &cx.cfg.retry;
    let longest = cfg.backoff * 2_u32.saturating_pow(waits.min(MAX_DOUBLINGS));
    let longest = longest.min(cfg.max_backoff);
    longest.mul_f64(cx.rng.random_range(0.0..1.0))
}
