//! Events of a stream that a backend server sends.

use radishhaven_client::InvalidEvents;

/// Maximum size of an event in bytes, with what has arrived since the event before. A
/// stream with a longer one is broken, so that bytes without any event don't fill the memory.
pub(super) const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Most bytes of events in a row that the caller has received already. A server that does not
/// resume a stream may begin it anew.
pub(super) const MAX_REPEATED_BYTES: usize = 4 * 1024 * 1024;

/// Why received bytes are not a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidStream {
    /// The bytes are no events.
    #[error(transparent)]
    Events(#[from] InvalidEvents),
    /// No new event follows those that the caller has received.
    #[error("all events are repeated")]
    Repeated,
    /// The body does not follow the transfer encoding.
    #[error("the transfer encoding is invalid")]
    Encoding,
}

/// Returns the id of an event, the last one if there are several.
pub(super) fn event_id(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.lines().rev();
    let line = lines.find_map(|line| line.strip_prefix("id:"))?;
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
