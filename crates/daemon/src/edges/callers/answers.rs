//! Writes answers that are not streams, with their outcomes.

use std::time::Duration;

use http::{HeaderValue, StatusCode};
use radishhaven_core::{
    message::Done,
    outcome::{NotRun, Outcome},
};
use radishhaven_proto::caller::{
    Completion, ErrorBody, OUTCOME_HEADER, REQUEST_ID_HEADER, ServiceAnswer,
};
use volo_http::response::Response;

use crate::edges::http::json;

/// Header: milliseconds after which a rejected caller should ask again.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(super) fn status_of(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Completed => StatusCode::OK,
        Outcome::NotRun(NotRun::OverLimit) => StatusCode::TOO_MANY_REQUESTS,
        Outcome::NotRun(NotRun::BadRequest) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(NotRun::Unauthorised) => StatusCode::UNAUTHORIZED,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Failed => StatusCode::BAD_GATEWAY,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

pub(super) fn finish(mut resp: Response, done: &Done) -> Response {
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            resp.headers_mut().insert(name, value);
        }
    };
    put(OUTCOME_HEADER, done.outcome.kind().to_owned());
    if let Some(id) = &done.id {
        put(REQUEST_ID_HEADER, id.to_string());
    }
    if let Some(after) = done.retry_after {
        put(RETRY_AFTER_MS_HEADER, millis(after).to_string());
        put("retry-after", after.as_secs_f64().ceil().to_string());
    }
    resp
}

pub(super) fn ended_before_start(done: Done) -> Response {
    let body = ErrorBody {
        outcome: done.outcome,
        message: done.message.clone(),
    };
    finish(json(status_of(done.outcome), &body), &done)
}

/// The node must not serve yet, because its peers may hold a newer configuration.
pub(super) fn not_ready(retry_after: Duration) -> Response {
    ended_before_start(Done {
        id: None,
        outcome: Outcome::NotRun(NotRun::NoCapacity),
        tokens: 0,
        digest: String::new(),
        body: None,
        retry_after: Some(retry_after),
        message: "the node is not ready; ask another one, or again later".to_owned(),
    })
}

/// The node is ending before it could decide; the caller sees no outcome.
pub(super) fn cut() -> Response {
    let outcome = Outcome::Unknown;
    let message = "the node is ending".to_owned();
    json(StatusCode::GATEWAY_TIMEOUT, &ErrorBody { outcome, message })
}

pub(super) fn whole(done: Done, text: String) -> Response {
    let Some(id) = done.id.clone() else {
        return ended_before_start(done);
    };
    let (outcome, tokens, digest) = (done.outcome, done.tokens, done.digest.clone());
    if outcome != Outcome::Completed {
        return ended_before_start(done);
    }
    let body = Completion {
        id,
        outcome,
        text: Some(text),
        tokens,
        digest,
    };
    finish(json(StatusCode::OK, &body), &done)
}

pub(super) fn called(done: Done) -> Response {
    let Some(id) = done.id.clone() else {
        return ended_before_start(done);
    };
    if done.outcome != Outcome::Completed {
        return ended_before_start(done);
    }
    let body = ServiceAnswer {
        id,
        outcome: done.outcome,
        body: done.body.clone(),
    };
    finish(json(StatusCode::OK, &body), &done)
}
