//! Bodies of a gateway's answers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Why an answer breaks off; the connection then ends without completing it.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// The backend server broke off and nothing could go on in its place.
    #[error("the backend server broke off: {0}")]
    Broken(String),
    /// The request's time is up.
    #[error("the request's time is up")]
    TimeUp,
}

/// The body of an answer.
pub(super) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a body of bytes that are all there.
pub(super) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes an answer with a text for people.
pub(super) fn text(status: StatusCode, message: &str) -> Response<Body> {
    let mut resp = Response::new(full(format!("{message}\n")));
    *resp.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    resp.headers_mut().insert(header::CONTENT_TYPE, plain);
    resp
}
