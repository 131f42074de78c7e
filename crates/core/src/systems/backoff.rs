//! Delays before retries: exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng;

use super::Context;

/// Number of consecutive waits after which a request is ended.
pub(super) const MAX_WAITS: u32 = 12;
/// Number of waits after which the maximum delay stops doubling.
const MAX_DOUBLINGS: u32 = 16;

/// Returns a random delay for a request that has already waited `waits` times.
pub(super) fn delay(cx: &mut Context<'_>, waits: u32) -> Duration {
    let cfg = &cx.cfg.retry;
    let max_delay = cfg.backoff * 2_u32.saturating_pow(waits.min(MAX_DOUBLINGS));
    let max_delay = max_delay.min(cfg.max_backoff);
    max_delay.mul_f64(cx.rng.random_range(0.0..1.0))
}
