//! Replaces a stage that failed, and keeps the sessions of the others.
//!
//! What each failure proves, and what is done then, is in
//! `docs/design/recovery.md`. A replaced session is told to end, and its
//! successor has an attempt number of its own, so that late output can't join.

use super::{
    Context, answer,
    backoff::{self, MAX_WAITS},
    completion::{
        begin_of, completion, completion_mut, occupy, open, proceed, session_ref, vacate,
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

/// Repetitions of an exchange at the same engine when its answer was lost.
const MAX_REPEATS: u32 = 1;
/// Waits for a busy engine before its session is moved.
const MAX_BUSY_WAITS: u32 = 4;

/// What went wrong with an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// No answer came in time.
    Timeout,
    /// An answer came to something else.
    Crossed,
    /// There is no answer, or a refusal.
    Error(AttemptError),
    /// The inputs that the session needs are no longer kept.
    InputsDropped,
}

/// Decides what follows a failure of the open exchange.
pub(super) fn fail(cx: &mut Context<'_>, key: RequestKey, failure: Failure) {
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
    tell_health(cx, key, failure);
    match failure {
        Failure::InputsDropped => replace(cx, key, true),
        Failure::Timeout => {
            blame(cx, key);
            replace(cx, key, false);
        }
        Failure::Crossed | Failure::Error(AttemptError::Lost | AttemptError::Malformed) => {
            repeat_or_replace(cx, key);
        }
        Failure::Error(AttemptError::NotSent) => {
            blame(cx, key);
            replace(cx, key, true);
        }
        Failure::Error(AttemptError::Refused(refusal)) => refused_by(cx, key, refusal),
    }
}

fn refused_by(cx: &mut Context<'_>, key: RequestKey, refusal: EngineRefusal) {
    match refusal {
        EngineRefusal::Leaving | EngineRefusal::NotHeld => {
            blame(cx, key);
            replace(cx, key, true);
        }
        EngineRefusal::NoSession => replace(cx, key, true),
        EngineRefusal::WrongPosition { next } => {
            if resync(cx, key, next) {
                proceed(cx, key);
            } else {
                replace(cx, key, true);
            }
        }
        EngineRefusal::Busy | EngineRefusal::NotRun => busy(cx, key),
    }
}

/// A busy engine is not blamed: work that has no session there goes elsewhere,
/// and a session waits for a while before it is moved.
fn busy(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let Some(session) = work.open_session() else {
        return;
    };
    let is_new = begin_of(session) == Position(0);
    let waits = work.open.waits;
    if !is_new && waits < MAX_BUSY_WAITS {
        return wait(cx, key, Exchange::RepeatLater);
    }
    blame(cx, key);
    if plan(cx, key).is_none() && waits < MAX_BUSY_WAITS {
        if let Some(row) = cx.tables.requests.get_mut(key) {
            row.failed.pop();
        }
        return wait(cx, key, Exchange::RepeatLater);
    }
    replace(cx, key, is_new);
}

/// Goes back to the position that an engine's session stands at, if the inputs
/// from there on are kept.
fn resync(cx: &mut Context<'_>, key: RequestKey, next: Position) -> bool {
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

/// An engine gives the stored reply when the newest step is asked for again,
/// so a lost answer costs no second run.
fn repeat_or_replace(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    if work.open.repeats < MAX_REPEATS && work.open.exchange == Exchange::Step {
        if !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
            cx.tables.counters.budget_waits += 1;
            return wait(cx, key, Exchange::ReplaceLater);
        }
        if let Some(work) = completion_mut(cx, key) {
            work.open.repeats += 1;
        }
        cx.tables.counters.retries += 1;
        return proceed(cx, key);
    }
    blame(cx, key);
    replace(cx, key, false);
}

/// Tells what a failure of the open exchange shows of its engine.
fn tell_health(cx: &mut Context<'_>, key: RequestKey, failure: Failure) {
    let sign = match failure {
        Failure::Timeout => Some(Signal::Down),
        Failure::Crossed => Some(Signal::Failed),
        Failure::Error(error) => health::signal_for(&error),
        Failure::InputsDropped => None,
    };
    let session = completion(cx, key).and_then(CompletionState::open_session);
    let vm = session.map(|session| session.stage.vm.clone());
    if let (Some(vm), Some(sign)) = (vm, sign) {
        health::record(cx, &vm, sign);
    }
}

/// Keeps this request off the open stage's engine.
fn blame(cx: &mut Context<'_>, key: RequestKey) {
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

/// An import that failed is not tried again: the positions are recomputed.
fn drop_import(cx: &mut Context<'_>, key: RequestKey) {
    if let Some(session) = completion_mut(cx, key).and_then(CompletionState::open_session_mut)
        && session.import.take().is_some()
    {
        session.export = None;
    }
}

/// Waits with full jitter, or gives up when the wait would be one too many.
fn wait(cx: &mut Context<'_>, key: RequestKey, then: Exchange) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let waits = work.open.waits;
    let pause = backoff::pause(cx, waits);
    let deadline = cx.tables.requests.get(key).map(|row| row.deadline);
    if waits >= MAX_WAITS || deadline.is_none_or(|d| cx.now + pause >= d) {
        return answer::give_up(cx, key, NotRun::NoCapacity, "no engine can go on with it");
    }
    open(cx, key, then, 0, pause);
    if let Some(work) = completion_mut(cx, key) {
        work.open.waits += 1;
    }
}

/// What takes the place of the failed sessions.
struct Plan {
    /// The stages `from..=open` are replaced.
    from: usize,
    /// The new sessions, by rising layers.
    sessions: Vec<StageSession>,
}

/// Replaces the open stage; `proved` says that no run of it is left in doubt,
/// which makes it no retry in the sense of the budget.
pub(super) fn replace(cx: &mut Context<'_>, key: RequestKey, proved: bool) {
    let most = cx.cfg.retry.max_attempts;
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let (attempts, doubt) = (row.attempt.0 + 1, row.indeterminate);
    if attempts >= most {
        let message = "too many backend servers failed";
        return answer::give_up(cx, key, NotRun::NoCapacity, message);
    }
    if !proved && !cx.tables.retry_budget.withdraw(cx.now, &cx.cfg.retry) {
        cx.tables.counters.budget_waits += 1;
        return wait(cx, key, Exchange::ReplaceLater);
    }
    let Some(plan) = plan(cx, key) else {
        if !doubt {
            let message = "no chain covers all layers";
            return answer::give_up(cx, key, NotRun::NoCapacity, message);
        }
        // Nobody else is left: those that failed may be back later.
        if let Some(row) = cx.tables.requests.get_mut(key) {
            row.failed.clear();
        }
        return wait(cx, key, Exchange::ReplaceLater);
    };
    cx.tables.counters.retries += 1;
    put(cx, key, plan);
    proceed(cx, key);
}

fn plan(cx: &Context<'_>, key: RequestKey) -> Option<Plan> {
    let row = cx.tables.requests.get(key)?;
    let Work::Completion(work) = &row.work else {
        return None;
    };
    let open = work.open.stage;
    let failed = work.open_session()?;
    let usable =
        |cache: &&KvCache| work.has_inputs_from(open, cache.next) && cache.next < work.end();
    let export = failed.export.as_ref().filter(usable);
    // Without its inputs a stage needs all stages before it to run again.
    let alone = export.is_some() || work.has_inputs_from(open, Position(0));
    let from = if alone { open } else { 0 };
    let start = work.chain.get(from)?.stage.layers.start();
    let layers = LayerRange::new(start, failed.stage.layers.end()).ok()?;
    let stages = routing::cover(cx, row, work, layers)?.stages;
    let attempts = (work.sessions..).map(Attempt);
    let sessions = stages
        .into_iter()
        .zip(attempts)
        .map(|(stage, attempt)| session(stage, attempt, export));
    let mut sessions: Vec<StageSession> = sessions.collect();
    if alone && let Some(first) = sessions.first_mut() {
        first.inputs = failed.inputs.clone();
    }
    Some(Plan { from, sessions })
}

/// Makes a session that begins at 0, or at the position of an export.
fn session(stage: Stage, attempt: Attempt, export: Option<&KvCache>) -> StageSession {
    let mut session = StageSession::new(stage, attempt);
    if let Some(cache) = export {
        session.inputs = RetainedInputs::starting_at(cache.next);
        session.import = part(cache, session.stage.layers);
    }
    session
}

/// Cuts the layers of one stage out of a cache.
fn part(cache: &KvCache, layers: LayerRange) -> Option<KvCache> {
    let skip = layers.start().checked_sub(cache.layers.start())?;
    let values = cache.state.iter().skip(usize::from(skip));
    Some(KvCache {
        layers,
        state: values.take(usize::from(layers.count())).copied().collect(),
        ..cache.clone()
    })
}

fn put(cx: &mut Context<'_>, key: RequestKey, plan: Plan) {
    let Some(row) = cx.tables.requests.get_mut(key) else {
        return;
    };
    row.attempt.0 += 1;
    let Work::Completion(work) = &mut row.work else {
        return;
    };
    let replaced = plan.from..=work.open.stage;
    let begun = plan.sessions.first().map_or(Position(0), begin_of);
    let imported = plan.sessions.iter().any(|s| s.import.is_some());
    let repeated = work
        .open_session()
        .map_or(0, |s| s.next.0.saturating_sub(begun.0));
    let taken: Vec<VmId> = plan.sessions.iter().map(|s| s.stage.vm.clone()).collect();
    work.sessions += taken.len() as u32;
    work.open.stage = plan.from;
    work.open.repeats = 0;
    let restarted = plan.from < *replaced.end();
    let ended: Vec<StageSession> = work.chain.splice(replaced, plan.sessions).collect();
    let counters = &mut cx.tables.counters;
    counters.repeated_positions += u64::from(repeated);
    match (restarted, imported) {
        (true, _) => counters.restarts += 1,
        (false, true) => counters.imports += 1,
        (false, false) => counters.replays += 1,
    }
    for session in &ended {
        end(cx, key, session);
    }
    for vm in &taken {
        occupy(cx, vm);
    }
}

/// Tells a replaced session to end, so that work still under way stops.
fn end(cx: &mut Context<'_>, key: RequestKey, session: &StageSession) {
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    cx.out.push(Action::EndSession {
        address: session.stage.address,
        session: session_ref(row, session),
    });
    vacate(cx, &session.stage.vm);
}
