//! The only place that reads the machine's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use radishhaven_core::{ids::Incarnation, time::Timestamp};

/// A clock that never goes back, counted from the process's start. It counts
/// the time for which the VM is suspended, in which leases and proofs age.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel does not have.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .unwrap_or_default()
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        let elapsed = since_boot().saturating_sub(self.start);
        Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns an incarnation that is higher for a later start on the same VM.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
