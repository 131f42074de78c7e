//! Reads an answer from the decisions, and writes it as server-sent events.

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

/// Reads one answer; dropping it before the end says that the caller is gone.
pub(super) struct AnswerReader {
    host: Arc<Host>,
    key: RequestKey,
    rx: mpsc::UnboundedReceiver<Reply>,
    /// Parts that were taken, and how many of them the decisions know of.
    taken: u32,
    reported: u32,
}

impl AnswerReader {
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
            taken: 0,
            reported: 0,
        }
    }

    pub(super) async fn next(&mut self) -> Option<Reply> {
        let reply = self.rx.recv().await;
        if let Some(Reply::Delta { index, .. }) = &reply {
            self.took(index + 1);
        }
        reply
    }

    /// Tells the decisions what was taken, once it is worth an event.
    fn took(&mut self, parts: u32) {
        self.taken = parts;
        let every = self.host.settings.flow.chunks_per_report();
        if self.taken - self.reported >= every {
            self.reported = self.taken;
            self.host.taken(self.key, self.taken);
        }
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.host.caller_gone(self.key);
        self.host.answer_closed();
    }
}

fn event<T: Serialize>(name: &str, value: &T) -> Frame<Bytes> {
    let data = serde_json::to_string(value).unwrap_or_default();
    Frame::data(Bytes::from(format!("event: {name}\ndata: {data}\n\n")))
}

pub(super) fn stream(id: RequestId, answer: AnswerReader) -> Response {
    let header_id = HeaderValue::from_str(id.as_str());
    let parts =
        futures_util::stream::unfold((answer, id, false), |(mut answer, id, over)| async move {
            if over {
                return None;
            }
            let (frame, over) = match answer.next().await? {
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
            Some((Ok(frame), (answer, id, over)))
        });
    let mut resp = Response::new(Body::from_stream(SyncStream::new(parts)));
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

type Part = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

/// The HTTP library asks for a stream that is `Sync`; a lock makes it so.
struct SyncStream {
    inner: std::sync::Mutex<std::pin::Pin<Box<dyn futures_util::Stream<Item = Part> + Send>>>,
}

impl SyncStream {
    fn new(inner: impl futures_util::Stream<Item = Part> + Send + 'static) -> Self {
        Self {
            inner: std::sync::Mutex::new(Box::pin(inner)),
        }
    }
}

impl futures_util::Stream for SyncStream {
    type Item = Part;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Part>> {
        let inner = self
            .inner
            .get_mut()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        inner.as_mut().poll_next(cx)
    }
}
