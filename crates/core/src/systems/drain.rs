//! Graceful shutdown of this node.
//!
//! The node leaves the directory at once. It still accepts requests for as long
//! as callers may keep a cached directory answer that contains its address.

use super::Context;

/// Begins the graceful shutdown.
pub fn start(cx: &mut Context<'_>) {
    cx.tables.draining_since.get_or_insert(cx.now);
}

/// Returns whether new requests are rejected because of the shutdown.
pub fn rejects_requests(cx: &Context<'_>) -> bool {
    let started = cx.tables.draining_since;
    started.is_some_and(|started| cx.now >= started + cx.cfg.directory.ttl)
}
