//! Decides which new requests a node still accepts while it shuts down.
//!
//! Callers use a cached node address for some seconds after the node has left
//! the directory, so the node keeps serving during its grace period. Every
//! request that it accepts must end before the process is killed.

use std::time::Duration;

use super::config::RouteKind;

/// Fraction of the grace period during which streams are accepted. It is
/// shorter than [`OTHER_FRACTION`] because streams run for several seconds.
const STREAM_FRACTION: f64 = 0.3;
/// Fraction of the grace period during which other requests are accepted.
const OTHER_FRACTION: f64 = 0.75;

/// Returns whether a request that arrives `elapsed` after the start of the
/// shutdown is accepted. A rejected request has not run, so the caller can send
/// it to another node at once.
pub fn accepts(kind: RouteKind, elapsed: Duration, grace: Duration) -> bool {
    let fraction = match kind {
        RouteKind::Streaming { .. } => STREAM_FRACTION,
        RouteKind::Idempotent | RouteKind::NonIdempotent => OTHER_FRACTION,
    };
    elapsed < grace.mul_f64(fraction)
}
