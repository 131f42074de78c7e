//! Splits the body of a response into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. A stream with a longer one is broken, so
/// that bytes without any event don't fill the memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Length of the longest blank line that ends an event, in bytes.
const MAX_TERMINATOR_BYTES: usize = 4;

/// Why received bytes are not a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidStream {
    /// A line is neither a field nor a comment.
    #[error("the bytes are no event")]
    NoEvent,
    /// The body does not follow the transfer encoding.
    #[error("the transfer encoding is invalid")]
    Encoding,
    /// An event does not end within [`MAX_EVENT_BYTES`].
    #[error("an event is too long")]
    TooLong,
}

/// Splits bytes into server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` in which no event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, including the blank line that ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an event.
    pub(super) fn next_event(&mut self) -> Result<Option<Bytes>, InvalidStream> {
        let Some(end) = self.event_end() else {
            self.scanned = self.buf.len().saturating_sub(MAX_TERMINATOR_BYTES - 1);
            return match self.buf.len() > MAX_EVENT_BYTES {
                true => Err(InvalidStream::TooLong),
                false => Ok(None),
            };
        };
        // Invalid bytes stay in the buffer, so that no later event is taken for
        // the next one.
        match is_event(&self.buf[..end]) {
            true => {
                self.scanned = 0;
                Ok(Some(self.buf.split_to(end).freeze()))
            }
            false => Err(InvalidStream::NoEvent),
        }
    }

    fn event_end(&self) -> Option<usize> {
        let rest = &self.buf[self.scanned..];
        let lf_end = find(rest, b"\n\n").map(|at| at + 2);
        let crlf_end = find(rest, b"\r\n\r\n").map(|at| at + 4);
        let end = match (lf_end, crlf_end) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        end.map(|end| self.scanned + end)
    }

    /// Returns whether the bytes that are left are the beginning of an event.
    /// Blank lines and comments belong to none.
    pub(super) fn is_inside_event(&self) -> bool {
        let mut lines = self.buf.split_inclusive(|b| *b == b'\n');
        lines.any(|line| {
            let is_blank = matches!(line, b"\n" | b"\r\n");
            let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
            !is_blank && !is_comment
        })
    }

    /// Returns the bytes left at the end of the stream.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Discards the bytes of an incomplete event.
    pub(super) fn clear(&mut self) {
        self.scanned = 0;
        self.buf.clear();
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len())
        .position(|window| window == pattern)
}

/// Returns whether every line is a field with a name or a comment.
fn is_event(event: &[u8]) -> bool {
    let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || b"-_".contains(b);
    event.split(|b| *b == b'\n').all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        name.iter().all(is_name_byte)
    })
}

/// Returns the id of an event.
pub(super) fn event_id(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(line.trim())
}

/// Returns whether an event is newer than the last forwarded one. Ids that
/// aren't numbers can't be compared; their events count as newer.
pub(super) fn is_newer(last: Option<&str>, event: Option<&str>) -> bool {
    let number = |id: Option<&str>| id.and_then(|id| id.parse::<u64>().ok());
    match (number(last), number(event)) {
        (Some(last), Some(event)) => event > last,
        _ => true,
    }
}
