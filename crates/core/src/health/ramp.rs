//! The slow start of a server that is new or comes back.

use serde::Serialize;

use crate::time::Timestamp;

/// A time over which a server's share rises evenly from nothing to the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Ramp {
    /// When the share begins to rise.
    pub from: Timestamp,
    /// When the server has its whole part.
    pub until: Timestamp,
}

impl Ramp {
    /// Returns the share at a moment, from 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        if now >= self.until {
            return 1.0;
        }
        let whole = self.until.since(self.from).as_secs_f64();
        now.since(self.from).as_secs_f64() / whole
    }

    /// Returns the work that a server may have at one time with a share, when
    /// servers that have their whole part have `usual` on average.
    pub fn max_in_flight(share: f64, mean: f64) -> f64 {
        (share * mean).max(1.0)
    }
}
