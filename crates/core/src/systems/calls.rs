//! Runs calls to plain services.
//!
//! A call that is not idempotent is sent once; whatever leaves its fate open
//! ends as unknown.

use super::{Context, answer, routing};
use crate::{
    ids::{Attempt, RequestKey},
    message::{Action, AttemptError},
    outcome::{NotRun, Outcome},
    tables::Work,
};

/// Sends a call; runs at admission and for each further attempt.
pub fn start(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Work::Call(call) = &row.work else { return };
    let Some(backend) = routing::service(cx, &call.service, &row.failed) else {
        return answer::give_up(
            cx,
            key,
            NotRun::NoCapacity,
            "no server of the service is up",
        );
    };
    let (vm, address) = (backend.vm.clone(), backend.address);
    cx.out.push(Action::Call {
        key,
        attempt: row.attempt,
        address,
        vm: vm.clone(),
        id: row.id.clone(),
        operation: call.operation.clone(),
        body: call.body.clone(),
        within: row.deadline.since(cx.now),
    });
    if let Some(backend) = cx.tables.backends.get_mut(&vm) {
        backend.begin(cx.now);
    }
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.started = true;
    if let Work::Call(call) = &mut row.work {
        call.vm = Some(vm);
    }
}

/// Takes the end of a call; runs once for each call that was sent.
pub fn done(
    cx: &mut Context<'_>,
    key: RequestKey,
    attempt: Attempt,
    result: Result<serde_json::Value, AttemptError>,
) {
    let current = cx
        .tables
        .requests
        .get(key)
        .is_some_and(|row| row.attempt == attempt);
    if !current {
        cx.tables.counters.stale_replies += 1;
        return;
    }
    match result {
        Ok(body) => answer::finish(cx, key, Outcome::Completed, Some(body), ""),
        Err(error) => failed(cx, key, error),
    }
}

fn failed(cx: &mut Context<'_>, key: RequestKey, error: AttemptError) {
    super::completion::release(cx, key);
    let now = cx.now;
    let avoid = cx.cfg.retry.avoid;
    let max_attempts = cx.cfg.retry.max_attempts;
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let not_run = matches!(error, AttemptError::NotSent | AttemptError::Refused(_));
    row.doubt |= !not_run;
    row.started = row.doubt;
    let failed_vm = match &mut row.work {
        Work::Call(call) => call.vm.take(),
        Work::Completion(_) => None,
    };
    row.failed.extend(failed_vm.clone());
    row.attempt.0 += 1;
    let again = (not_run || row.idempotent) && row.attempt.0 < max_attempts;
    if let Some(backend) = failed_vm.and_then(|vm| cx.tables.backends.get_mut(&vm)) {
        backend.avoid_until = now + avoid;
    }
    if again {
        cx.tables.counters.retries += 1;
        return start(cx, key);
    }
    answer::give_up(cx, key, NotRun::NoCapacity, "the service did not answer");
}
