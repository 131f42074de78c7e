//! Prepares, dispatches and ends requests whose home is this node.

use super::{FORWARDED_KEYS, OnceTimer, mint, own, reply, send};
use crate::{
    ids::{OrganisationId, RequestId, RequestKey, VmId},
    message::{Action, Demand, Done, Reply, Submission},
    node::RequestState,
    once::{
        Arrival, Claim, Consent, DemandDigest, ForwardedDemand, ForwardedRequest, HomeAnswer,
        Instance, IntendAnswer, IntentId, MintedId, OnceMessage, Recorded, RecordedResult, Waiter,
    },
    outcome::{NotRun, Outcome},
    systems::{Context, Timer, admission, answer, calls, completion},
    tables::Work,
};

/// Takes in a request of this home; returns true if it is new, and otherwise
/// lets `waiter` have what is known of the earlier one.
pub fn arrive(
    cx: &mut Context<'_>,
    key: RequestKey,
    minted: &MintedId,
    submission: &Submission,
    demand: &ForwardedDemand,
    waiter: Waiter,
) -> bool {
    let Some(text) = submission.id.clone() else {
        return false;
    };
    let Some(organisation) = admission::organisation(cx, &submission.token_sha256) else {
        if !cx.tables.ready {
            // The token may be a new one: nothing can be said of the request.
            tell(cx, &waiter, &text, HomeAnswer::Nothing);
            return false;
        }
        let message = "the bearer token is not known".to_owned();
        let reason = NotRun::Unauthorised;
        tell(cx, &waiter, &text, HomeAnswer::Refused { reason, message });
        return false;
    };
    let claim = Claim {
        organisation: organisation.id,
        demand: DemandDigest::of(demand),
    };
    let (now, life) = (cx.now, cx.cfg.once.id_life);
    let home = &mut cx.tables.once.home;
    let answer = match home.arrive(now, life, key, minted, &text, claim) {
        Arrival::Fresh => return true,
        Arrival::Running => {
            let number = minted.intent.number;
            join(cx, number, waiter.clone());
            bound_wait(cx, number, &waiter, submission);
            HomeAnswer::Running
        }
        Arrival::Ended(recorded) => HomeAnswer::Ended(recorded),
        Arrival::Forgotten => HomeAnswer::Forgotten,
        Arrival::Expired => HomeAnswer::Refused {
            reason: NotRun::Late,
            message: "this id is too old; take a new one".to_owned(),
        },
        Arrival::Mismatch(mismatch) => reply::refusal(mismatch),
    };
    tell(cx, &waiter, &text, answer);
    false
}

fn join(cx: &mut Context<'_>, number: u64, waiter: Waiter) {
    let Some(open) = cx.tables.once.home.open_mut(number) else {
        return;
    };
    if !open.waiters.contains(&waiter) {
        open.waiters.push(waiter);
    }
}

/// Bounds the time for which a caller of this node waits for a request that
/// an earlier try began.
fn bound_wait(cx: &mut Context<'_>, number: u64, waiter: &Waiter, submission: &Submission) {
    let Waiter::Caller(key) = *waiter else {
        return;
    };
    let limits = &cx.cfg.admission;
    let within = submission.timeout.unwrap_or(limits.default_deadline);
    let due = cx.now + within.min(limits.max_deadline);
    let timer = Timer::Once(OnceTimer::Waiter { number, key });
    cx.tables.timers.subscribe(due, timer);
}

/// Ends a caller's wait for a request that still runs.
pub fn wait_over(cx: &mut Context<'_>, number: u64, key: RequestKey) {
    let Some(open) = cx.tables.once.home.open_mut(number) else {
        return;
    };
    let waiting = open.waiters.len();
    open.waiters.retain(|waiter| *waiter != Waiter::Caller(key));
    if open.waiters.len() < waiting {
        let id = open.text.clone();
        let message = "the request still runs; ask later what became of it";
        reply::end(cx, key, &id, Outcome::Unknown, message);
    }
}

/// Mints an id for a request that came without one and was taken on, and
/// makes this node its home.
pub fn adopt(
    cx: &mut Context<'_>,
    key: RequestKey,
    organisation: OrganisationId,
    demand: &Demand,
) -> RequestId {
    let (id, text) = mint::minted(cx, true);
    let claim = Claim {
        organisation,
        demand: DemandDigest::of(&ForwardedDemand::from(demand)),
    };
    let (now, life) = (cx.now, cx.cfg.once.id_life);
    let home = &mut cx.tables.once.home;
    home.arrive(now, life, key, &id, &text, claim);
    text
}

/// Asks the witnesses of a request that was taken on; it is dispatched at
/// once if its id names none. Returns false if the request is not of a home.
pub fn begin(cx: &mut Context<'_>, key: RequestKey) -> bool {
    let Some(open) = cx.tables.once.home.by_key(key) else {
        return false;
    };
    let number = open.id.intent.number;
    if cx.tables.once.home.consent(number) == Consent::Dispatch {
        dispatch(cx, key);
        return true;
    }
    ask_witnesses(cx, key);
    true
}

fn ask_witnesses(cx: &mut Context<'_>, key: RequestKey) {
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
    let due = cx.now + cx.cfg.once.resend;
    let timer = Timer::Once(OnceTimer::Witnesses(key));
    cx.tables.timers.subscribe(due, timer);
}

/// Asks silent witnesses again, or gives up.
pub fn witnesses_due(cx: &mut Context<'_>, key: RequestKey) {
    let Some(open) = cx.tables.once.home.by_key(key) else {
        return;
    };
    if open.dispatched {
        return;
    }
    if cx.now >= open.began + cx.cfg.once.witness_timeout {
        return give_up(cx, key);
    }
    ask_witnesses(cx, key);
}

fn give_up(cx: &mut Context<'_>, key: RequestKey) {
    cx.tables.counters.once_unwitnessed += 1;
    let message = "a witness of the id did not consent; take a new id";
    answer::give_up(cx, key, NotRun::NoCapacity, message);
}

/// Takes a witness's answer.
pub fn answered(cx: &mut Context<'_>, from: &Instance, intent: &IntentId, answer: IntendAnswer) {
    if intent.home != own(cx) {
        return;
    }
    let home = &mut cx.tables.once.home;
    let Some(key) = home.open(intent.number).map(|open| open.key) else {
        return;
    };
    match home.answered(intent.number, from, answer) {
        Consent::Dispatch => dispatch(cx, key),
        Consent::Refused => give_up(cx, key),
        Consent::Wait => {}
    }
}

/// Gives up requests that wait for a witness which can't be reached.
pub fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    for number in cx.tables.once.home.waiting_for(vm) {
        if let Some(key) = cx.tables.once.home.open(number).map(|open| open.key) {
            give_up(cx, key);
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

/// Takes a request that another node handed over.
pub fn forwarded(
    cx: &mut Context<'_>,
    from: Instance,
    asker: RequestKey,
    request: ForwardedRequest,
) {
    let id = request.id.clone();
    let waiter = Waiter::Node { vm: from.vm, asker };
    let minted = MintedId::parse(&id, &cx.cfg.once.key);
    let Some(minted) = minted.ok().filter(|m| m.intent.home == own(cx)) else {
        return tell(cx, &waiter, &id, HomeAnswer::OtherIncarnation);
    };
    let demand = request.demand.clone();
    let Ok(submission) = Submission::try_from(request) else {
        return;
    };
    let number = minted.intent.number;
    let key = RequestKey(FORWARDED_KEYS | number);
    if !arrive(cx, key, &minted, &submission, &demand, waiter.clone()) {
        return;
    }
    join(cx, number, waiter.clone());
    tell(cx, &waiter, &id, HomeAnswer::Running);
    admission::admit_or_reject(cx, key, submission);
}

/// Tells another node what became of a request.
pub fn query(cx: &mut Context<'_>, from: Instance, asker: RequestKey, id: RequestId) {
    let waiter = Waiter::Node { vm: from.vm, asker };
    let minted = MintedId::parse(&id, &cx.cfg.once.key);
    let answer = match minted {
        Ok(minted) if minted.intent.home == own(cx) => {
            let number = minted.intent.number;
            let answer = known(cx, number, &id);
            if answer == HomeAnswer::Running {
                join(cx, number, waiter.clone());
            }
            answer
        }
        _ => HomeAnswer::OtherIncarnation,
    };
    tell(cx, &waiter, &id, answer);
}

fn known(cx: &Context<'_>, number: u64, id: &RequestId) -> HomeAnswer {
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

/// Returns what this home knows of one of its ids, for a caller's question.
pub fn status(cx: &Context<'_>, number: u64, id: &RequestId) -> RequestState {
    match known(cx, number, id) {
        HomeAnswer::Ended(recorded) => RequestState::Ended(recorded.outcome),
        HomeAnswer::Idempotent(outcome) => RequestState::Ended(outcome),
        HomeAnswer::Running => RequestState::Open,
        HomeAnswer::Forgotten => RequestState::Ended(Outcome::Unknown),
        _ => RequestState::Nothing,
    }
}

fn tell(cx: &mut Context<'_>, waiter: &Waiter, id: &RequestId, answer: HomeAnswer) {
    match waiter {
        Waiter::Caller(key) => reply::give(cx, *key, id, answer),
        Waiter::Node { vm, asker } => {
            let message = OnceMessage::HomeAnswered {
                asker: *asker,
                id: id.clone(),
                answer,
            };
            send(cx, vm, message);
        }
    }
}

/// Looks at what this event brought for callers: the text and the ends of
/// this home's requests are recorded, and told to whoever waits for them and
/// to the witnesses. Runs at the end of each event.
pub fn deliver(cx: &mut Context<'_>) {
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
                    ended(cx, key, &done);
                }
                Reply::Admitted { .. } | Reply::Status(_) => {}
            }
        }
        at += 1;
    }
    // Requests that another node handed over have no caller here.
    cx.out.retain(|action| match action {
        Action::Reply { key, .. } => key.0 & FORWARDED_KEYS == 0,
        _ => true,
    });
}

fn ended(cx: &mut Context<'_>, key: RequestKey, done: &Done) {
    let cfg = &cx.cfg.once;
    let max_result = cfg.max_result_bytes as usize;
    let max_witness_result = cfg.max_witness_result_bytes as usize;
    let home = &mut cx.tables.once.home;
    let finished = home.finish(cx.now, key, |open| {
        let result = RecordedResult {
            text: open.generated.clone(),
            body: done.body.as_ref().map(ToString::to_string),
        };
        let recorded = Recorded {
            claim: open.claim.clone(),
            outcome: done.outcome,
            tokens: done.tokens,
            result: (done.outcome == Outcome::Completed).then_some(result),
            message: done.message.clone(),
        };
        recorded.bounded(max_result)
    });
    home.forget(
        cx.now,
        cfg.remember,
        cfg.max_remembered as usize,
        cfg.max_results_bytes as usize,
    );
    let Some((open, recorded)) = finished else {
        return;
    };
    let told = recorded.bounded(max_witness_result);
    for witness in &open.id.witnesses {
        let message = OnceMessage::Ended {
            intent: open.id.intent.clone(),
            witness: witness.incarnation,
            recorded: told.clone(),
        };
        send(cx, &witness.vm, message);
    }
    for waiter in &open.waiters {
        tell(cx, waiter, &open.text, HomeAnswer::Ended(recorded.clone()));
    }
}
