//! Flow control: pauses an answer while its caller reads slowly.
//!
//! While too many parts of the answer are unread, the node sends no further steps
//! to the engines and the request frees its place in the concurrency limit. The
//! answer resumes once the caller has read parts, or ends at its deadline. See
//! `docs/design/recovery.md`.

use super::{
    Context,
    completion::{completion, completion_mut, send_next},
    limits,
};
use crate::ids::RequestKey;

/// Pauses the answer if too many of its parts are unread, and returns whether it
/// did. Runs after each token.
///
/// Answers of requests that have a home are never paused: the home stores the
/// full answer for repeated requests, and the caller may have disconnected.
pub(super) fn pause_if_unread(cx: &mut Context<'_>, key: RequestKey) -> bool {
    let max_unread = cx.cfg.flow.max_unread_chunks;
    let unread = completion(cx, key).map_or(0, |work| work.unread());
    if unread < max_unread || cx.tables.once.home.by_key(key).is_some() {
        return false;
    }
    limits::pause(cx, key);
    cx.tables.counters.holds += 1;
    if let Some(work) = completion_mut(cx, key) {
        work.paused = true;
    }
    true
}

/// Records how many parts the caller has read in total, and resumes its answer if
/// it was paused.
pub fn parts_read(cx: &mut Context<'_>, key: RequestKey, parts: u32) {
    let max_unread = cx.cfg.flow.max_unread_chunks;
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    work.chunks_read = work.chunks_read.max(parts.min(work.generated()));
    if !work.paused || work.unread() >= max_unread {
        return;
    }
    work.paused = false;
    limits::resume(cx, key);
    send_next(cx, key);
}
