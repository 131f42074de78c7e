//! Runs calls to plain services.
//!
//! A plain service answers a call in one exchange, unlike an engine, which runs a
//! completion step by step. A call that is not idempotent is retried only if no
//! server can have started it; after an indeterminate failure it ends as unknown.
//! Every retry waits with backoff and uses the retry budget, see
//! `docs/design/recovery.md`.

use std::{net::SocketAddr, time::Duration};

use super::{
    Context, Timer, answer,
    backoff::{self, MAX_WAITS},
    completion::{add_in_flight, remove_in_flight},
    health, hedge, routing,
};
use crate::{
    health::Signal,
    ids::{Attempt, RequestKey, VmId},
    message::{Action, AttemptError},
    outcome::{NotRun, Outcome},
    tables::{CallState, OpenCall, Work},
};

/// The backend server that an attempt is sent to.
pub(super) type Server = (VmId, SocketAddr);

/// Sends the first attempt. Runs once, at admission.
pub fn start(cx: &mut Context<'_>, key: RequestKey) {
    match choose_server(cx, key) {
        Some(server) => send(cx, key, server),
        None => no_server(cx, key),
    }
}

/// Returns the state of an open call.
pub(super) fn call<'a>(cx: &'a Context<'_>, key: RequestKey) -> Option<&'a CallState> {
    match &cx.tables.requests.get(key)?.work {
        Work::Call(call) => Some(call),
        Work::Completion(_) => None,
    }
}

fn call_mut<'a>(cx: &'a mut Context<'_>, key: RequestKey) -> Option<&'a mut CallState> {
    match &mut cx.tables.requests.get_mut(key)?.work {
        Work::Call(call) => Some(call),
        Work::Completion(_) => None,
    }
}

/// Chooses a server that has not failed this call and has no open attempt of it.
pub(super) fn choose_server(cx: &Context<'_>, key: RequestKey) -> Option<Server> {
    let row = cx.tables.requests.get(key)?;
    let call = call(cx, key)?;
    let mut excluded = row.failed.clone();
    excluded.extend(call.open.iter().map(|open| open.vm.clone()));
    let backend = routing::service(cx, &call.service, &excluded, row.idempotent)?;
    Some((backend.vm.clone(), backend.address))
}

/// Sends an attempt.
pub(super) fn send(cx: &mut Context<'_>, key: RequestKey, (vm, address): Server) {
    let now = cx.now;
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let Work::Call(call) = &mut row.work else {
        return;
    };
    let attempt = Attempt(call.attempts);
    call.attempts += 1;
    call.open.push(OpenCall {
        attempt,
        vm: vm.clone(),
        sent: now,
    });
    row.attempt = attempt;
    row.started = true;
    cx.out.push(Action::Call {
        key,
        attempt,
        address,
        vm: vm.clone(),
        id: row.id.clone(),
        operation: call.operation.clone(),
        body: call.body.clone(),
        timeout: row.deadline.since(now),
    });
    add_in_flight(cx, &vm);
    hedge::schedule(cx, key);
}

/// Handles the end of an attempt. Runs once for each attempt that was sent. The
/// end of an attempt whose call has ended is dropped and counted.
pub fn attempt_done(
    cx: &mut Context<'_>,
    key: RequestKey,
    attempt: Attempt,
    result: Result<serde_json::Value, AttemptError>,
) {
    let is_open = |call: &CallState| call.open.iter().any(|open| open.attempt == attempt);
    if !call(cx, key).is_some_and(is_open) {
        cx.tables.counters.stale_replies += 1;
        return;
    }
    match result {
        Ok(body) => {
            report_health(cx, key, attempt);
            record_times(cx, key, attempt);
            answer::finish(cx, key, Outcome::Completed, Some(body), "");
        }
        Err(error) => attempt_failed(cx, key, attempt, error),
    }
}

/// Reports to the health check that the server of an attempt answered. Slowness
/// isn't reported, because the calls of a service differ too much in duration.
fn report_health(cx: &mut Context<'_>, key: RequestKey, answered: Attempt) {
    let Some(call) = call(cx, key) else { return };
    let open = call.open.iter().find(|open| open.attempt == answered);
    if let Some(vm) = open.map(|open| open.vm.clone()) {
        health::record(cx, &vm, Signal::Answered { slowness: 0.0 });
    }
}

/// Records how long the answered attempt took. For an earlier attempt that is
/// still running, the time until now is a lower bound, which a quantile estimate
/// can use.
fn record_times(cx: &mut Context<'_>, key: RequestKey, answered: Attempt) {
    let now = cx.now;
    let Some(call) = call(cx, key) else { return };
    let counted = call.open.iter().filter(|open| open.attempt <= answered);
    let times: Vec<Duration> = counted.map(|open| now.since(open.sent)).collect();
    let service = call.service.clone();
    if times.len() > 1 {
        cx.tables.counters.hedge_wins += 1;
    }
    for took in times {
        cx.tables.services.observe(&service, took, &cx.cfg.hedge);
    }
}

fn attempt_failed(cx: &mut Context<'_>, key: RequestKey, attempt: Attempt, error: AttemptError) {
    cancel_timer(cx, key);
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let Work::Call(call) = &mut row.work else {
        return;
    };
    let Some(at) = call.open.iter().position(|open| open.attempt == attempt) else {
        return;
    };
    let open = call.open.remove(at);
    let alone = call.open.is_empty();
    let attempts = call.attempts;
    let not_run = matches!(error, AttemptError::NotSent | AttemptError::Refused(_));
    row.indeterminate |= !not_run;
    row.started = row.indeterminate || !alone;
    row.failed.push(open.vm.clone());
    let may_retry = (row.idempotent || !row.indeterminate) && attempts < cx.cfg.retry.max_attempts;
    remove_in_flight(cx, &open.vm);
    if let Some(sign) = health::signal_for(&error) {
        health::record(cx, &open.vm, sign);
    }
    // The other open attempt of a hedged call decides its outcome.
    if !alone {
        return;
    }
    if !may_retry {
        return abort(cx, key);
    }
    if choose_server(cx, key).is_none() {
        return no_server(cx, key);
    }
    schedule_retry(cx, key);
}

/// Handles the timer of a call: retries it, or hedges it if an attempt is open.
pub fn timer_due(cx: &mut Context<'_>, key: RequestKey) {
    let Some(call) = call_mut(cx, key) else {
        return;
    };
    call.timer = None;
    match call.open.is_empty() {
        true => retry(cx, key),
        false => hedge::run(cx, key),
    }
}

fn retry(cx: &mut Context<'_>, key: RequestKey) {
    let Some(server) = choose_server(cx, key) else {
        return no_server(cx, key);
    };
    if !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
        cx.tables.counters.budget_waits += 1;
        return schedule_retry(cx, key);
    }
    cx.tables.counters.retries += 1;
    send(cx, key, server);
}

/// Handles a call for which no server is left. A call that has not run is ended
/// at once; one that may have run is retried later on the servers that failed it.
fn no_server(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    if !row.indeterminate {
        let message = "no server of the service is up";
        return answer::abort(cx, key, NotRun::NoCapacity, message);
    }
    row.failed.clear();
    schedule_retry(cx, key);
}

/// Waits with backoff before a retry. Ends the call if it has waited too often or
/// the wait would leave too little time before the deadline.
fn schedule_retry(cx: &mut Context<'_>, key: RequestKey) {
    let waits = call(cx, key).map_or(0, |call| call.waits);
    let delay = backoff::delay(cx, waits);
    if waits >= MAX_WAITS || !fits_deadline(cx, key, delay) {
        return abort(cx, key);
    }
    if let Some(call) = call_mut(cx, key) {
        call.waits += 1;
    }
    set_timer(cx, key, delay);
}

fn abort(cx: &mut Context<'_>, key: RequestKey) {
    answer::abort(cx, key, NotRun::NoCapacity, "the service did not answer");
}

/// Returns whether an attempt that is sent after `delay` can be answered before the
/// deadline, given the fastest answers of the service.
pub(super) fn fits_deadline(cx: &Context<'_>, key: RequestKey, delay: Duration) -> bool {
    let (Some(row), Some(call)) = (cx.tables.requests.get(key), call(cx, key)) else {
        return false;
    };
    let fastest = cx.tables.services.min_duration(&call.service);
    cx.now + delay + fastest < row.deadline
}

/// Sets the timer of a call to fire after `delay`, replacing an earlier timer.
pub(super) fn set_timer(cx: &mut Context<'_>, key: RequestKey, delay: Duration) {
    cancel_timer(cx, key);
    let timer = cx.tables.timers.subscribe(cx.now + delay, Timer::Call(key));
    if let Some(call) = call_mut(cx, key) {
        call.timer = Some(timer);
    }
}

/// Cancels the timer of a call.
pub(super) fn cancel_timer(cx: &mut Context<'_>, key: RequestKey) {
    if let Some(timer) = call_mut(cx, key).and_then(|call| call.timer.take()) {
        cx.tables.timers.cancel(timer);
    }
}
