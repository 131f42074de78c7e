//! Reads the replies of the decision core and streams them to a caller as
//! server-sent events.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http_body::Frame;
use radishhaven_core::{
    ids::{RequestId, RequestKey},
    message::{Done, Reply},
};
use radishhaven_proto::caller::{Completion, DELTA_EVENT, DONE_EVENT, Delta, REQUEST_ID_HEADER};
use serde::Serialize;
use tokio::sync::mpsc;
use volo_http::{body::Body, response::Response};

use crate::host::Host;

/// Reads the replies to one request. Dropping the reader before the last reply
/// reports that the caller has disconnected.
pub(super) struct ReplyReader {
    host: Arc<Host>,
    key: RequestKey,
    rx: mpsc::UnboundedReceiver<Reply>,
    /// Number of chunks read.
    chunks_read: u32,
    /// Number of read chunks that were reported to the decision core.
    chunks_reported: u32,
}

impl ReplyReader {
    pub(super) fn new(
        host: Arc<Host>,
        key: RequestKey,
        rx: mpsc::UnboundedReceiver<Reply>,
    ) -> Self {
        host.answer_opened();
        Self {
            host,
            key,
            rx,
            chunks_read: 0,
            chunks_reported: 0,
        }
    }

    /// Returns the next reply, or `None` after the last one.
    pub(super) async fn next(&mut self) -> Option<Reply> {
        let reply = self.rx.recv().await;
        if let Some(Reply::Delta { index, .. }) = &reply {
            self.record_read(index + 1);
        }
        reply
    }

    /// Records the number of chunks read. Reports it to the decision core only
    /// every few chunks, to save events.
    fn record_read(&mut self, count: u32) {
        self.chunks_read = count;
        let interval = self.host.settings.flow.chunks_per_report();
        if self.chunks_read - self.chunks_reported >= interval {
            self.chunks_reported = self.chunks_read;
            self.host.chunks_read(self.key, self.chunks_read);
        }
    }
}

impl Drop for ReplyReader {
    fn drop(&mut self) {
        self.host.caller_disconnected(self.key);
        self.host.answer_closed();
    }
}

/// Encodes a server-sent event with JSON data.
fn event<T: Serialize>(name: &str, value: &T) -> Frame<Bytes> {
    let data = serde_json::to_string(value).unwrap_or_default();
    Frame::data(Bytes::from(format!("event: {name}\ndata: {data}\n\n")))
}

/// Returns a response that streams the replies as server-sent events.
pub(super) fn stream(id: RequestId, replies: ReplyReader) -> Response {
    let header_id = HeaderValue::from_str(id.as_str());
    let frames = futures_util::stream::unfold(
        (replies, id, false),
        |(mut replies, id, ended)| async move {
            if ended {
                return None;
            }
            let (frame, ended) = match replies.next().await? {
                Reply::Delta { index, text } => (
                    event(
                        DELTA_EVENT,
                        &Delta {
                            id: id.clone(),
                            index,
                            text,
                        },
                    ),
                    false,
                ),
                Reply::Done(done) => (event(DONE_EVENT, &last_event(&id, done)), true),
                Reply::Admitted { .. } | Reply::Status(_) => return None,
            };
            Some((Ok(frame), (replies, id, ended)))
        },
    );
    let mut resp = Response::new(Body::from_stream(SyncStream::new(frames)));
    let headers = resp.headers_mut();
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    if let Ok(value) = header_id {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    resp
}

fn last_event(id: &RequestId, done: Done) -> Completion {
    Completion {
        id: id.clone(),
        outcome: done.outcome,
        text: None,
        tokens: done.tokens,
        digest: done.digest,
    }
}

type FrameResult = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

/// Makes a stream `Sync` with a lock, because the HTTP library requires it.
struct SyncStream {
    inner:
        std::sync::Mutex<std::pin::Pin<Box<dyn futures_util::Stream<Item = FrameResult> + Send>>>,
}

impl SyncStream {
    fn new(inner: impl futures_util::Stream<Item = FrameResult> + Send + 'static) -> Self {
        Self {
            inner: std::sync::Mutex::new(Box::pin(inner)),
        }
    }
}

impl futures_util::Stream for SyncStream {
    type Item = FrameResult;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<FrameResult>> {
        let inner = self
            .inner
            .get_mut()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        inner.as_mut().poll_next(cx)
    }
}
