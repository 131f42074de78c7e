//! Graceful shutdown of this node.
//!
//! The node leaves the directory at once, and takes requests from callers that
//! still keep its address until the longest time for which they may keep it.

use super::Context;

/// Begins the shutdown; runs when the node is told to stop.
pub fn start(cx: &mut Context<'_>) {
    cx.tables.draining_since.get_or_insert(cx.now);
}

/// Tells whether new requests are rejected because of the shutdown.
pub fn rejects_requests(cx: &Context<'_>) -> bool {
    let begun = cx.tables.draining_since;
    begun.is_some_and(|begun| cx.now >= begun + cx.cfg.directory.keep)
}
