//! Finds out what became of requests whose home is another node.

use std::time::Duration;

use super::{OnceTimer, home, own, reply, send};
use crate::{
    ids::{RequestId, RequestKey, VmId},
    message::{Action, Reply, Submission},
    node::RequestState,
    once::{
        ForwardedDemand, ForwardedRequest, HomeAnswer, Inquiry, Instance, IntentId, MintedId,
        OnceMessage, Phase, Purpose, SealAnswer, SealRound, Verdict,
    },
    outcome::{NotRun, Outcome},
    systems::{Context, Timer},
};

/// Time after a caller's deadline in which the home's own end may still come.
const HOME_GRACE: Duration = Duration::from_millis(100);
/// Time within which a caller's question for a request is answered.
const STATUS_DEADLINE: Duration = Duration::from_secs(5);

/// Hands a request to its home.
pub fn submit(cx: &mut Context<'_>, key: RequestKey, minted: MintedId, submission: Submission) {
    let Some(text) = submission.id.clone() else {
        return;
    };
    if cx.tables.once.inquiries.len() >= cx.cfg.admission.max_in_flight as usize {
        let message = "the node is full; ask again";
        return reply::end(cx, key, &text, Outcome::Unknown, message);
    }
    let limits = &cx.cfg.admission;
    let within = submission.timeout.unwrap_or(limits.default_deadline);
    let deadline = cx.now + within.min(limits.max_deadline);
    let purpose = Purpose::Submit(Box::new(submission));
    open(cx, key, minted, text, purpose, deadline);
}

/// Answers a caller that asks what became of a request.
pub fn status(cx: &mut Context<'_>, key: RequestKey, id: RequestId) {
    let known = match cx.tables.requests.outcome(&id) {
        Some(outcome) => RequestState::Ended(outcome),
        None if cx.tables.requests.open(&id).is_some() => RequestState::Open,
        None => RequestState::Nothing,
    };
    if known != RequestState::Nothing {
        return reply_status(cx, key, known);
    }
    match MintedId::parse(&id, &cx.cfg.once.key) {
        Err(_) => reply_status(cx, key, RequestState::Nothing),
        Ok(minted) if minted.intent.home == own(cx) => {
            let known = home::status(cx, minted.intent.number, &id);
            reply_status(cx, key, known);
        }
        Ok(minted) => {
            let deadline = cx.now + STATUS_DEADLINE;
            open(cx, key, minted, id, Purpose::Status, deadline);
        }
    }
}

fn reply_status(cx: &mut Context<'_>, key: RequestKey, known: RequestState) {
    let reply = Reply::Status(known);
    cx.out.push(Action::Reply { key, reply });
}

fn open(
    cx: &mut Context<'_>,
    key: RequestKey,
    id: MintedId,
    text: RequestId,
    purpose: Purpose,
    deadline: crate::time::Timestamp,
) {
    let acknowledged = matches!(purpose, Purpose::Status);
    let inquiry = Inquiry {
        id,
        text,
        purpose,
        phase: Phase::Home { acknowledged },
        heard: cx.now,
        deadline,
    };
    cx.tables.once.inquiries.insert(key, inquiry);
    ask(cx, key);
    subscribe(cx, key);
}

fn subscribe(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    let due = (cx.now + cx.cfg.once.resend).min(inquiry.deadline + HOME_GRACE);
    let timer = Timer::Once(OnceTimer::Inquiry(key));
    cx.tables.timers.subscribe(due, timer);
}

/// Asks the home, or begins to seal if there is no way to it.
fn ask(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    let message = match (&inquiry.phase, &inquiry.purpose) {
        (Phase::Seal(_), _) => return ask_witnesses(cx, key),
        (
            Phase::Home {
                acknowledged: false,
            },
            Purpose::Submit(submission),
        ) => {
            let request = ForwardedRequest {
                token_sha256: submission.token_sha256,
                id: inquiry.text.clone(),
                priority: submission.priority,
                within: inquiry.deadline.since(cx.now),
                demand: ForwardedDemand::from(&submission.demand),
            };
            OnceMessage::Forward {
                asker: key,
                request: Box::new(request),
            }
        }
        (Phase::Home { .. }, _) => OnceMessage::Query {
            asker: key,
            id: inquiry.text.clone(),
        },
    };
    let home = inquiry.id.intent.home.vm.clone();
    if !send(cx, &home, message) {
        seal(cx, key);
    }
}

/// Begins to ask the witnesses.
fn seal(cx: &mut Context<'_>, key: RequestKey) {
    let now = cx.now;
    let Some(inquiry) = cx.tables.once.inquiries.get_mut(key) else {
        return;
    };
    if matches!(inquiry.phase, Phase::Seal(_)) {
        return;
    }
    let round = SealRound::new(now, &inquiry.id);
    let over = round.over();
    inquiry.phase = Phase::Seal(round);
    cx.tables.counters.once_seals += 1;
    match over {
        Some(verdict) => decide(cx, key, verdict),
        None => ask_witnesses(cx, key),
    }
}

fn ask_witnesses(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    let Phase::Seal(round) = &inquiry.phase else {
        return;
    };
    let intent = inquiry.id.intent.clone();
    let this = own(cx);
    for witness in round.missing.clone() {
        if witness == this {
            let answer = cx.tables.once.witness.seal(cx.now, &intent);
            seal_answered(cx, &this, key, &intent, answer);
            continue;
        }
        let message = OnceMessage::Seal {
            asker: key,
            intent: intent.clone(),
            witness: witness.incarnation,
        };
        if !send(cx, &witness.vm, message) {
            witness_lost(cx, key, &witness.vm);
        }
    }
}

fn witness_lost(cx: &mut Context<'_>, key: RequestKey, vm: &VmId) {
    let Some(inquiry) = cx.tables.once.inquiries.get_mut(key) else {
        return;
    };
    if let Phase::Seal(round) = &mut inquiry.phase
        && let Some(verdict) = round.unreachable(vm)
    {
        decide(cx, key, verdict);
    }
}

/// Asks again, or gives up on whoever has not answered in time.
pub fn due(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    if cx.now >= inquiry.deadline + HOME_GRACE {
        return decide(cx, key, Verdict::Unknown);
    }
    let timeout = cx.cfg.once.home_timeout;
    match &inquiry.phase {
        Phase::Home { .. } if cx.now >= inquiry.heard + timeout => seal(cx, key),
        Phase::Seal(round) if cx.now >= round.began + timeout => {
            return decide(cx, key, Verdict::Unknown);
        }
        _ => ask(cx, key),
    }
    subscribe(cx, key);
}

/// Takes an answer of a request's home.
pub fn home_answered(
    cx: &mut Context<'_>,
    from: &Instance,
    key: RequestKey,
    id: &RequestId,
    answer: HomeAnswer,
) {
    let now = cx.now;
    let Some(inquiry) = cx.tables.once.inquiries.get_mut(key) else {
        return;
    };
    if inquiry.text != *id || inquiry.id.intent.home.vm != from.vm {
        return;
    }
    if answer == HomeAnswer::OtherIncarnation {
        return seal(cx, key);
    }
    if inquiry.id.intent.home != *from {
        return;
    }
    inquiry.heard = now;
    let is_status = matches!(inquiry.purpose, Purpose::Status);
    match answer {
        HomeAnswer::Running | HomeAnswer::Nothing if !is_status => {
            if let Phase::Home { acknowledged } = &mut inquiry.phase {
                *acknowledged = answer == HomeAnswer::Running;
            }
        }
        answer => {
            cx.tables.once.inquiries.remove(key);
            let id = id.clone();
            if is_status {
                give_status(cx, key, &answer);
            } else {
                reply::give(cx, key, &id, answer);
            }
        }
    }
}

fn give_status(cx: &mut Context<'_>, key: RequestKey, answer: &HomeAnswer) {
    let known = match answer {
        HomeAnswer::Ended(recorded) => RequestState::Ended(recorded.outcome),
        HomeAnswer::Idempotent(outcome) => RequestState::Ended(*outcome),
        HomeAnswer::Running => RequestState::Open,
        HomeAnswer::Forgotten => RequestState::Ended(Outcome::Unknown),
        _ => RequestState::Nothing,
    };
    reply_status(cx, key, known);
}

/// Takes a witness's answer.
pub fn seal_answered(
    cx: &mut Context<'_>,
    from: &Instance,
    key: RequestKey,
    intent: &IntentId,
    answer: SealAnswer,
) {
    let Some(inquiry) = cx.tables.once.inquiries.get_mut(key) else {
        return;
    };
    if inquiry.id.intent != *intent {
        return;
    }
    if let Phase::Seal(round) = &mut inquiry.phase
        && let Some(verdict) = round.answered(from, answer)
    {
        decide(cx, key, verdict);
    }
}

/// Turns to the witnesses of requests whose home can't be reached, and gives
/// up on witnesses that can't be.
pub fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    for key in cx.tables.once.inquiries.asked_of(vm) {
        let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
            continue;
        };
        match &inquiry.phase {
            Phase::Home { .. } if inquiry.id.intent.home.vm == *vm => seal(cx, key),
            Phase::Home { .. } => {}
            Phase::Seal(_) => witness_lost(cx, key, vm),
        }
    }
}

fn decide(cx: &mut Context<'_>, key: RequestKey, verdict: Verdict) {
    let Some(inquiry) = cx.tables.once.inquiries.remove(key) else {
        return;
    };
    let Purpose::Submit(submission) = &inquiry.purpose else {
        let outcome = match verdict {
            Verdict::NotRun => Outcome::NotRun(NotRun::NoCapacity),
            Verdict::Ended(recorded) => recorded.outcome,
            Verdict::Unknown => Outcome::Unknown,
        };
        return reply_status(cx, key, RequestState::Ended(outcome));
    };
    let id = inquiry.text.clone();
    match verdict {
        Verdict::NotRun => {
            let message = "the node of the id is lost and did not run it; take a new id";
            reply::end(cx, key, &id, Outcome::NotRun(NotRun::NoCapacity), message);
        }
        Verdict::Unknown => {
            let message = "the node of the id does not answer, and its fate can't be proved";
            reply::end(cx, key, &id, Outcome::Unknown, message);
        }
        Verdict::Ended(recorded) => {
            let answer = reply::checked(cx, submission, recorded);
            reply::give(cx, key, &id, answer);
        }
    }
}
