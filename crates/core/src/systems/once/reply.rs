//! Gives callers what a request's home or its witnesses know of it.

use super::super::{Context, admission, answer};
use crate::{
    ids::{RequestId, RequestKey},
    message::{Action, Done, Reply, Submission},
    once::{Claim, DemandDigest, EndRecord, ForwardedDemand, HomeAnswer, Mismatch, ResultRecord},
    outcome::{NotRun, Outcome},
};

/// Says why a request can't use an id that stands for another one.
pub fn refusal(mismatch: Mismatch) -> HomeAnswer {
    let (reason, message) = match mismatch {
        Mismatch::Organisation => (NotRun::Unauthorised, "this id is not yours"),
        Mismatch::Demand => (NotRun::BadRequest, "this id was used for another request"),
    };
    let message = message.to_owned();
    HomeAnswer::Refused { reason, message }
}

/// Keeps a witness's record from a request that it is not about.
pub fn checked(cx: &Context<'_>, submission: &Submission, recorded: EndRecord) -> HomeAnswer {
    let Some(organisation) = admission::organisation(cx, &submission.token_sha256) else {
        return match cx.tables.ready {
            true => refusal(Mismatch::Organisation),
            // The token may be a new one.
            false => HomeAnswer::Nothing,
        };
    };
    let claim = Claim {
        organisation: organisation.id,
        demand: DemandDigest::of(&ForwardedDemand::from(&submission.demand)),
    };
    match recorded.claim.mismatch(&claim) {
        Some(mismatch) => refusal(mismatch),
        None => HomeAnswer::Ended(recorded),
    }
}

/// Gives a caller of this node what a home knows of its request.
pub fn give(cx: &mut Context<'_>, key: RequestKey, id: &RequestId, answer: HomeAnswer) {
    match answer {
        HomeAnswer::Running => {}
        HomeAnswer::Ended(recorded) => give_recorded(cx, key, id, recorded),
        HomeAnswer::Refused { reason, message } => {
            answer::reject(cx, key, Some(id.clone()), reason, message);
        }
        HomeAnswer::Forgotten
        | HomeAnswer::Idempotent(_)
        | HomeAnswer::Nothing
        | HomeAnswer::OtherIncarnation => {
            let message = "what became of this id is no longer remembered";
            end(cx, key, id, Outcome::Unknown, message);
        }
    }
}

fn give_recorded(cx: &mut Context<'_>, key: RequestKey, id: &RequestId, recorded: EndRecord) {
    if recorded.outcome != Outcome::Completed {
        return end(cx, key, id, recorded.outcome, &recorded.message);
    }
    let Some(ResultRecord { text, body }) = recorded.result else {
        let message = "it completed, but its result is no longer there";
        return end(cx, key, id, Outcome::Unknown, message);
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

/// Ends a request whose outcome this node was told or has proved.
pub fn end(cx: &mut Context<'_>, key: RequestKey, id: &RequestId, outcome: Outcome, message: &str) {
    let again = matches!(
        outcome,
        Outcome::NotRun(NotRun::OverLimit | NotRun::NoCapacity | NotRun::Draining)
    );
    let done = Done {
        id: Some(id.clone()),
        outcome,
        tokens: 0,
        digest: answer::hex_digest(""),
        body: None,
        retry_after: again.then(|| admission::retry_after(cx)),
        message: message.to_owned(),
    };
    answer::send_done(cx, key, done);
}
