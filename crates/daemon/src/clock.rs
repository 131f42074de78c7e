//! The only place that reads the machine's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use radishhaven_core::{ids::Incarnation, time::Timestamp};

/// A clock that never goes back, counted from the process's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns an incarnation that is higher for a later start on the same VM.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
