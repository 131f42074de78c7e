//! What is usual among the servers of one stage or service.

use std::time::Duration;

use serde::Serialize;

/// Factor by which the median follows one observation.
const STEP: f64 = 1.02;
/// Times the usual stretch at which slowness begins to count.
const SLOW_FROM: f64 = 3.0;
/// Times the usual stretch that is as bad as a failure.
const SLOW_FULL: f64 = 10.0;

/// The median of how far the times of answers exceed the servers' own.
///
/// A stretch is the time of an answer over what the same server needs when
/// nothing waits. Its median over a group is high when the whole group has
/// much to do, which is no server's fault; and a few slow servers do not move
/// it, as they would move a mean.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencyBaseline {
    #[serde(rename = "stretch")]
    slowdown: f64,
}

impl Default for LatencyBaseline {
    fn default() -> Self {
        Self { slowdown: 1.0 }
    }
}

impl LatencyBaseline {
    /// Takes an answer in, and returns its slowness from 0 to 1 against the
    /// server's own time `needed` and against the others of the group. An
    /// answer within `least` is never slow.
    pub fn slowness(&mut self, took: Duration, needed: Duration, least: Duration) -> f64 {
        let stretch = took.as_secs_f64() / needed.as_secs_f64().max(1e-6);
        let over = stretch / self.slowdown;
        self.track(stretch);
        if took < least {
            return 0.0;
        }
        ((over - SLOW_FROM) / (SLOW_FULL - SLOW_FROM)).clamp(0.0, 1.0)
    }

    fn track(&mut self, stretch: f64) {
        let factor = if stretch > self.slowdown {
            STEP
        } else {
            1.0 / STEP
        };
        self.slowdown = (self.slowdown * factor).max(1.0);
    }
}
