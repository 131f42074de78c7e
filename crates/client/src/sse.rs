//! Reads server-sent events from the body of a response.

use bytes::BytesMut;
use http_body_util::BodyExt;
use volo_http::body::Body;

use crate::json::HttpError;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Name of the event.
    pub name: String,
    /// Data of the event.
    pub data: String,
}

/// Splits a body into events.
#[derive(Debug)]
pub struct EventReader {
    body: Body,
    buf: BytesMut,
}

impl EventReader {
    /// Creates a reader of the events in `body`.
    pub fn new(body: Body) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, if the body ends inside an
    /// event, or if an event is too long or isn't UTF-8 text.
    pub async fn next(&mut self) -> Result<Option<Event>, HttpError> {
        loop {
            if let Some(end) = find_event_end(&self.buf) {
                let raw = self.buf.split_to(end + 2);
                return parse_event(&raw).map(Some);
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(HttpError::Malformed(
                    "an event exceeds the size limit".to_owned(),
                ));
            }
            match self.body.frame().await {
                None if self.buf.is_empty() => return Ok(None),
                None => {
                    return Err(HttpError::NoResponse(
                        "the body ended inside an event".to_owned(),
                    ));
                }
                Some(Err(e)) => return Err(HttpError::NoResponse(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn find_event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|pair| pair == b"\n\n")
}

fn parse_event(raw: &[u8]) -> Result<Event, HttpError> {
    let text = std::str::from_utf8(raw).map_err(|e| HttpError::Malformed(e.to_string()))?;
    let mut event = Event {
        name: String::new(),
        data: String::new(),
    };
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("event: ") {
            event.name = name.to_owned();
        } else if let Some(data) = line.strip_prefix("data: ") {
            event.data.push_str(data);
        }
    }
    Ok(event)
}
