//! Concurrency limits that keep the queues at engines short.
//!
//! Each model version has one limit at this node. The limit rises while steps
//! hardly wait at the engines, and falls when they wait long compared to their
//! service time. Requests beyond the limit are queued here for a short time;
//! organisations below their share go first, then the order is by priority and
//! deadline. A request that can no longer finish in time is rejected at once; if
//! the queue is too long, so is the last request in that order. The design is
//! described in `docs/design/admission.md`.

#[cfg(test)]
mod tests;

use std::{cmp::Reverse, time::Duration};

use super::{Context, Timer, answer, completion, routing, watch};
use crate::{
    ids::{ModelId, OrganisationId, RequestKey, VersionId},
    message::{Action, Reply},
    outcome::NotRun,
    platform::VmState,
    tables::{Limit, RequestRow, WaitKey, Work},
};

/// Fraction of the limit that must be in use for the limit to rise.
const MIN_USE: f64 = 0.8;
/// Maximum increase of the limit per tick, in requests.
const MAX_RISE: f64 = 0.5;
/// Maximum decrease of the limit per tick, as a fraction of the limit.
const MAX_FALL: f64 = 0.05;
/// Fraction of the running requests below which the limit doesn't fall.
const RUNNING_FLOOR: f64 = 0.9;
/// Minimum limit of a version, in requests. Engines process so few requests in
/// one batch. Waits that are long at a lower limit are not caused by it, but for
/// example by a busy VM of the node, and would only refuse callers.
const MIN_LIMIT: f64 = 4.0;
/// Minimum queue length of a version, in requests.
const MIN_QUEUE_LEN: f64 = 2.0;

/// Adjusts the limits and schedules the next tick.
pub fn tick(cx: &mut Context<'_>) {
    let cfg = &cx.cfg.admission;
    let next = cx.now + cfg.control_interval;
    cx.tables.timers.subscribe(next, Timer::Limits);
    let seconds = cfg.control_interval.as_secs_f64();
    let target = f64::from(cfg.target_wait_percent) / 100.0;
    cx.tables.limits.tick(seconds);
    for limit in cx.tables.limits.iter_mut() {
        if limit.tick(seconds) {
            adjust(limit, target);
        }
    }
    run_waiting(cx);
}

fn adjust(limit: &mut Limit, target: f64) {
    let excess = limit.congestion / target - 1.0;
    if excess > 0.0 {
        // Running requests end later, so the limit falls only slightly below
        // their number.
        let floor = (f64::from(limit.running) * RUNNING_FLOOR).max(MIN_LIMIT);
        let lowered = limit.limit * (1.0 - MAX_FALL * excess.min(1.0));
        limit.limit = lowered.max(floor.min(limit.limit));
    } else if f64::from(limit.running) >= MIN_USE * limit.limit {
        limit.limit += MAX_RISE * (-excess).min(1.0);
    }
}

/// Records an answered step: the time it waited and the time the engine needed,
/// in microseconds.
pub fn observe(cx: &mut Context<'_>, key: RequestKey, wait: f64, service: f64) {
    let Some(Work::Completion(work)) = cx.tables.requests.get(key).map(|row| &row.work) else {
        return;
    };
    if let Some(limit) = cx.tables.limits.get_mut(&work.model, &work.version) {
        limit.observe(wait, service);
    }
}

/// Runs an admitted completion, queues it or rejects it.
pub fn admit(cx: &mut Context<'_>, key: RequestKey, share: u32) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Work::Completion(work) = &row.work else {
        return;
    };
    let initial = f64::from(cx.cfg.admission.initial_limit);
    let (model, version) = (work.model.clone(), work.version.clone());
    let wait = wait_key(key, row);
    let until = latest_start(cx, row);
    let limit = cx.tables.limits.entry(&model, &version, initial);
    limit.wait(&row.organisation, share, wait);
    run_next(cx, &model, &version);
    if !is_waiting(cx, key) {
        return;
    }
    cx.tables.timers.subscribe(until, Timer::QueueTimeout(key));
    let max_wait = cx.cfg.admission.max_queue_wait.as_secs_f64();
    let limit = cx.tables.limits.entry(&model, &version, initial);
    let max_queued = (limit.ended_per_s * max_wait).max(MIN_QUEUE_LEN);
    if f64::from(limit.waiting) > max_queued
        && let Some((_, last)) = limit.next_to_shed()
    {
        shed(cx, last.key);
    }
}

fn wait_key(key: RequestKey, row: &RequestRow) -> WaitKey {
    WaitKey {
        priority: Reverse(row.priority),
        deadline: row.deadline,
        key,
    }
}

/// Returns the time until which a request may be queued: until its answer would
/// be late, or for the maximum queueing time.
fn latest_start(cx: &Context<'_>, row: &RequestRow) -> crate::time::Timestamp {
    let latest = cx.now + cx.cfg.admission.max_queue_wait;
    let Work::Completion(work) = &row.work else {
        return latest;
    };
    let chain = routing::chain(cx, row, work);
    let duration = chain.map_or(Duration::ZERO, |chain| chain.total_time(work.max_tokens));
    latest.min(row.deadline - duration).max(cx.now)
}

fn is_waiting(cx: &Context<'_>, key: RequestKey) -> bool {
    let row = cx.tables.requests.get(key);
    row.is_some_and(|row| row.waiting)
}

/// Rejects a request that has been queued for the maximum time.
pub fn queue_timeout(cx: &mut Context<'_>, key: RequestKey) {
    if is_waiting(cx, key) {
        shed(cx, key);
    }
}

fn shed(cx: &mut Context<'_>, key: RequestKey) {
    cx.tables.limits.tick_counts.0 += 1;
    let message = "there is no room that would leave time for the answer";
    answer::abort(cx, key, NotRun::NoCapacity, message);
}

/// Starts queued requests as far as the limits allow; runs after each event.
pub fn run_waiting(cx: &mut Context<'_>) {
    for (model, version) in cx.tables.limits.waiting() {
        run_next(cx, &model, &version);
    }
}

fn run_next(cx: &mut Context<'_>, model: &ModelId, version: &VersionId) {
    while !watch::is_held_back(cx, model, version)
        && let Some(limit) = cx.tables.limits.get_mut(model, version)
        && limit.has_capacity()
        && let Some((organisation, wait)) = limit.next()
    {
        let duration = expected_duration(cx, wait.key);
        if duration.is_none() && watch::hold_back(cx, wait.key) {
            return;
        }
        let Some(limit) = cx.tables.limits.get_mut(model, version) else {
            return;
        };
        limit.stop_waiting(&organisation, &wait);
        limit.begin(&organisation);
        let Some(row) = cx.tables.requests.get_mut(wait.key) else {
            continue;
        };
        row.waiting = false;
        start_completion(cx, wait.key, duration);
    }
}

fn start_completion(cx: &mut Context<'_>, key: RequestKey, duration: Option<Duration>) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    // Without a chain, the start of the completion ends the request.
    if duration.is_some_and(|duration| cx.now + duration > row.deadline) {
        return shed(cx, key);
    }
    cx.tables.limits.tick_counts.1 += 1;
    let id = row.id.clone();
    let reply = Reply::Admitted { id };
    cx.out.push(Action::Reply { key, reply });
    completion::start(cx, key);
}

/// Returns the expected time to the end of a request, or `None` if there is no
/// chain for it.
fn expected_duration(cx: &Context<'_>, key: RequestKey) -> Option<Duration> {
    let row = cx.tables.requests.get(key)?;
    match &row.work {
        Work::Completion(work) => {
            let chain = routing::chain(cx, row, work);
            chain.map(|chain| chain.total_time(work.max_tokens))
        }
        Work::Call(_) => Some(Duration::ZERO),
    }
}

/// Records the start of a completion that bypasses the queue because it may run
/// only once and is bound to its witnesses.
pub fn begin_unqueued(cx: &mut Context<'_>, key: RequestKey) {
    let initial = f64::from(cx.cfg.admission.initial_limit);
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    if let Work::Completion(work) = &row.work {
        let limit = cx.tables.limits.entry(&work.model, &work.version, initial);
        limit.begin(&row.organisation);
    }
}

/// Releases the slot of a paused completion to other requests.
pub(super) fn pause(cx: &mut Context<'_>, key: RequestKey) {
    if let Some((limit, organisation)) = limit_of(cx, key) {
        limit.pause(&organisation);
    }
}

/// Records that a paused completion resumes. It takes a slot at once, even if
/// the running requests then exceed the limit for a moment.
pub(super) fn resume(cx: &mut Context<'_>, key: RequestKey) {
    if let Some((limit, organisation)) = limit_of(cx, key) {
        limit.begin(&organisation);
    }
}

fn limit_of<'a>(
    cx: &'a mut Context<'_>,
    key: RequestKey,
) -> Option<(&'a mut Limit, OrganisationId)> {
    let row = cx.tables.requests.get(key)?;
    let Work::Completion(work) = &row.work else {
        return None;
    };
    let limit = cx.tables.limits.get_mut(&work.model, &work.version)?;
    Some((limit, row.organisation.clone()))
}

/// Records that a completion ended, whether it was running or queued.
pub fn request_ended(cx: &mut Context<'_>, key: RequestKey, row: &RequestRow) {
    let Work::Completion(work) = &row.work else {
        return;
    };
    let Some(limit) = cx.tables.limits.get_mut(&work.model, &work.version) else {
        return;
    };
    if row.waiting {
        limit.stop_waiting(&row.organisation, &wait_key(key, row));
        return;
    }
    if work.paused {
        limit.begin(&row.organisation);
    }
    limit.end(&row.organisation);
}

/// Counts the nodes among which organisation limits are divided; runs when the
/// VM list changes.
pub fn nodes_changed(cx: &mut Context<'_>) {
    let own = &cx.cfg.identity.vm;
    let live = cx.tables.vms.nodes();
    let live = live.filter(|vm| vm.state == VmState::Live || vm.vm == *own);
    let (mut nodes, mut rank) = (0, 0);
    for vm in live {
        nodes += 1;
        rank += u32::from(vm.vm < *own);
    }
    cx.tables.limits.set_nodes(nodes, rank);
}
