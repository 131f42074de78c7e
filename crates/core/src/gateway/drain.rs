//! Decides which requests a node still takes while it shuts down.
//!
//! Callers keep the node's address for some seconds after it has left the
//! directory, so that it goes on serving. What it takes must have ended before
//! the process is killed.

use std::time::Duration;

use super::config::RouteKind;

/// Part of the grace period in which streams are taken: they last for seconds.
const STREAMS: f64 = 0.3;
/// Part of the grace period in which other requests are taken.
const OTHERS: f64 = 0.75;

/// Tells whether a request that arrives `spent` after the shutdown began is
/// taken; one that isn't has not run and should go to another node at once.
pub fn accepts(kind: RouteKind, spent: Duration, grace: Duration) -> bool {
    let part = match kind {
        RouteKind::Streaming { .. } => STREAMS,
        RouteKind::Idempotent | RouteKind::NonIdempotent => OTHERS,
    };
    spent < grace.mul_f64(part)
}
