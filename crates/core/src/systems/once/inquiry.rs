//! Forwards requests to other homes and finds out their outcome.

use std::time::Duration;

use super::{OnceTimer, home, own_instance, reply, send};
use crate::{
    ids::{RequestId, RequestKey, VmId},
    message::{Action, Reply, Submission},
    node::RequestState,
    once::{
        ForwardedDemand, ForwardedRequest, HomeAnswer, Inquiry, Instance, IntentId, IssuedId,
        OnceMessage, Phase, Purpose, SealAnswer, SealOutcome, SealRound,
    },
    outcome::{NotRun, Outcome},
    systems::{Context, Timer},
};

/// How long after the caller's deadline the end may still arrive from the home.
const HOME_GRACE: Duration = Duration::from_millis(100);
/// The deadline of a caller's status query.
const STATUS_DEADLINE: Duration = Duration::from_secs(5);

/// Forwards a request to its home.
pub fn submit(cx: &mut Context<'_>, key: RequestKey, issued: IssuedId, submission: Submission) {
    let Some(text) = submission.id.clone() else {
        return;
    };
    if cx.tables.once.inquiries.len() >= cx.cfg.admission.max_in_flight as usize {
        let message = "the node is full; ask again";
        return reply::send_outcome(cx, key, &text, Outcome::Unknown, message);
    }
    let limits = &cx.cfg.admission;
    let within = submission.timeout.unwrap_or(limits.default_deadline);
    let deadline = cx.now + within.min(limits.max_deadline);
    let purpose = Purpose::Submit(Box::new(submission));
    open_inquiry(cx, key, issued, text, purpose, deadline);
}

/// Answers a caller that queries the outcome of a request.
pub fn status(cx: &mut Context<'_>, key: RequestKey, id: RequestId) {
    let status = match cx.tables.requests.outcome(&id) {
        Some(outcome) => RequestState::Ended(outcome),
        None if cx.tables.requests.open(&id).is_some() => RequestState::Open,
        None => RequestState::Nothing,
    };
    if status != RequestState::Nothing {
        return reply_status(cx, key, status);
    }
    match IssuedId::parse(&id, &cx.cfg.once.key) {
        Err(_) => reply_status(cx, key, RequestState::Nothing),
        Ok(issued) if issued.intent.home == own_instance(cx) => {
            let status = home::status(cx, issued.intent.number, &id);
            reply_status(cx, key, status);
        }
        Ok(issued) => {
            let deadline = cx.now + STATUS_DEADLINE;
            open_inquiry(cx, key, issued, id, Purpose::Status, deadline);
        }
    }
}

fn reply_status(cx: &mut Context<'_>, key: RequestKey, status: RequestState) {
    let reply = Reply::Status(status);
    cx.out.push(Action::Reply { key, reply });
}

fn open_inquiry(
    cx: &mut Context<'_>,
    key: RequestKey,
    id: IssuedId,
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
        last_contact: cx.now,
        deadline,
    };
    cx.tables.once.inquiries.insert(key, inquiry);
    send_query(cx, key);
    schedule(cx, key);
}

fn schedule(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    let due = (cx.now + cx.cfg.once.resend_interval).min(inquiry.deadline + HOME_GRACE);
    let timer = Timer::Once(OnceTimer::Inquiry(key));
    cx.tables.timers.subscribe(due, timer);
}

/// Sends the next query of an inquiry; switches to the witnesses if the home has
/// no address.
fn send_query(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    let message = match (&inquiry.phase, &inquiry.purpose) {
        (Phase::Seal(_), _) => return query_witnesses(cx, key),
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
                correlation_key: key,
                request: Box::new(request),
            }
        }
        (Phase::Home { .. }, _) => OnceMessage::Query {
            correlation_key: key,
            id: inquiry.text.clone(),
        },
    };
    let home = inquiry.id.intent.home.vm.clone();
    if !send(cx, &home, message) {
        start_seal_round(cx, key);
    }
}

/// Switches an inquiry from the home to the witnesses.
fn start_seal_round(cx: &mut Context<'_>, key: RequestKey) {
    let now = cx.now;
    let Some(inquiry) = cx.tables.once.inquiries.get_mut(key) else {
        return;
    };
    if matches!(inquiry.phase, Phase::Seal(_)) {
        return;
    }
    let round = SealRound::new(now, &inquiry.id);
    let outcome = round.outcome_if_complete();
    inquiry.phase = Phase::Seal(round);
    cx.tables.counters.once_seals += 1;
    match outcome {
        Some(seal_outcome) => finish(cx, key, seal_outcome),
        None => query_witnesses(cx, key),
    }
}

fn query_witnesses(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    let Phase::Seal(round) = &inquiry.phase else {
        return;
    };
    let intent = inquiry.id.intent.clone();
    let this_node = own_instance(cx);
    for witness in round.missing.clone() {
        if witness == this_node {
            let answer = cx.tables.once.witness.seal(cx.now, &intent);
            seal_answered(cx, &this_node, key, &intent, answer);
            continue;
        }
        let message = OnceMessage::Seal {
            correlation_key: key,
            intent: intent.clone(),
            witness: witness.incarnation,
        };
        if !send(cx, &witness.vm, message) {
            witness_unreachable(cx, key, &witness.vm);
        }
    }
}

fn witness_unreachable(cx: &mut Context<'_>, key: RequestKey, vm: &VmId) {
    let Some(inquiry) = cx.tables.once.inquiries.get_mut(key) else {
        return;
    };
    if let Phase::Seal(round) = &mut inquiry.phase
        && let Some(seal_outcome) = round.mark_unreachable(vm)
    {
        finish(cx, key, seal_outcome);
    }
}

/// Sends the query again; ends the inquiry or switches to the witnesses if no
/// answer came in time.
pub fn due(cx: &mut Context<'_>, key: RequestKey) {
    let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
        return;
    };
    if cx.now >= inquiry.deadline + HOME_GRACE {
        return finish(cx, key, SealOutcome::Unknown);
    }
    let timeout = cx.cfg.once.home_timeout;
    match &inquiry.phase {
        Phase::Home { .. } if cx.now >= inquiry.last_contact + timeout => start_seal_round(cx, key),
        Phase::Seal(round) if cx.now >= round.began + timeout => {
            return finish(cx, key, SealOutcome::Unknown);
        }
        _ => send_query(cx, key),
    }
    schedule(cx, key);
}

/// Handles an answer from a request's home.
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
        return start_seal_round(cx, key);
    }
    if inquiry.id.intent.home != *from {
        return;
    }
    inquiry.last_contact = now;
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
                send_status(cx, key, &answer);
            } else {
                reply::send(cx, key, &id, answer);
            }
        }
    }
}

fn send_status(cx: &mut Context<'_>, key: RequestKey, answer: &HomeAnswer) {
    let status = match answer {
        HomeAnswer::Ended(recorded) => RequestState::Ended(recorded.outcome),
        HomeAnswer::Idempotent(outcome) => RequestState::Ended(*outcome),
        HomeAnswer::Running => RequestState::Open,
        HomeAnswer::Forgotten => RequestState::Ended(Outcome::Unknown),
        _ => RequestState::Nothing,
    };
    reply_status(cx, key, status);
}

/// Handles a witness's answer to a seal request.
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
        && let Some(seal_outcome) = round.handle_answer(from, answer)
    {
        finish(cx, key, seal_outcome);
    }
}

/// Handles an unreachable VM: inquiries to a home there switch to the witnesses,
/// and inquiries to a witness there stop waiting for it.
pub fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    for key in cx.tables.once.inquiries.keys_for_vm(vm) {
        let Some(inquiry) = cx.tables.once.inquiries.get(key) else {
            continue;
        };
        match &inquiry.phase {
            Phase::Home { .. } if inquiry.id.intent.home.vm == *vm => start_seal_round(cx, key),
            Phase::Home { .. } => {}
            Phase::Seal(_) => witness_unreachable(cx, key, vm),
        }
    }
}

fn finish(cx: &mut Context<'_>, key: RequestKey, seal_outcome: SealOutcome) {
    let Some(inquiry) = cx.tables.once.inquiries.remove(key) else {
        return;
    };
    let Purpose::Submit(submission) = &inquiry.purpose else {
        let outcome = match seal_outcome {
            SealOutcome::NotRun => Outcome::NotRun(NotRun::NoCapacity),
            SealOutcome::Ended(recorded) => recorded.outcome,
            SealOutcome::Unknown => Outcome::Unknown,
        };
        return reply_status(cx, key, RequestState::Ended(outcome));
    };
    let id = inquiry.text.clone();
    match seal_outcome {
        SealOutcome::NotRun => {
            let message = "the node of the id is lost and did not run it; take a new id";
            reply::send_outcome(cx, key, &id, Outcome::NotRun(NotRun::NoCapacity), message);
        }
        SealOutcome::Unknown => {
            let message = "the node of the id does not answer, and its fate can't be proved";
            reply::send_outcome(cx, key, &id, Outcome::Unknown, message);
        }
        SealOutcome::Ended(recorded) => {
            let answer = reply::check_record(cx, submission, recorded);
            reply::send(cx, key, &id, answer);
        }
    }
}
