//! Runs completions: sends steps to the sessions of a chain, token by token.
//!
//! A chain is a list of stages, and each stage runs a range of the model's layers
//! on one engine, in a session. The node forwards the activations from stage to
//! stage. A step contains all positions that its session has not run yet, so the
//! first step of a replacement session brings it up to date; see
//! `docs/design/recovery.md`. A request has one open exchange at a time; the
//! number of the exchange distinguishes replies to it from late ones.

use std::time::Duration;

use super::{
    Context, Timer, answer, calls, export, flow, health, limits,
    recovery::{self, Failure},
    routing,
};
use crate::{
    engine::{END_TOKEN, SessionRef, StageOutput, StepReply},
    ids::{Position, RequestKey, StepId, VmId},
    message::{Action, AttemptError, Reply, StepSpec},
    outcome::{NotRun, Outcome},
    tables::{CompletionState, Exchange, RequestRow, StageSession, Work},
    time::Timestamp,
};

/// Chooses a chain and sends the first step. Runs once, at admission.
pub fn start(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Work::Completion(work) = &row.work else {
        return;
    };
    let Some(chain) = routing::chain(cx, row, work) else {
        return answer::abort(cx, key, NotRun::NoCapacity, "no chain covers all layers");
    };
    let chain = chain.stages;
    for stage in &chain {
        add_in_flight(cx, &stage.vm);
    }
    if let Some(work) = completion_mut(cx, key) {
        for stage in chain {
            let attempt = work.next_attempt();
            work.chain.push(StageSession::new(stage, attempt));
        }
        work.open.stage = 0;
    }
    send_next(cx, key);
}

/// Returns the state of an open completion.
pub(super) fn completion<'a>(cx: &'a Context<'_>, key: RequestKey) -> Option<&'a CompletionState> {
    match &cx.tables.requests.get(key)?.work {
        Work::Completion(work) => Some(work),
        Work::Call(_) => None,
    }
}

/// Returns the state of an open completion mutably.
pub(super) fn completion_mut<'a>(
    cx: &'a mut Context<'_>,
    key: RequestKey,
) -> Option<&'a mut CompletionState> {
    match &mut cx.tables.requests.get_mut(key)?.work {
        Work::Completion(work) => Some(work),
        Work::Call(_) => None,
    }
}

/// Adds a session or call to the work in flight at a backend server.
pub(super) fn add_in_flight(cx: &mut Context<'_>, vm: &VmId) {
    health::work_started(cx, vm);
}

/// Removes a session or call from the work in flight at a backend server.
pub(super) fn remove_in_flight(cx: &mut Context<'_>, vm: &VmId) {
    if let Some(backend) = cx.tables.backends.get_mut(vm) {
        backend.work_ended();
    }
}

/// Sends the next exchange of the open stage: an import, or a step with all
/// positions that its session has not run.
pub(super) fn send_next(cx: &mut Context<'_>, key: RequestKey) {
    let importing = completion(cx, key)
        .and_then(CompletionState::open_session)
        .map(|session| session.import.is_some());
    match importing {
        Some(true) => send_import(cx, key),
        Some(false) => send_step(cx, key),
        None => {}
    }
}

fn send_step(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let (Some(input), Some(session)) = (work.open_input(), work.open_session()) else {
        return recovery::handle_failure(cx, key, Failure::InputsDropped);
    };
    let (stage, first) = (session.stage.clone(), session.next);
    let positions = input.len() as u32;
    let timeout = step_timeout(cx, &stage.vm, positions);
    let step = open_exchange(cx, key, Exchange::Step, positions, timeout);
    let now = cx.now;
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.started = true;
    let Work::Completion(work) = &row.work else {
        return;
    };
    let Some(session) = work.open_session() else {
        return;
    };
    let spec = StepSpec {
        session: session_ref(row, session),
        model: work.model.clone(),
        version: work.version.clone(),
        layers: stage.layers,
        first,
        input,
        priority: row.priority,
        timeout: row.deadline.since(now),
    };
    cx.tables.counters.steps += 1;
    cx.out.push(Action::Step {
        key,
        step,
        address: stage.address,
        spec: Box::new(spec),
    });
}

fn send_import(cx: &mut Context<'_>, key: RequestKey) {
    let timeout = cx.cfg.retry.step_timeout;
    let step = open_exchange(cx, key, Exchange::Import, 0, timeout);
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Work::Completion(work) = &row.work else {
        return;
    };
    let Some(session) = work.open_session() else {
        return;
    };
    let Some(cache) = session.import.clone() else {
        return;
    };
    cx.out.push(Action::Import {
        key,
        step,
        address: session.stage.address,
        session: session_ref(row, session),
        cache: Box::new(cache),
        timeout: row.deadline.since(cx.now),
    });
}

/// Returns the reference that identifies a session of a request at its engine.
pub(super) fn session_ref(row: &RequestRow, session: &StageSession) -> SessionRef {
    SessionRef {
        request: row.id.clone(),
        attempt: session.attempt,
    }
}

/// Returns the timeout of a step: a multiple of the time that steps of this size
/// take at this engine, within the limits of the configuration.
fn step_timeout(cx: &Context<'_>, vm: &VmId, positions: u32) -> Duration {
    let cfg = &cx.cfg.retry;
    let latency = cx.tables.backends.get(vm).map(|row| &row.latency);
    let observed = latency.filter(|latency| latency.has_samples());
    let expected_us = observed.map_or(0.0, |latency| latency.step_us(cx.now, positions));
    let expected = Duration::from_secs_f64(expected_us / 1e6) * cfg.step_factor;
    let has_position_time = observed.is_some_and(|latency| latency.position_us > 0.0);
    let extra = match has_position_time {
        true => Duration::ZERO,
        false => cfg.position_timeout * positions,
    };
    (expected.max(cfg.step_timeout) + extra).min(cfg.max_step_timeout)
}

/// Opens an exchange or a wait that times out after `timeout`.
pub(super) fn open_exchange(
    cx: &mut Context<'_>,
    key: RequestKey,
    exchange: Exchange,
    positions: u32,
    timeout: Duration,
) -> StepId {
    close_exchange(cx, key);
    let now = cx.now;
    let Some(work) = completion_mut(cx, key) else {
        return StepId::default();
    };
    work.open.id.0 += 1;
    work.open.exchange = exchange;
    work.open.sent = now;
    work.open.positions = positions;
    let step = work.open.id;
    let timer_event = Timer::Exchange { key, step };
    let timer = cx.tables.timers.subscribe(now + timeout, timer_event);
    if let Some(work) = completion_mut(cx, key) {
        work.open.timer = Some(timer);
    }
    step
}

fn close_exchange(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    work.open.exchange = Exchange::Nothing;
    if let Some(timer) = work.open.timer.take() {
        cx.tables.timers.cancel(timer);
    }
}

fn is_open(cx: &Context<'_>, key: RequestKey, step: StepId, exchange: Exchange) -> bool {
    completion(cx, key).is_some_and(|w| w.open.id == step && w.open.exchange == exchange)
}

/// Handles the result of a step. Late and duplicate results are dropped.
pub fn step_done(
    cx: &mut Context<'_>,
    key: RequestKey,
    step: StepId,
    result: Result<StepReply, AttemptError>,
) {
    if !is_open(cx, key, step, Exchange::Step) {
        cx.tables.counters.stale_replies += 1;
        return;
    }
    match result {
        Ok(reply) if is_valid_reply(cx, key, &reply) => advance(cx, key, reply.output),
        Ok(_) => {
            cx.tables.counters.crossed_replies += 1;
            recovery::handle_failure(cx, key, Failure::Crossed);
        }
        Err(error) => recovery::handle_failure(cx, key, Failure::Error(error)),
    }
}

/// Handles the result of an import. Late and duplicate results are dropped.
pub fn import_done(
    cx: &mut Context<'_>,
    key: RequestKey,
    step: StepId,
    result: Result<(), AttemptError>,
) {
    if !is_open(cx, key, step, Exchange::Import) {
        cx.tables.counters.stale_replies += 1;
        return;
    }
    if let Err(error) = result {
        return recovery::handle_failure(cx, key, Failure::Error(error));
    }
    close_exchange(cx, key);
    if let Some(session) = completion_mut(cx, key).and_then(CompletionState::open_session_mut)
        && let Some(cache) = session.import.take()
    {
        session.next = cache.next;
        session.export = Some(cache);
    }
    send_next(cx, key);
}

/// Handles the timeout of an exchange or the end of a wait.
pub fn exchange_due(cx: &mut Context<'_>, key: RequestKey, step: StepId) {
    let Some(work) = completion(cx, key).filter(|w| w.open.id == step) else {
        return;
    };
    match work.open.exchange {
        Exchange::Nothing => {}
        Exchange::Step | Exchange::Import => match queueing_limit(cx, key) {
            Some(until) => extend_timeout(cx, key, step, until),
            None => {
                cx.tables.counters.step_timeouts += 1;
                recovery::handle_failure(cx, key, Failure::Timeout);
            }
        },
        Exchange::RepeatLater => send_next(cx, key),
        Exchange::ReplaceLater => recovery::replace(cx, key, false),
    }
}

/// Returns until when an exchange may be queued behind others: while its engine
/// keeps answering exchanges, but none that was sent much later than this one.
/// Otherwise a busy engine would cause the same work to run again elsewhere.
fn queueing_limit(cx: &Context<'_>, key: RequestKey) -> Option<Timestamp> {
    let work = completion(cx, key)?;
    let session = work.open_session()?;
    let vm = &session.stage.vm;
    let backend = cx.tables.backends.get(vm)?;
    let answered = backend.answered;
    let timeout = step_timeout(cx, vm, work.open.positions);
    let newest = match session.next {
        Position(0) => answered.begin_sent,
        _ => answered.sent,
    };
    let overtaken = newest >= work.open.sent + timeout;
    let until = backend.latency.observed_at + timeout;
    (!overtaken && until > cx.now).then_some(until)
}

fn extend_timeout(cx: &mut Context<'_>, key: RequestKey, step: StepId, until: Timestamp) {
    cx.tables.counters.longer_waits += 1;
    let timer_event = Timer::Exchange { key, step };
    let timer = cx.tables.timers.subscribe(until, timer_event);
    if let Some(work) = completion_mut(cx, key) {
        work.open.timer = Some(timer);
    }
}

/// Returns whether a reply belongs to the open step of the request and has the
/// form that its stage returns.
fn is_valid_reply(cx: &Context<'_>, key: RequestKey, reply: &StepReply) -> bool {
    let Some(row) = cx.tables.requests.get(key) else {
        return false;
    };
    let Work::Completion(work) = &row.work else {
        return false;
    };
    let Some(session) = work.open_session() else {
        return false;
    };
    let last = work.open.stage + 1 == work.chain.len();
    let has_right_form = match &reply.output {
        StageOutput::Token(_) => last,
        StageOutput::Activations(values) => !last && values.len() == work.open.positions as usize,
    };
    has_right_form && reply.session == session_ref(row, session) && reply.first == session.next
}

/// Applies the output of the open step: forwards activations to the next stage or
/// appends a token to the answer.
fn advance(cx: &mut Context<'_>, key: RequestKey, output: StageOutput) {
    close_exchange(cx, key);
    let (now, max_kept) = (cx.now, cx.cfg.recovery.max_kept_positions);
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.indeterminate = true;
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    let end = work.end();
    let (sent, positions, stage) = (work.open.sent, work.open.positions, work.open.stage);
    (work.open.repeats, work.open.waits) = (0, 0);
    let Some(session) = work.open_session_mut() else {
        return;
    };
    let first = session.next;
    session.next = end;
    export::trim(session, max_kept);
    let vm = session.stage.vm.clone();
    let took = now.since(sent);
    if let Some(backend) = cx.tables.backends.get_mut(&vm) {
        backend.record_answer(sent, first == Position(0));
    }
    if let Some((wait, service)) = routing::observe(cx, &vm, positions, took) {
        limits::observe(cx, key, wait, service);
        health::record_answer(cx, &vm, wait, took);
    }
    match output {
        StageOutput::Activations(values) => {
            if let Some(work) = completion_mut(cx, key) {
                work.open.stage = stage + 1;
                work.chain[stage + 1].inputs.extend(first, &values);
            }
            send_next(cx, key);
        }
        StageOutput::Token(token) => append_token(cx, key, token),
    }
}

fn append_token(cx: &mut Context<'_>, key: RequestKey, token: u32) {
    if token == END_TOKEN {
        return answer::finish(cx, key, Outcome::Completed, None, "");
    }
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    let index = work.generated();
    work.tokens.push(token);
    work.open.stage = 0;
    let complete = work.generated() >= work.max_tokens;
    let text = answer::text(&[token]);
    cx.tables.counters.tokens += 1;
    cx.out.push(Action::Reply {
        key,
        reply: Reply::Delta { index, text },
    });
    if complete {
        return answer::finish(cx, key, Outcome::Completed, None, "");
    }
    export::run(cx, key);
    if !flow::pause_if_unread(cx, key) {
        send_next(cx, key);
    }
}

/// Ends the sessions of a request and removes it from the work in flight at its
/// backend servers.
pub fn release(cx: &mut Context<'_>, key: RequestKey) {
    close_exchange(cx, key);
    calls::cancel_timer(cx, key);
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let occupied: Vec<VmId> = match &row.work {
        Work::Completion(work) => {
            let end_session = |session: &StageSession| Action::EndSession {
                address: session.stage.address,
                session: session_ref(row, session),
            };
            cx.out.extend(work.chain.iter().map(end_session));
            work.chain.iter().map(|s| s.stage.vm.clone()).collect()
        }
        Work::Call(call) => call.open.iter().map(|open| open.vm.clone()).collect(),
    };
    for vm in occupied {
        remove_in_flight(cx, &vm);
    }
}

/// Returns the first position that a session will run: the position after its
/// import, if one is pending.
pub(super) fn start_position(session: &StageSession) -> Position {
    session.import.as_ref().map_or(session.next, |c| c.next)
}
