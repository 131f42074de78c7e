//! Reads server-sent events from the body of a response.

use http_body_util::BodyExt;
use volo_http::body::Body;

use crate::{events::EventSplitter, json::HttpError};

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
    splitter: EventSplitter,
}

impl EventReader {
    /// Creates a reader of the events in `body`.
    pub fn new(body: Body) -> Self {
        Self {
            body,
            splitter: EventSplitter::new(MAX_EVENT_BYTES),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, if the body ends inside an
    /// event, or if an event is invalid, too long or isn't UTF-8 text.
    pub async fn next(&mut self) -> Result<Option<Event>, HttpError> {
        loop {
            let event = self.splitter.next_event();
            if let Some(raw) = event.map_err(|e| HttpError::Malformed(e.to_string()))? {
                return parse_event(&raw).map(Some);
            }
            match self.body.frame().await {
                None if self.splitter.is_empty() => return Ok(None),
                None => {
                    return Err(HttpError::NoResponse(
                        "the body ended inside an event".to_owned(),
                    ));
                }
                Some(Err(e)) => return Err(HttpError::NoResponse(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }
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
