//! Sends callers the outcome that a request's home or its witnesses report.

use super::super::{Context, admission, answer};
use crate::{
    ids::{RequestId, RequestKey},
    message::{Action, Done, Reply, Submission},
    once::{Claim, DemandDigest, EndRecord, ForwardedDemand, HomeAnswer, Mismatch, ResultRecord},
    outcome::{NotRun, Outcome},
};

/// Returns the refusal of a request whose id was used for another request.
pub fn mismatch_refusal(mismatch: Mismatch) -> HomeAnswer {
    let (reason, message) = match mismatch {
        Mismatch::Organisation => (NotRun::Unauthorised, "this id is not yours"),
        Mismatch::Demand => (NotRun::BadRequest, "this id was used for another request"),
    };
    let message = message.to_owned();
    HomeAnswer::Refused { reason, message }
}

/// Returns a witness's record of an ended request as an answer to a submission,
/// or a refusal if the record belongs to a different request.
pub fn check_record(cx: &Context<'_>, submission: &Submission, recorded: EndRecord) -> HomeAnswer {
    let Some(organisation) = admission::organisation(cx, &submission.token_sha256) else {
        return match cx.tables.ready {
            true => mismatch_refusal(Mismatch::Organisation),
            // A node that is not ready may not have the token yet.
            false => HomeAnswer::Nothing,
        };
    };
    let claim = Claim {
        organisation: organisation.id,
        demand: DemandDigest::of(&ForwardedDemand::from(&submission.demand)),
    };
    match recorded.claim.mismatch(&claim) {
        Some(mismatch) => mismatch_refusal(mismatch),
        None => HomeAnswer::Ended(recorded),
    }
}

/// Sends a home's answer to a caller of this node.
pub fn send(cx: &mut Context<'_>, key: RequestKey, id: &RequestId, answer: HomeAnswer) {
    match answer {
        HomeAnswer::Running => {}
        HomeAnswer::Ended(recorded) => send_end(cx, key, id, recorded),
        HomeAnswer::Refused { reason, message } => {
            answer::reject(cx, key, Some(id.clone()), reason, message);
        }
        HomeAnswer::Forgotten
        | HomeAnswer::Idempotent(_)
        | HomeAnswer::Nothing
        | HomeAnswer::OtherIncarnation => {
            let message = "what became of this id is no longer remembered";
            send_outcome(cx, key, id, Outcome::Unknown, message);
        }
    }
}

fn send_end(cx: &mut Context<'_>, key: RequestKey, id: &RequestId, recorded: EndRecord) {
    if recorded.outcome != Outcome::Completed {
        return send_outcome(cx, key, id, recorded.outcome, &recorded.message);
    }
    let Some(ResultRecord { text, body }) = recorded.result else {
        let message = "it completed, but its result is no longer there";
        return send_outcome(cx, key, id, Outcome::Unknown, message);
    };
    let digest = answer::hex_digest(&text);
    let body = body.and_then(|body| serde_json::from_str(&body).ok());
    let reply = Reply::Admitted { id: id.clone() };
    cx.out.push(Action::Reply { key, reply });
    if !text.is_empty() {
        let reply = Reply::Delta { index: 0, text };
        cx.out.push(Action::Reply { key, reply });
    }
    let done = Done {
        id: Some(id.clone()),
        outcome: Outcome::Completed,
        tokens: recorded.tokens,
        digest,
        body,
        retry_after: None,
        message: recorded.message,
    };
    answer::send_done(cx, key, done);
}

/// Sends a caller the outcome that this node received or proved, without a
/// result.
pub fn send_outcome(
    cx: &mut Context<'_>,
    key: RequestKey,
    id: &RequestId,
    outcome: Outcome,
    message: &str,
) {
    let retryable = matches!(
        outcome,
        Outcome::NotRun(NotRun::OverLimit | NotRun::NoCapacity | NotRun::Draining)
    );
    let done = Done {
        id: Some(id.clone()),
        outcome,
        tokens: 0,
        digest: answer::hex_digest(""),
        body: None,
        retry_after: retryable.then(|| admission::retry_after(cx)),
        message: message.to_owned(),
    };
    answer::send_done(cx, key, done);
}
