//! Runs completions: steps over the stages of a chain, token by token.
//!
//! The node carries activations from stage to stage. Each attempt has sessions
//! of its own, so the output of an abandoned attempt can't join the answer.

use super::{Context, Timer, answer, routing};
use crate::{
    engine::{END_TOKEN, SessionRef, StageInput, StageOutput, StepReply},
    ids::{Attempt, Position, RequestKey, VmId},
    message::{Action, AttemptError, Reply, StepOrder},
    outcome::{NotRun, Outcome},
    tables::{RequestRow, Stage, Work},
};

/// Chooses a chain and sends the first step; runs at admission and for each
/// further attempt, which recomputes all positions.
pub fn start(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Work::Completion(work) = &row.work else {
        return;
    };
    let Some(chain) = routing::chain(cx, &work.model, &work.version, &row.failed) else {
        return answer::give_up(cx, key, NotRun::NoCapacity, "no chain covers all layers");
    };
    for stage in &chain {
        if let Some(backend) = cx.tables.backends.get_mut(&stage.vm) {
            backend.in_flight += 1;
        }
    }
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.started = true;
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    work.chain = chain;
    work.first = Position(0);
    let input = StageInput::Tokens(work.tokens.clone());
    send(cx, key, 0, input);
}

fn send(cx: &mut Context<'_>, key: RequestKey, stage: usize, input: StageInput) {
    let now = cx.now;
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let within = row.deadline.since(now);
    let session = SessionRef {
        request: row.id.clone(),
        attempt: row.attempt,
    };
    let (attempt, priority) = (row.attempt, row.priority);
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    work.stage = stage;
    let Stage {
        address, layers, ..
    } = work.chain[stage].clone();
    let first = work.first;
    let timer = Timer::Step {
        key,
        attempt,
        stage,
        first,
    };
    let bound = now + cx.cfg.retry.step_timeout;
    work.step_timer = Some(cx.tables.timers.subscribe(bound, timer));
    let order = StepOrder {
        session,
        model: work.model.clone(),
        version: work.version.clone(),
        layers,
        first,
        input,
        priority,
        within,
    };
    cx.tables.counters.steps += 1;
    cx.out.push(Action::Step {
        key,
        attempt,
        stage,
        address,
        order: Box::new(order),
    });
}

/// Takes the end of a step; runs once for each step that was sent.
pub fn step_done(
    cx: &mut Context<'_>,
    key: RequestKey,
    attempt: Attempt,
    stage: usize,
    result: Result<StepReply, AttemptError>,
) {
    if !is_open(cx, key, attempt, stage) {
        cx.tables.counters.stale_replies += 1;
        return;
    }
    match result {
        Ok(reply) if answers(cx, key, &reply) => advance(cx, key, stage, reply.output),
        Ok(_) => {
            cx.tables.counters.crossed_replies += 1;
            replace(cx, key, stage, false);
        }
        Err(error) => replace(cx, key, stage, proves_not_run(error)),
    }
}

/// Takes the bound on a step that was not answered.
pub fn step_timeout(
    cx: &mut Context<'_>,
    key: RequestKey,
    attempt: Attempt,
    stage: usize,
    first: Position,
) {
    let same = |row: &RequestRow| match &row.work {
        Work::Completion(work) => work.first == first,
        Work::Call(_) => false,
    };
    if is_open(cx, key, attempt, stage) && cx.tables.requests.get(key).is_some_and(same) {
        cx.tables.counters.step_timeouts += 1;
        replace(cx, key, stage, false);
    }
}

fn is_open(cx: &Context<'_>, key: RequestKey, attempt: Attempt, stage: usize) -> bool {
    let Some(row) = cx.tables.requests.get(key) else {
        return false;
    };
    let Work::Completion(work) = &row.work else {
        return false;
    };
    row.attempt == attempt && work.stage == stage && !work.chain.is_empty()
}

/// Tells whether a reply answers the open step of the request.
fn answers(cx: &Context<'_>, key: RequestKey, reply: &StepReply) -> bool {
    let Some(row) = cx.tables.requests.get(key) else {
        return false;
    };
    let Work::Completion(work) = &row.work else {
        return false;
    };
    let last = work.stage + 1 == work.chain.len();
    let positions = work.tokens.len() - work.first.0 as usize;
    let shape = match &reply.output {
        StageOutput::Token(_) => last,
        StageOutput::Activations(values) => !last && values.len() == positions,
    };
    let session = &reply.session;
    shape
        && session.request == row.id
        && session.attempt == row.attempt
        && reply.first == work.first
}

fn advance(cx: &mut Context<'_>, key: RequestKey, stage: usize, output: StageOutput) {
    stop_timer(cx, key);
    match output {
        StageOutput::Activations(values) => {
            send(cx, key, stage + 1, StageInput::Activations(values));
        }
        StageOutput::Token(token) => take_token(cx, key, token),
    }
}

fn take_token(cx: &mut Context<'_>, key: RequestKey, token: u32) {
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    if token == END_TOKEN {
        return answer::finish(cx, key, Outcome::Completed, None, "");
    }
    let index = work.generated();
    work.first = Position(work.tokens.len() as u32);
    work.tokens.push(token);
    let whole = work.generated() >= work.max_tokens;
    let text = answer::text(&[token]);
    cx.tables.counters.tokens += 1;
    cx.out.push(Action::Reply {
        key,
        reply: Reply::Delta { index, text },
    });
    if whole {
        return answer::finish(cx, key, Outcome::Completed, None, "");
    }
    send(cx, key, 0, StageInput::Tokens(vec![token]));
}

fn proves_not_run(error: AttemptError) -> bool {
    matches!(error, AttemptError::NotSent | AttemptError::Refused(_))
}

/// Abandons the attempt whose stage failed and begins another one.
fn replace(cx: &mut Context<'_>, key: RequestKey, stage: usize, step_not_run: bool) {
    release(cx, key);
    let (now, avoid) = (cx.now, cx.cfg.retry.avoid);
    let max_attempts = cx.cfg.retry.max_attempts;
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    let failed: VmId = work.chain[stage].vm.clone();
    let attempt_not_run = step_not_run && stage == 0 && work.first == Position(0);
    work.chain.clear();
    work.stage = 0;
    row.doubt |= !attempt_not_run;
    row.started = row.doubt;
    row.failed.push(failed.clone());
    row.attempt.0 += 1;
    let again = row.attempt.0 < max_attempts;
    if let Some(backend) = cx.tables.backends.get_mut(&failed) {
        backend.avoid_until = now + avoid;
    }
    if !again {
        return answer::give_up(
            cx,
            key,
            NotRun::NoCapacity,
            "too many backend servers failed",
        );
    }
    cx.tables.counters.retries += 1;
    start(cx, key);
}

fn stop_timer(cx: &mut Context<'_>, key: RequestKey) {
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    if let Some(timer) = work.step_timer.take() {
        cx.tables.timers.cancel(timer);
    }
}

/// Ends the sessions of a request's current attempt and gives back its
/// places at the backend servers.
pub fn release(cx: &mut Context<'_>, key: RequestKey) {
    stop_timer(cx, key);
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let session = SessionRef {
        request: row.id.clone(),
        attempt: row.attempt,
    };
    let held: Vec<VmId> = match &row.work {
        Work::Completion(work) => {
            let end = |s: &Stage| Action::EndSession {
                address: s.address,
                session: session.clone(),
            };
            cx.out.extend(work.chain.iter().map(end));
            work.chain.iter().map(|s| s.vm.clone()).collect()
        }
        Work::Call(call) => call.vm.iter().cloned().collect(),
    };
    for vm in held {
        if let Some(backend) = cx.tables.backends.get_mut(&vm) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }
}
