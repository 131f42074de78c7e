//! The slow start of a server that is new or was readmitted.

use serde::Serialize;

use crate::time::Timestamp;

/// A period over which a server's share of the work rises linearly from zero to
/// its full share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Ramp {
    /// When the share starts to rise.
    pub from: Timestamp,
    /// When the server reaches its full share.
    pub until: Timestamp,
}

impl Ramp {
    /// Returns the share at `now`, from 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        if now >= self.until {
            return 1.0;
        }
        let duration = self.until.since(self.from).as_secs_f64();
        now.since(self.from).as_secs_f64() / duration
    }

    /// Returns how many requests a server with this share may have in flight,
    /// where `mean` is the mean number in flight at servers with a full share.
    /// The result is at least 1.
    pub fn max_in_flight(share: f64, mean: f64) -> f64 {
        (share * mean).max(1.0)
    }
}
