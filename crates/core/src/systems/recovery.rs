//! Replaces a failed stage and keeps the sessions of the other stages.
//!
//! `docs/design/recovery.md` lists what each failure implies and how the node
//! reacts to it. The node sends the engine of a replaced session a request to
//! end it. The new session has its own attempt number, so late output of the old
//! one is dropped.

use super::{
    Context, answer,
    backoff::{self, MAX_WAITS},
    completion::{
        add_in_flight, completion, completion_mut, open_exchange, remove_in_flight, send_next,
        session_ref, start_position,
    },
    health, routing,
};
use crate::{
    engine::{EngineRefusal, KvCache},
    health::Signal,
    ids::{Attempt, LayerRange, Position, RequestKey, VmId},
    message::{Action, AttemptError},
    outcome::NotRun,
    tables::{CompletionState, Exchange, RetainedInputs, Stage, StageSession, Work},
};

/// How often an exchange is repeated at the same engine after its answer was lost.
const MAX_REPEATS: u32 = 1;
/// How often a request waits for a busy engine before its session is moved.
const MAX_BUSY_WAITS: u32 = 4;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The engine did not answer in time.
    Timeout,
    /// The answer belongs to another step.
    Crossed,
    /// The exchange ended without a usable answer, or the engine refused it.
    Error(AttemptError),
    /// The node no longer has the inputs that the session needs.
    InputsDropped,
}

/// Handles a failure of the open exchange: repeats it, waits, or replaces the stage.
pub(super) fn handle_failure(cx: &mut Context<'_>, key: RequestKey, failure: Failure) {
    let refused = matches!(
        failure,
        Failure::Error(AttemptError::NotSent | AttemptError::Refused(_)) | Failure::InputsDropped
    );
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.indeterminate |= !refused;
    row.started = row.indeterminate;
    drop_import(cx, key);
    report_health(cx, key, failure);
    match failure {
        Failure::InputsDropped => replace(cx, key, true),
        Failure::Timeout => {
            exclude_server(cx, key);
            replace(cx, key, false);
        }
        Failure::Crossed | Failure::Error(AttemptError::Lost | AttemptError::Malformed) => {
            repeat_or_replace(cx, key);
        }
        Failure::Error(AttemptError::NotSent) => {
            exclude_server(cx, key);
            replace(cx, key, true);
        }
        Failure::Error(AttemptError::Refused(refusal)) => handle_refusal(cx, key, refusal),
    }
}

fn handle_refusal(cx: &mut Context<'_>, key: RequestKey, refusal: EngineRefusal) {
    match refusal {
        EngineRefusal::Leaving | EngineRefusal::NotHeld => {
            exclude_server(cx, key);
            replace(cx, key, true);
        }
        EngineRefusal::NoSession => replace(cx, key, true),
        EngineRefusal::WrongPosition { next } => {
            if rewind(cx, key, next) {
                send_next(cx, key);
            } else {
                replace(cx, key, true);
            }
        }
        EngineRefusal::Busy | EngineRefusal::NotRun => handle_busy(cx, key),
    }
}

/// Handles the refusal of a busy engine, which is not a fault of the engine: a new
/// session is placed elsewhere, and an existing one waits before it is moved.
fn handle_busy(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let Some(session) = work.open_session() else {
        return;
    };
    let is_new = start_position(session) == Position(0);
    let waits = work.open.waits;
    if !is_new && waits < MAX_BUSY_WAITS {
        return schedule(cx, key, Exchange::RepeatLater);
    }
    exclude_server(cx, key);
    if plan(cx, key).is_none() && waits < MAX_BUSY_WAITS {
        if let Some(row) = cx.tables.requests.get_mut(key) {
            row.failed.pop();
        }
        return schedule(cx, key, Exchange::RepeatLater);
    }
    replace(cx, key, is_new);
}

/// Rewinds a session to the position that its engine reports. Returns false if the
/// inputs from that position on are not kept.
fn rewind(cx: &mut Context<'_>, key: RequestKey, next: Position) -> bool {
    let Some(work) = completion_mut(cx, key) else {
        return false;
    };
    let stage = work.open.stage;
    let behind = work.chain.get(stage).is_some_and(|s| next < s.next);
    if !behind || work.open.repeats >= MAX_REPEATS || !work.has_inputs_from(stage, next) {
        return false;
    }
    work.open.repeats += 1;
    work.chain[stage].next = next;
    true
}

/// Repeats a step once at the same engine, otherwise replaces the stage.
///
/// An engine returns its stored reply when the newest step is repeated, so a lost
/// answer doesn't cause a second run.
fn repeat_or_replace(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    if work.open.repeats < MAX_REPEATS && work.open.exchange == Exchange::Step {
        if !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
            cx.tables.counters.budget_waits += 1;
            return schedule(cx, key, Exchange::ReplaceLater);
        }
        if let Some(work) = completion_mut(cx, key) {
            work.open.repeats += 1;
        }
        cx.tables.counters.retries += 1;
        return send_next(cx, key);
    }
    exclude_server(cx, key);
    replace(cx, key, false);
}

/// Reports a failure of the open exchange to the health check of its engine.
fn report_health(cx: &mut Context<'_>, key: RequestKey, failure: Failure) {
    let signal = match failure {
        Failure::Timeout => Some(Signal::Down),
        Failure::Crossed => Some(Signal::Failed),
        Failure::Error(error) => health::signal_for(&error),
        Failure::InputsDropped => None,
    };
    let session = completion(cx, key).and_then(CompletionState::open_session);
    let vm = session.map(|session| session.stage.vm.clone());
    if let (Some(vm), Some(signal)) = (vm, signal) {
        health::record(cx, &vm, signal);
    }
}

/// Excludes the engine of the open stage from further choices for this request.
fn exclude_server(cx: &mut Context<'_>, key: RequestKey) {
    let session = completion(cx, key).and_then(CompletionState::open_session);
    let Some(vm) = session.map(|s| s.stage.vm.clone()) else {
        return;
    };
    if let Some(row) = cx.tables.requests.get_mut(key)
        && !row.failed.contains(&vm)
    {
        row.failed.push(vm);
    }
}

/// Drops a failed import; the positions are recomputed instead.
fn drop_import(cx: &mut Context<'_>, key: RequestKey) {
    if let Some(session) = completion_mut(cx, key).and_then(CompletionState::open_session_mut)
        && session.import.take().is_some()
    {
        session.export = None;
    }
}

/// Waits with backoff, then runs `then`. Ends the request if it has waited too often
/// or the wait would exceed the deadline.
fn schedule(cx: &mut Context<'_>, key: RequestKey, then: Exchange) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let waits = work.open.waits;
    let delay = backoff::delay(cx, waits);
    let deadline = cx.tables.requests.get(key).map(|row| row.deadline);
    if waits >= MAX_WAITS || deadline.is_none_or(|d| cx.now + delay >= d) {
        return answer::abort(cx, key, NotRun::NoCapacity, "no engine can go on with it");
    }
    open_exchange(cx, key, then, 0, delay);
    if let Some(work) = completion_mut(cx, key) {
        work.open.waits += 1;
    }
}

/// The sessions that replace the failed ones.
struct Replacement {
    /// The stages `from..=open` are replaced.
    from: usize,
    /// The new sessions, in the order of their layers.
    sessions: Vec<StageSession>,
}

/// Replaces the open stage. `not_run` is true if the failed exchange can't have
/// run; the replacement then uses no retry budget.
pub(super) fn replace(cx: &mut Context<'_>, key: RequestKey, not_run: bool) {
    let max_attempts = cx.cfg.retry.max_attempts;
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let (attempts, indeterminate) = (row.attempt.0 + 1, row.indeterminate);
    if attempts >= max_attempts {
        let message = "too many backend servers failed";
        return answer::abort(cx, key, NotRun::NoCapacity, message);
    }
    if !not_run && !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
        cx.tables.counters.budget_waits += 1;
        return schedule(cx, key, Exchange::ReplaceLater);
    }
    let Some(replacement) = plan(cx, key) else {
        if !indeterminate {
            let message = "no chain covers all layers";
            return answer::abort(cx, key, NotRun::NoCapacity, message);
        }
        // No other engine is left, but the excluded ones may have recovered later.
        if let Some(row) = cx.tables.requests.get_mut(key) {
            row.failed.clear();
        }
        return schedule(cx, key, Exchange::ReplaceLater);
    };
    cx.tables.counters.retries += 1;
    apply(cx, key, replacement);
    send_next(cx, key);
}

/// Chooses the engines and inputs of new sessions for the open stage, and for the
/// stages before it if they must run again.
fn plan(cx: &Context<'_>, key: RequestKey) -> Option<Replacement> {
    let row = cx.tables.requests.get(key)?;
    let Work::Completion(work) = &row.work else {
        return None;
    };
    let open = work.open.stage;
    let failed = work.open_session()?;
    let usable =
        |cache: &&KvCache| work.has_inputs_from(open, cache.next) && cache.next < work.end();
    let export = failed.export.as_ref().filter(usable);
    // If the inputs of the stage are not kept, all stages before it run again.
    let has_inputs = export.is_some() || work.has_inputs_from(open, Position(0));
    let from = if has_inputs { open } else { 0 };
    let start = work.chain.get(from)?.stage.layers.start();
    let layers = LayerRange::new(start, failed.stage.layers.end()).ok()?;
    let stages = routing::cover(cx, row, work, layers)?.stages;
    let attempts = (work.sessions..).map(Attempt);
    let sessions = stages
        .into_iter()
        .zip(attempts)
        .map(|(stage, attempt)| new_session(stage, attempt, export));
    let mut sessions: Vec<StageSession> = sessions.collect();
    if has_inputs && let Some(first) = sessions.first_mut() {
        first.inputs = failed.inputs.clone();
    }
    Some(Replacement { from, sessions })
}

/// Creates a session that starts at position 0 or after an export.
fn new_session(stage: Stage, attempt: Attempt, export: Option<&KvCache>) -> StageSession {
    let mut session = StageSession::new(stage, attempt);
    if let Some(cache) = export {
        session.inputs = RetainedInputs::starting_at(cache.next);
        session.import = slice_layers(cache, session.stage.layers);
    }
    session
}

/// Returns the part of a cache that holds the layers of one stage.
fn slice_layers(cache: &KvCache, layers: LayerRange) -> Option<KvCache> {
    let skip = layers.start().checked_sub(cache.layers.start())?;
    let values = cache.state.iter().skip(usize::from(skip));
    Some(KvCache {
        layers,
        state: values.take(usize::from(layers.count())).copied().collect(),
        ..cache.clone()
    })
}

/// Puts the new sessions into the chain and ends the replaced ones.
fn apply(cx: &mut Context<'_>, key: RequestKey, replacement: Replacement) {
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.attempt.0 += 1;
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    let replaced = replacement.from..=work.open.stage;
    let start = replacement
        .sessions
        .first()
        .map_or(Position(0), start_position);
    let imported = replacement.sessions.iter().any(|s| s.import.is_some());
    let repeated = work
        .open_session()
        .map_or(0, |s| s.next.0.saturating_sub(start.0));
    let servers: Vec<VmId> = replacement
        .sessions
        .iter()
        .map(|s| s.stage.vm.clone())
        .collect();
    work.sessions += servers.len() as u32;
    work.open.stage = replacement.from;
    work.open.repeats = 0;
    let restarted = replacement.from < *replaced.end();
    let ended: Vec<StageSession> = work.chain.splice(replaced, replacement.sessions).collect();
    let counters = &mut cx.tables.counters;
    counters.repeated_positions += u64::from(repeated);
    match (restarted, imported) {
        (true, _) => counters.restarts += 1,
        (false, true) => counters.imports += 1,
        (false, false) => counters.replays += 1,
    }
    for session in &ended {
        end_session(cx, key, session);
    }
    for vm in &servers {
        add_in_flight(cx, vm);
    }
}

/// Sends a request to end a replaced session, which stops its running work.
fn end_session(cx: &mut Context<'_>, key: RequestKey, session: &StageSession) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    cx.out.push(Action::EndSession {
        address: session.stage.address,
        session: session_ref(row, session),
    });
    remove_in_flight(cx, &session.stage.vm);
}
