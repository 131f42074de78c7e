//! Builds the responses to callers that are not streams.

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

/// Header: time after which a rejected caller should retry, in milliseconds.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Returns a duration in whole milliseconds.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the HTTP status of an outcome.
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

/// Adds the headers for the outcome, the request id and the retry delay.
pub(super) fn with_outcome_headers(mut resp: Response, done: &Done) -> Response {
    let mut insert = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            resp.headers_mut().insert(name, value);
        }
    };
    insert(OUTCOME_HEADER, done.outcome.kind().to_owned());
    if let Some(id) = &done.id {
        insert(REQUEST_ID_HEADER, id.to_string());
    }
    if let Some(retry_after) = done.retry_after {
        insert(RETRY_AFTER_MS_HEADER, millis(retry_after).to_string());
        insert("retry-after", retry_after.as_secs_f64().ceil().to_string());
    }
    resp
}

/// Returns the response to a request that ended without a result.
pub(super) fn error_response(done: Done) -> Response {
    let body = ErrorBody {
        outcome: done.outcome,
        message: done.message.clone(),
    };
    with_outcome_headers(json(status_of(done.outcome), &body), &done)
}

/// Returns the response of a node that does not serve yet, because its peers may
/// have a newer configuration.
pub(super) fn not_ready(retry_after: Duration) -> Response {
    error_response(Done {
        id: None,
        outcome: Outcome::NotRun(NotRun::NoCapacity),
        tokens: 0,
        digest: String::new(),
        body: None,
        retry_after: Some(retry_after),
        message: "the node is not ready; ask another one, or again later".to_owned(),
    })
}

/// Returns the response to a request whose outcome is unknown because the node is
/// shutting down.
pub(super) fn node_ending() -> Response {
    let outcome = Outcome::Unknown;
    let message = "the node is ending".to_owned();
    json(StatusCode::GATEWAY_TIMEOUT, &ErrorBody { outcome, message })
}

/// Returns the response to a completion that was not streamed.
pub(super) fn completion_response(done: Done, text: String) -> Response {
    let Some(id) = done.id.clone() else {
        return error_response(done);
    };
    let (outcome, tokens, digest) = (done.outcome, done.tokens, done.digest.clone());
    if outcome != Outcome::Completed {
        return error_response(done);
    }
    let body = Completion {
        id,
        outcome,
        text: Some(text),
        tokens,
        digest,
    };
    with_outcome_headers(json(StatusCode::OK, &body), &done)
}

/// Returns the response to a call of a plain service.
pub(super) fn call_response(done: Done) -> Response {
    let Some(id) = done.id.clone() else {
        return error_response(done);
    };
    if done.outcome != Outcome::Completed {
        return error_response(done);
    }
    let body = ServiceAnswer {
        id,
        outcome: done.outcome,
        body: done.body.clone(),
    };
    with_outcome_headers(json(StatusCode::OK, &body), &done)
}
