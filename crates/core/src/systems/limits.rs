//! Bounds the work that runs at one time, so that queues at engines stay short.
//!
//! Each version has one limit at this node. It rises while steps hardly wait
//! and falls when they wait long against the time that engines need. Requests
//! beyond it wait here for a short time, in the order of organisations below
//! their share, priority and deadline; what can't be in time any more, or is
//! one too many, is answered at once. The design note is
//! `docs/design/admission.md`.

use std::{cmp::Reverse, time::Duration};

use super::{Context, Timer, answer, completion, routing, watch};
use crate::{
    ids::{ModelId, OrganisationId, RequestKey, VersionId},
    message::{Action, Reply},
    outcome::NotRun,
    platform::VmState,
    tables::{Limit, RequestRow, WaitKey, Work},
};

/// Part of the limit that must be in use for it to rise.
const USED: f64 = 0.8;
/// By how much the limit rises at a tick.
const RISE: f64 = 0.5;
/// Largest part of the limit by which it falls at a tick.
const FALL: f64 = 0.05;
/// Part of the work that runs to which the limit falls ahead of it.
const LEAD: f64 = 0.9;
/// Least number of requests that may wait for a version.
const LEAST_WAITING: f64 = 2.0;

/// Adjusts the limits and subscribes to the next tick.
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
    let over = limit.congestion / target - 1.0;
    if over > 0.0 {
        // Work that runs ends later, so the limit goes ahead of it a little only.
        let least = (f64::from(limit.running) * LEAD).max(1.0);
        let fallen = limit.limit * (1.0 - FALL * over.min(1.0));
        limit.limit = fallen.max(least.min(limit.limit));
    } else if f64::from(limit.running) >= USED * limit.limit {
        limit.limit += RISE * (-over).min(1.0);
    }
}

/// Takes in a step that was answered: the times in microseconds that it waited
/// and that the engine needs.
pub fn observe(cx: &mut Context<'_>, key: RequestKey, wait: f64, service: f64) {
    let Some(Work::Completion(work)) = cx.tables.requests.get(key).map(|row| &row.work) else {
        return;
    };
    if let Some(limit) = cx.tables.limits.get_mut(&work.model, &work.version) {
        limit.observe(wait, service);
    }
}

/// Runs a completion that was taken on, lets it wait, or answers it at once.
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
    let longest = cx.cfg.admission.max_wait.as_secs_f64();
    let limit = cx.tables.limits.entry(&model, &version, initial);
    let most = (limit.ended_per_s * longest).max(LEAST_WAITING);
    if f64::from(limit.waiting) > most
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

/// Returns the moment from which waiting on is of no use: the answer would be
/// late, or the longest wait is over.
fn latest_start(cx: &Context<'_>, row: &RequestRow) -> crate::time::Timestamp {
    let longest = cx.now + cx.cfg.admission.max_wait;
    let Work::Completion(work) = &row.work else {
        return longest;
    };
    let chain = routing::chain(cx, row, work);
    let takes = chain.map_or(Duration::ZERO, |chain| chain.takes(work.max_tokens));
    longest.min(row.deadline - takes).max(cx.now)
}

fn is_waiting(cx: &Context<'_>, key: RequestKey) -> bool {
    let row = cx.tables.requests.get(key);
    row.is_some_and(|row| row.waiting)
}

/// Answers a request that waited as long as it could.
pub fn queue_timeout(cx: &mut Context<'_>, key: RequestKey) {
    if is_waiting(cx, key) {
        shed(cx, key);
    }
}

fn shed(cx: &mut Context<'_>, key: RequestKey) {
    cx.tables.limits.tick_counts.0 += 1;
    let message = "there is no room that would leave time for the answer";
    answer::give_up(cx, key, NotRun::NoCapacity, message);
}

/// Runs what waits and has room; runs after each event.
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
        let takes = expected_duration(cx, wait.key);
        if takes.is_none() && watch::hold_back(cx, wait.key) {
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
        begin(cx, wait.key, takes);
    }
}

fn begin(cx: &mut Context<'_>, key: RequestKey, takes: Option<Duration>) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    // Without a chain the request ends as such when it begins.
    if takes.is_some_and(|takes| cx.now + takes > row.deadline) {
        return shed(cx, key);
    }
    cx.tables.limits.tick_counts.1 += 1;
    let id = row.id.clone();
    let reply = Reply::Admitted { id };
    cx.out.push(Action::Reply { key, reply });
    completion::start(cx, key);
}

/// Returns the likely time to the end of a request, if there is a chain for it.
fn expected_duration(cx: &Context<'_>, key: RequestKey) -> Option<Duration> {
    let row = cx.tables.requests.get(key)?;
    match &row.work {
        Work::Completion(work) => {
            let chain = routing::chain(cx, row, work);
            chain.map(|chain| chain.takes(work.max_tokens))
        }
        Work::Call(_) => Some(Duration::ZERO),
    }
}

/// Counts a completion that begins without having waited, because it may run
/// once only and is bound by its witnesses.
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

/// Gives the place of a completion that is held to others.
pub(super) fn pause(cx: &mut Context<'_>, key: RequestKey) {
    if let Some((limit, organisation)) = limit_of(cx, key) {
        limit.pause(&organisation);
    }
}

/// Counts a completion that goes on after it was held. It takes its place at
/// once, so that for a moment more may run than the limit says.
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

/// Counts a completion that ended, whether it ran or waited.
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

/// Counts the nodes among which limits of organisations are split; runs when
/// the VM list has changed.
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
