//! Prepares, dispatches and ends requests whose home is this node.

use super::{FORWARDED_KEY_BIT, OnceTimer, issue, own_instance, reply, send};
use crate::{
    ids::{OrganisationId, RequestId, RequestKey, VmId},
    message::{Action, Demand, Done, Reply, Submission},
    node::RequestState,
    once::{
        Claim, DemandDigest, DispatchDecision, EndRecord, ForwardedDemand, ForwardedRequest,
        HomeAnswer, Instance, IntendAnswer, IntentId, IssuedId, OnceMessage, Registration,
        ResultRecord, Waiter,
    },
    outcome::{NotRun, Outcome},
    systems::{Context, Timer, admission, answer, calls, completion},
    tables::Work,
};

/// Registers a request of this home. Returns true if it is new; otherwise sends
/// the state of the earlier request to `waiter`.
pub fn register(
    cx: &mut Context<'_>,
    key: RequestKey,
    issued: &IssuedId,
    submission: &Submission,
    demand: &ForwardedDemand,
    waiter: Waiter,
) -> bool {
    let Some(text) = submission.id.clone() else {
        return false;
    };
    let Some(organisation) = admission::organisation(cx, &submission.token_sha256) else {
        if !cx.tables.ready {
            // A node that is not ready may not have the token yet.
            send_answer(cx, &waiter, &text, HomeAnswer::Nothing);
            return false;
        }
        let message = "the bearer token is not known".to_owned();
        let reason = NotRun::Unauthorised;
        send_answer(cx, &waiter, &text, HomeAnswer::Refused { reason, message });
        return false;
    };
    let claim = Claim {
        organisation: organisation.id,
        demand: DemandDigest::of(demand),
    };
    let (now, ttl) = (cx.now, cx.cfg.once.id_ttl);
    let home = &mut cx.tables.once.home;
    let answer = match home.register(now, ttl, key, issued, &text, claim) {
        Registration::New => return true,
        Registration::Running => {
            let number = issued.intent.number;
            add_waiter(cx, number, waiter.clone());
            limit_wait(cx, number, &waiter, submission);
            HomeAnswer::Running
        }
        Registration::Ended(recorded) => HomeAnswer::Ended(recorded),
        Registration::Forgotten => HomeAnswer::Forgotten,
        Registration::Expired => HomeAnswer::Refused {
            reason: NotRun::Late,
            message: "this id is too old; take a new one".to_owned(),
        },
        Registration::Mismatch(mismatch) => reply::mismatch_refusal(mismatch),
    };
    send_answer(cx, &waiter, &text, answer);
    false
}

fn add_waiter(cx: &mut Context<'_>, number: u64, waiter: Waiter) {
    let Some(open) = cx.tables.once.home.open_mut(number) else {
        return;
    };
    if !open.waiters.contains(&waiter) {
        open.waiters.push(waiter);
    }
}

/// Limits how long a caller of this node waits for a request that an earlier
/// attempt started.
fn limit_wait(cx: &mut Context<'_>, number: u64, waiter: &Waiter, submission: &Submission) {
    let Waiter::Caller(key) = *waiter else {
        return;
    };
    let limits = &cx.cfg.admission;
    let within = submission.timeout.unwrap_or(limits.default_deadline);
    let due = cx.now + within.min(limits.max_deadline);
    let timer = Timer::Once(OnceTimer::Waiter { number, key });
    cx.tables.timers.subscribe(due, timer);
}

/// Ends a caller's wait for a request that is still running.
pub fn waiter_due(cx: &mut Context<'_>, number: u64, key: RequestKey) {
    let Some(open) = cx.tables.once.home.open_mut(number) else {
        return;
    };
    let before = open.waiters.len();
    open.waiters.retain(|waiter| *waiter != Waiter::Caller(key));
    if open.waiters.len() < before {
        let id = open.text.clone();
        let message = "the request still runs; ask later what became of it";
        reply::send_outcome(cx, key, &id, Outcome::Unknown, message);
    }
}

/// Issues an id for an accepted request without one, which makes this node its
/// home.
pub fn assign_id(
    cx: &mut Context<'_>,
    key: RequestKey,
    organisation: OrganisationId,
    demand: &Demand,
) -> RequestId {
    let (id, text) = issue::issue(cx, true);
    let claim = Claim {
        organisation,
        demand: DemandDigest::of(&ForwardedDemand::from(demand)),
    };
    let (now, ttl) = (cx.now, cx.cfg.once.id_ttl);
    let home = &mut cx.tables.once.home;
    home.register(now, ttl, key, &id, &text, claim);
    text
}

/// Sends the intent of an accepted request to its witnesses, or dispatches the
/// request at once if its id names none. Returns false if the request has no
/// home.
pub fn start(cx: &mut Context<'_>, key: RequestKey) -> bool {
    let Some(open) = cx.tables.once.home.by_key(key) else {
        return false;
    };
    let number = open.id.intent.number;
    if cx.tables.once.home.try_dispatch(number) == DispatchDecision::Dispatch {
        dispatch(cx, key);
        return true;
    }
    send_intents(cx, key);
    true
}

fn send_intents(cx: &mut Context<'_>, key: RequestKey) {
    let Some(open) = cx.tables.once.home.by_key(key) else {
        return;
    };
    let intent = open.id.intent.clone();
    for witness in open.missing.clone() {
        let message = OnceMessage::Intend {
            intent: intent.clone(),
            witness: witness.incarnation,
        };
        send(cx, &witness.vm, message);
    }
    let due = cx.now + cx.cfg.once.resend_interval;
    let timer = Timer::Once(OnceTimer::Witnesses(key));
    cx.tables.timers.subscribe(due, timer);
}

/// Sends the intent again to unresponsive witnesses; ends the request if the
/// witness timeout is over.
pub fn witnesses_due(cx: &mut Context<'_>, key: RequestKey) {
    let Some(open) = cx.tables.once.home.by_key(key) else {
        return;
    };
    if open.dispatched {
        return;
    }
    if cx.now >= open.began + cx.cfg.once.witness_timeout {
        return end_unwitnessed(cx, key);
    }
    send_intents(cx, key);
}

fn end_unwitnessed(cx: &mut Context<'_>, key: RequestKey) {
    cx.tables.counters.once_unwitnessed += 1;
    let message = "a witness of the id did not consent; take a new id";
    answer::abort(cx, key, NotRun::NoCapacity, message);
}

/// Handles a witness's answer to an intent.
pub fn intent_answered(
    cx: &mut Context<'_>,
    from: &Instance,
    intent: &IntentId,
    answer: IntendAnswer,
) {
    if intent.home != own_instance(cx) {
        return;
    }
    let home = &mut cx.tables.once.home;
    let Some(key) = home.open(intent.number).map(|open| open.key) else {
        return;
    };
    match home.handle_answer(intent.number, from, answer) {
        DispatchDecision::Dispatch => dispatch(cx, key),
        DispatchDecision::Refused => end_unwitnessed(cx, key),
        DispatchDecision::Wait => {}
    }
}

/// Ends the requests that wait for a witness on an unreachable VM.
pub fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    for number in cx.tables.once.home.waiting_for(vm) {
        if let Some(key) = cx.tables.once.home.open(number).map(|open| open.key) {
            end_unwitnessed(cx, key);
        }
    }
}

fn dispatch(cx: &mut Context<'_>, key: RequestKey) {
    match cx.tables.requests.get(key).map(|row| &row.work) {
        Some(Work::Call(_)) => calls::start(cx, key),
        Some(Work::Completion(_)) => completion::start(cx, key),
        None => {}
    }
}

/// Handles a request that another node forwarded.
pub fn forwarded(
    cx: &mut Context<'_>,
    from: Instance,
    correlation_key: RequestKey,
    request: ForwardedRequest,
) {
    let id = request.id.clone();
    let waiter = Waiter::Node {
        vm: from.vm,
        correlation_key,
    };
    let issued = IssuedId::parse(&id, &cx.cfg.once.key);
    let Some(issued) = issued.ok().filter(|m| m.intent.home == own_instance(cx)) else {
        return send_answer(cx, &waiter, &id, HomeAnswer::OtherIncarnation);
    };
    let demand = request.demand.clone();
    let Ok(submission) = Submission::try_from(request) else {
        return;
    };
    let number = issued.intent.number;
    let key = RequestKey(FORWARDED_KEY_BIT | number);
    if !register(cx, key, &issued, &submission, &demand, waiter.clone()) {
        return;
    }
    add_waiter(cx, number, waiter.clone());
    send_answer(cx, &waiter, &id, HomeAnswer::Running);
    admission::admit_or_reject(cx, key, submission);
}

/// Answers another node's query for the outcome of a request.
pub fn query(cx: &mut Context<'_>, from: Instance, correlation_key: RequestKey, id: RequestId) {
    let waiter = Waiter::Node {
        vm: from.vm,
        correlation_key,
    };
    let issued = IssuedId::parse(&id, &cx.cfg.once.key);
    let answer = match issued {
        Ok(issued) if issued.intent.home == own_instance(cx) => {
            let number = issued.intent.number;
            let answer = current_state(cx, number, &id);
            if answer == HomeAnswer::Running {
                add_waiter(cx, number, waiter.clone());
            }
            answer
        }
        _ => HomeAnswer::OtherIncarnation,
    };
    send_answer(cx, &waiter, &id, answer);
}

fn current_state(cx: &Context<'_>, number: u64, id: &RequestId) -> HomeAnswer {
    let home = &cx.tables.once.home;
    if let Some(recorded) = home.ended(number) {
        return HomeAnswer::Ended(recorded.clone());
    }
    if home.open(number).is_some() || cx.tables.requests.open(id).is_some() {
        return HomeAnswer::Running;
    }
    if let Some(outcome) = cx.tables.requests.outcome(id) {
        return HomeAnswer::Idempotent(outcome);
    }
    if home.is_forgotten(number) {
        return HomeAnswer::Forgotten;
    }
    HomeAnswer::Nothing
}

/// Returns the state of one of this home's ids for a caller's status query.
pub fn status(cx: &Context<'_>, number: u64, id: &RequestId) -> RequestState {
    match current_state(cx, number, id) {
        HomeAnswer::Ended(recorded) => RequestState::Ended(recorded.outcome),
        HomeAnswer::Idempotent(outcome) => RequestState::Ended(outcome),
        HomeAnswer::Running => RequestState::Open,
        HomeAnswer::Forgotten => RequestState::Ended(Outcome::Unknown),
        _ => RequestState::Nothing,
    }
}

fn send_answer(cx: &mut Context<'_>, waiter: &Waiter, id: &RequestId, answer: HomeAnswer) {
    match waiter {
        Waiter::Caller(key) => reply::send(cx, *key, id, answer),
        Waiter::Node {
            vm,
            correlation_key,
        } => {
            let message = OnceMessage::HomeAnswered {
                correlation_key: *correlation_key,
                id: id.clone(),
                answer,
            };
            send(cx, vm, message);
        }
    }
}

/// Records the text and the ends of this home's requests from the replies that
/// the current event produced, and sends the ends to the waiters and witnesses.
/// Runs at the end of each event.
pub fn record_replies(cx: &mut Context<'_>) {
    let mut at = 0;
    while at < cx.out.len() {
        if let Action::Reply { key, reply } = &cx.out[at]
            && let Some(open) = cx.tables.once.home.by_key_mut(*key)
        {
            let key = *key;
            match reply {
                Reply::Delta { text, .. } => open.generated.push_str(text),
                Reply::Done(done) => {
                    let done = done.clone();
                    record_end(cx, key, &done);
                }
                Reply::Admitted { .. } | Reply::Status(_) => {}
            }
        }
        at += 1;
    }
    // Requests that another node forwarded have no caller here.
    cx.out.retain(|action| match action {
        Action::Reply { key, .. } => key.0 & FORWARDED_KEY_BIT == 0,
        _ => true,
    });
}

fn record_end(cx: &mut Context<'_>, key: RequestKey, done: &Done) {
    let cfg = &cx.cfg.once;
    let max_result = cfg.max_result_bytes as usize;
    let max_witness_result = cfg.max_witness_result_bytes as usize;
    let home = &mut cx.tables.once.home;
    let finished = home.finish(cx.now, key, |open| {
        let result = ResultRecord {
            text: open.generated.clone(),
            body: done.body.as_ref().map(ToString::to_string),
        };
        let recorded = EndRecord {
            claim: open.claim.clone(),
            outcome: done.outcome,
            tokens: done.tokens,
            result: (done.outcome == Outcome::Completed).then_some(result),
            message: done.message.clone(),
        };
        recorded.with_result_limit(max_result)
    });
    home.drop_old(
        cx.now,
        cfg.outcome_retention,
        cfg.max_remembered as usize,
        cfg.max_total_result_bytes as usize,
    );
    let Some((open, recorded)) = finished else {
        return;
    };
    let for_witnesses = recorded.with_result_limit(max_witness_result);
    for witness in &open.id.witnesses {
        let message = OnceMessage::Ended {
            intent: open.id.intent.clone(),
            witness: witness.incarnation,
            recorded: for_witnesses.clone(),
        };
        send(cx, &witness.vm, message);
    }
    for waiter in &open.waiters {
        send_answer(cx, waiter, &open.text, HomeAnswer::Ended(recorded.clone()));
    }
}
