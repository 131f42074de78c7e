//! Reads server-sent events from a body.

use bytes::BytesMut;
use http_body_util::BodyExt;
use volo_http::body::Body;

use crate::json::HttpError;

/// Longest event that is read, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its name.
    pub name: String,
    /// Its data.
    pub data: String,
}

/// Splits a body into events.
#[derive(Debug)]
pub struct EventReader {
    body: Body,
    buf: BytesMut,
}

impl EventReader {
    /// Reads events from `body`.
    pub fn new(body: Body) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
        }
    }

    /// Returns the next event, or none at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, an event is too long or isn't text.
    pub async fn next(&mut self) -> Result<Option<Event>, HttpError> {
        loop {
            if let Some(end) = find_event_end(&self.buf) {
                let raw = self.buf.split_to(end + 2);
                return parse(&raw).map(Some);
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(HttpError::Malformed("an event is too long".to_owned()));
            }
            match self.body.frame().await {
                None => return Ok(None),
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

fn parse(raw: &[u8]) -> Result<Event, HttpError> {
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
