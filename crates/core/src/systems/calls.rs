//! Runs calls to plain services.
//!
//! A call that is not idempotent is sent again only while it is proved that
//! no server started it; whatever leaves its fate open ends as unknown. All
//! further attempts wait with backoff and draw on the retry budget, see
//! `docs/design/recovery.md`.

use std::{net::SocketAddr, time::Duration};

use super::{
    Context, Timer, answer,
    backoff::{self, MAX_WAITS},
    completion::{occupy, vacate},
    health, hedge, routing,
};
use crate::{
    health::Signal,
    ids::{Attempt, RequestKey, VmId},
    message::{Action, AttemptError},
    outcome::{NotRun, Outcome},
    tables::{CallState, OpenCall, Work},
};

/// A server that takes a call.
pub(super) type Server = (VmId, SocketAddr);

/// Sends the first attempt; runs once, at admission.
pub fn start(cx: &mut Context<'_>, key: RequestKey) {
    match server(cx, key) {
        Some(server) => send(cx, key, server),
        None => nobody(cx, key),
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

/// Chooses a server that neither failed this call nor has it now.
pub(super) fn server(cx: &Context<'_>, key: RequestKey) -> Option<Server> {
    let row = cx.tables.requests.get(key)?;
    let call = call(cx, key)?;
    let mut without = row.failed.clone();
    without.extend(call.open.iter().map(|open| open.vm.clone()));
    let backend = routing::service(cx, &call.service, &without, row.idempotent)?;
    Some((backend.vm.clone(), backend.address))
}

/// Sends one attempt.
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
    occupy(cx, &vm);
    hedge::watch(cx, key);
}

/// Takes the end of an attempt; runs once for each that was sent. One of a
/// call that has ended is dropped and counted.
pub fn done(
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
            tell_health(cx, key, attempt);
            learn(cx, key, attempt);
            answer::finish(cx, key, Outcome::Completed, Some(body), "");
        }
        Err(error) => failed(cx, key, attempt, error),
    }
}

/// Tells that the server of an attempt answered. Whether it was slow is not
/// judged, as calls of one service are unlike each other.
fn tell_health(cx: &mut Context<'_>, key: RequestKey, answered: Attempt) {
    let Some(call) = call(cx, key) else { return };
    let open = call.open.iter().find(|open| open.attempt == answered);
    if let Some(vm) = open.map(|open| open.vm.clone()) {
        health::record(cx, &vm, Signal::Answered { slowness: 0.0 });
    }
}

/// Learns how long the answered attempt took. An earlier one that still runs
/// has taken longer than it has run, which is all that a quantile asks for.
fn learn(cx: &mut Context<'_>, key: RequestKey, answered: Attempt) {
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

fn failed(cx: &mut Context<'_>, key: RequestKey, attempt: Attempt, error: AttemptError) {
    cancel(cx, key);
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
    let more = call.attempts;
    let not_run = matches!(error, AttemptError::NotSent | AttemptError::Refused(_));
    row.indeterminate |= !not_run;
    row.started = row.indeterminate || !alone;
    row.failed.push(open.vm.clone());
    let again = (row.idempotent || !row.indeterminate) && more < cx.cfg.retry.max_attempts;
    vacate(cx, &open.vm);
    if let Some(sign) = health::signal_for(&error) {
        health::record(cx, &open.vm, sign);
    }
    // A hedged call has another attempt open, which decides.
    if !alone {
        return;
    }
    if !again {
        return give_up(cx, key);
    }
    if server(cx, key).is_none() {
        return nobody(cx, key);
    }
    wait(cx, key);
}

/// Takes the moment that the call subscribed to.
pub fn due(cx: &mut Context<'_>, key: RequestKey) {
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
    let Some(server) = server(cx, key) else {
        return nobody(cx, key);
    };
    if !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
        cx.tables.counters.budget_waits += 1;
        return wait(cx, key);
    }
    cx.tables.counters.retries += 1;
    send(cx, key, server);
}

/// Goes on when no server is left that could take the call: what has not run
/// is told so at once, and what may have run waits for those that failed.
fn nobody(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    if !row.indeterminate {
        let message = "no server of the service is up";
        return answer::give_up(cx, key, NotRun::NoCapacity, message);
    }
    row.failed.clear();
    wait(cx, key);
}

/// Waits with full jitter, or gives up when the wait would be one too many or
/// leave too little time.
fn wait(cx: &mut Context<'_>, key: RequestKey) {
    let waits = call(cx, key).map_or(0, |call| call.waits);
    let pause = backoff::pause(cx, waits);
    if waits >= MAX_WAITS || !in_time(cx, key, pause) {
        return give_up(cx, key);
    }
    if let Some(call) = call_mut(cx, key) {
        call.waits += 1;
    }
    subscribe(cx, key, pause);
}

fn give_up(cx: &mut Context<'_>, key: RequestKey) {
    answer::give_up(cx, key, NotRun::NoCapacity, "the service did not answer");
}

/// Tells whether an attempt that is sent after `pause` could still be answered
/// before the deadline, going by the quickest answers of the service.
pub(super) fn in_time(cx: &Context<'_>, key: RequestKey, pause: Duration) -> bool {
    let (Some(row), Some(call)) = (cx.tables.requests.get(key), call(cx, key)) else {
        return false;
    };
    let takes = cx.tables.services.min_duration(&call.service);
    cx.now + pause + takes < row.deadline
}

/// Subscribes to the moment after `pause` in place of any earlier one.
pub(super) fn subscribe(cx: &mut Context<'_>, key: RequestKey, pause: Duration) {
    cancel(cx, key);
    let timer = cx.tables.timers.subscribe(cx.now + pause, Timer::Call(key));
    if let Some(call) = call_mut(cx, key) {
        call.timer = Some(timer);
    }
}

/// Ends the subscription of a call.
pub(super) fn cancel(cx: &mut Context<'_>, key: RequestKey) {
    if let Some(timer) = call_mut(cx, key).and_then(|call| call.timer.take()) {
        cx.tables.timers.cancel(timer);
    }
}
