//! Tracks how recently the active configuration was confirmed to be the newest.

use std::time::Duration;

use serde::Serialize;

use crate::time::Timestamp;

/// The latest confirmation that the configuration is the newest one.
///
/// A confirmation counts from the time at which the read was sent. The response
/// may have been delayed by any amount, so its arrival time proves nothing.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Freshness {
    sent: Option<Timestamp>,
}

impl Freshness {
    /// Records a read of the configuration that was sent at `sent` and
    /// answered.
    pub fn confirm(&mut self, sent: Timestamp) {
        self.sent = self.sent.max(Some(sent));
    }

    /// Returns the time since the latest confirmation, or `None` if there is
    /// none yet.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.sent.map(|sent| now.since(sent))
    }

    /// Returns whether the latest confirmation is younger than `bound`.
    pub fn is_fresh(&self, now: Timestamp, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
