//! Sends a second attempt of a slow idempotent call to another server.
//!
//! The first answer wins, and the other one is dropped as stale. What was
//! weighed is in `docs/design/recovery.md`.

use super::{
    Context,
    calls::{call, in_time, send, server, subscribe},
};
use crate::ids::RequestKey;

/// Subscribes to the moment from which the only open attempt counts as slow;
/// runs after each attempt that was sent.
pub(super) fn watch(cx: &mut Context<'_>, key: RequestKey) {
    let cfg = &cx.cfg.hedge;
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Some(call) = call(cx, key) else { return };
    let more = call.open.len() == 1 && call.attempts < cx.cfg.retry.max_attempts;
    if !cfg.enabled || !row.idempotent || !more {
        return;
    }
    let after = cx.tables.services.slow_threshold(&call.service, cfg);
    if let Some(after) = after.filter(|after| in_time(cx, key, *after)) {
        subscribe(cx, key, after);
    }
}

/// Sends the second attempt, if another server takes it and the budget allows.
pub(super) fn run(cx: &mut Context<'_>, key: RequestKey) {
    let Some(server) = server(cx, key) else {
        return;
    };
    if !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
        cx.tables.counters.hedges_unpaid += 1;
        return;
    }
    cx.tables.counters.hedges += 1;
    cx.tables.counters.retries += 1;
    send(cx, key, server);
}
