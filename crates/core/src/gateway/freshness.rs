//! How recently the configuration was seen to be the newest one.

use std::time::Duration;

use serde::Serialize;

use crate::time::Timestamp;

/// When the newest read of the configuration that was answered had been sent.
///
/// The answer may have been under way for any time, so that only the moment of
/// sending proves anything.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Freshness {
    sent: Option<Timestamp>,
}

impl Freshness {
    /// Notes an answered read.
    pub fn confirm(&mut self, sent: Timestamp) {
        self.sent = self.sent.max(Some(sent));
    }

    /// Returns the proof's age.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.sent.map(|sent| now.since(sent))
    }

    /// Tells whether the proof is younger than `bound`.
    pub fn is_fresh(&self, now: Timestamp, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
