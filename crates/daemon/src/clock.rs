//! Reads the machine's clocks; no other module does.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use radishhaven_core::{ids::Incarnation, time::Timestamp};

/// A monotonic clock that starts with the process. It includes the time for
/// which the VM is suspended, because leases and freshness confirmations expire
/// during that time too.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

fn since_boot() -> Duration {
    // The call fails only if the kernel does not have this clock.
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

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Timestamp {
        let elapsed = since_boot().saturating_sub(self.start);
        Timestamp(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns a new incarnation, the Unix time in milliseconds: a later start on the
/// same VM gets a higher one.
pub fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
