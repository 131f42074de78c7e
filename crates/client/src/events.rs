//! Splits bytes into server-sent events.

use bytes::{Bytes, BytesMut};

/// Why bytes are not a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidEvents {
    /// A line is neither a field nor a comment.
    #[error("the bytes are no event")]
    NoEvent,
    /// An event does not end within the largest size.
    #[error("an event is too long")]
    TooLong,
}

/// Splits bytes into server-sent events, however they are divided when they arrive. Each
/// byte is looked at a fixed number of times.
#[derive(Debug)]
pub struct EventSplitter {
    max_event_bytes: usize,
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that are complete lines of an event.
    line_start: usize,
    /// Number of bytes at the start of `buf` behind which the end of a line is looked for.
    scanned: usize,
    /// Whether one of the complete lines is a field.
    has_field: bool,
}

impl EventSplitter {
    /// Creates a splitter of events that have at most `max_event_bytes` bytes.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            max_event_bytes,
            buf: BytesMut::new(),
            line_start: 0,
            scanned: 0,
            has_field: false,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, including the blank line that ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an event. Invalid bytes stay in the buffer, so
    /// that no later event is taken for the next one.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, InvalidEvents> {
        loop {
            let unread = &self.buf[self.scanned..];
            let Some(length) = unread.iter().position(|b| *b == b'\n') else {
                self.scanned = self.buf.len();
                return match self.buf.len() > self.max_event_bytes {
                    true => Err(InvalidEvents::TooLong),
                    false => Ok(None),
                };
            };
            let end = self.scanned + length + 1;
            if end > self.max_event_bytes {
                return Err(InvalidEvents::TooLong);
            }
            let line = Line::parse(&self.buf[self.line_start..end]);
            match line.ok_or(InvalidEvents::NoEvent)? {
                Line::Blank => {
                    let event = self.buf.split_to(end).freeze();
                    self.restart();
                    return Ok(Some(event));
                }
                Line::Comment => {}
                Line::Field => self.has_field = true,
            }
            (self.line_start, self.scanned) = (end, end);
        }
    }

    /// Returns whether the bytes that are left are the beginning of an event.
    /// Blank lines and comments belong to none.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line_start < self.buf.len()
    }

    /// Returns whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the memory of the bytes that are left, in bytes.
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Returns the bytes left at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.restart();
        self.buf.split().freeze()
    }

    /// Discards the bytes of an incomplete event.
    pub fn clear(&mut self) {
        self.restart();
        self.buf = BytesMut::new();
    }

    fn restart(&mut self) {
        (self.line_start, self.scanned, self.has_field) = (0, 0, false);
    }
}

/// A line of a stream, without its end.
enum Line {
    Blank,
    Comment,
    Field,
}

impl Line {
    /// Parses a line with its end. Returns `None` if it is neither a field with a name nor
    /// a comment.
    fn parse(line: &[u8]) -> Option<Self> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || b"-_".contains(b);
        match name {
            [] if line.is_empty() => Some(Self::Blank),
            [] => Some(Self::Comment),
            name => name.iter().all(is_name_byte).then_some(Self::Field),
        }
    }
}
