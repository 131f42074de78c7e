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
///
/// A blank line ends an event if a field with data is before it. Other bytes, such as
/// comments, belong to the event that follows them.
#[derive(Debug)]
pub struct EventSplitter {
    max_event_bytes: usize,
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that are complete lines.
    line_start: usize,
    /// Number of bytes at the start of `buf` behind which the end of a line is looked for.
    scanned: usize,
    /// Whether a field follows the last blank line.
    has_field: bool,
    /// Whether a field with data follows the last event.
    has_data: bool,
    /// Bytes before the next event that were taken already.
    taken: usize,
    has_comment: bool,
}

impl EventSplitter {
    /// Creates a splitter of events that have at most `max_event_bytes` bytes, with those
    /// that have arrived since the event before.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            max_event_bytes,
            buf: BytesMut::new(),
            line_start: 0,
            scanned: 0,
            has_field: false,
            has_data: false,
            taken: 0,
            has_comment: false,
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
                return match self.taken + self.buf.len() > self.max_event_bytes {
                    true => Err(InvalidEvents::TooLong),
                    false => Ok(None),
                };
            };
            let end = self.scanned + length + 1;
            if self.taken + end > self.max_event_bytes {
                return Err(InvalidEvents::TooLong);
            }
            let line = Line::parse(&self.buf[self.line_start..end]);
            match line.ok_or(InvalidEvents::NoEvent)? {
                Line::Blank if self.has_data => {
                    let event = self.buf.split_to(end).freeze();
                    self.restart();
                    return Ok(Some(event));
                }
                Line::Blank => self.has_field = false,
                Line::Comment => self.has_comment = true,
                Line::Field => self.has_field = true,
                Line::Data => (self.has_field, self.has_data) = (true, true),
            }
            (self.line_start, self.scanned) = (end, end);
        }
    }

    /// Returns whether the bytes that are left are the beginning of an event.
    /// Blank lines and comments belong to none.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line_start < self.buf.len()
    }

    /// Returns whether a comment has arrived since the last event and the last call.
    pub fn take_comment(&mut self) -> bool {
        std::mem::take(&mut self.has_comment)
    }

    /// Takes the complete lines that belong to no event so far.
    pub fn take_idle_lines(&mut self) -> Bytes {
        if self.has_field || self.has_data {
            return Bytes::new();
        }
        let lines = self.buf.split_to(self.line_start).freeze();
        self.taken += lines.len();
        self.scanned -= lines.len();
        self.line_start = 0;
        lines
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
        (self.line_start, self.scanned, self.taken) = (0, 0, 0);
        (self.has_field, self.has_data, self.has_comment) = (false, false, false);
    }
}

/// A line of a stream, without its end.
enum Line {
    Blank,
    Comment,
    Field,
    Data,
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
            b"data" => Some(Self::Data),
            name => name.iter().all(is_name_byte).then_some(Self::Field),
        }
    }
}
