//! Response bodies of a gateway.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Why a response body ends early. The connection to the caller is then closed
/// without completing the response.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// The backend server's response was interrupted and no other server could
    /// resume it.
    #[error("the backend server's response was interrupted: {0}")]
    Interrupted(String),
    /// A part of the prompt was quarantined before the first event.
    #[error("quarantined after crashes")]
    Quarantined,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    DeadlineExceeded,
}

/// The body of a response to a caller.
pub(super) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of bytes already in memory.
pub(super) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a plain text response with a message for people.
pub(super) fn text_response(status: StatusCode, message: &str) -> Response<Body> {
    let mut resp = Response::new(full(format!("{message}\n")));
    *resp.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    resp.headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    resp
}
