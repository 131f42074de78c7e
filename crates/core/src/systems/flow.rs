//! Holds an answer while its caller reads slowly.
//!
//! While too many parts are unread, the engines are asked for nothing further
//! and the request gives its place to others; it goes on when the caller has
//! taken parts, or ends by its deadline. See `docs/design/recovery.md`.

use super::{
    Context,
    completion::{completion, completion_mut, proceed},
    limits,
};
use crate::ids::RequestKey;

/// Holds the answer if too many of its parts are unread; returns whether it
/// is held. Runs after each token.
///
/// The answer of a request that has a home is kept as a whole for whoever
/// asks again, and no caller need be there to take it.
pub(super) fn hold(cx: &mut Context<'_>, key: RequestKey) -> bool {
    let most = cx.cfg.flow.max_unread_parts;
    let unread = completion(cx, key).map_or(0, |work| work.unread());
    if unread < most || cx.tables.once.home.by_key(key).is_some() {
        return false;
    }
    limits::pause(cx, key);
    cx.tables.counters.holds += 1;
    if let Some(work) = completion_mut(cx, key) {
        work.paused = true;
    }
    true
}

/// Takes note of how many parts the caller has taken so far, and goes on with
/// an answer that was held for it.
pub fn taken(cx: &mut Context<'_>, key: RequestKey, parts: u32) {
    let most = cx.cfg.flow.max_unread_parts;
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    work.chunks_read = work.chunks_read.max(parts.min(work.generated()));
    if !work.paused || work.unread() >= most {
        return;
    }
    work.paused = false;
    limits::resume(cx, key);
    proceed(cx, key);
}
