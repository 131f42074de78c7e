//! Hedges idempotent calls: sends a second attempt of a slow call to another
//! server.
//!
//! The first answer is used, and the other one is dropped as stale.
//! `docs/design/recovery.md` has the trade-offs.

use super::{
    Context,
    calls::{call, choose_server, fits_deadline, send, set_timer},
};
use crate::ids::RequestKey;

/// Sets a timer for when the only open attempt counts as slow. Runs after each
/// attempt that was sent.
pub(super) fn schedule(cx: &mut Context<'_>, key: RequestKey) {
    let cfg = &cx.cfg.hedge;
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Some(call) = call(cx, key) else { return };
    let may_hedge = call.open.len() == 1 && call.attempts < cx.cfg.retry.max_attempts;
    if !cfg.enabled || !row.idempotent || !may_hedge {
        return;
    }
    let after = cx.tables.services.slow_threshold(&call.service, cfg);
    if let Some(after) = after.filter(|after| fits_deadline(cx, key, *after)) {
        set_timer(cx, key, after);
    }
}

/// Sends the second attempt if another server is available and the retry budget
/// allows it.
pub(super) fn run(cx: &mut Context<'_>, key: RequestKey) {
    let Some(server) = choose_server(cx, key) else {
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
