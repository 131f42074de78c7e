//! Response bodies of a gateway.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

use super::caller_account::Holder;

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

/// A response body whose end is recorded at the caller's connection.
#[derive(Debug)]
pub(super) struct CountedBody {
    body: Body,
    holder: Arc<Holder>,
}

impl CountedBody {
    /// Counts the bytes of a body of known size.
    pub(super) fn new(body: Body, holder: Arc<Holder>) -> Self {
        let bytes = http_body::Body::size_hint(&body).exact();
        holder.hold_response(bytes.unwrap_or(0));
        Self { body, holder }
    }
}

impl http_body::Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.holder.end_response();
    }
}
