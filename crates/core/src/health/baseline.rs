//! The typical slowdown among the servers of one group.

use std::time::Duration;

use serde::Serialize;

/// Factor by which one observation moves the median.
const MEDIAN_STEP: f64 = 1.02;
/// Multiple of the baseline at which slowness starts to count.
const SLOW_FROM: f64 = 3.0;
/// Multiple of the baseline that is as bad as a failure.
const SLOW_FULL: f64 = 10.0;

/// The median slowdown of a group's answers.
///
/// The slowdown of an answer is the time it took divided by the time that the
/// same server needs without waiting. When the whole group is busy the median
/// rises, so that load is not held against single servers. Unlike a mean, it
/// isn't moved by a few slow servers.
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
    /// Records an answer and returns its slowness, from 0 to 1, relative to
    /// `needed`, the server's own time without waiting, and to the group's
    /// baseline. An answer that took less than `min` is never slow.
    pub fn slowness(&mut self, took: Duration, needed: Duration, min: Duration) -> f64 {
        let slowdown = took.as_secs_f64() / needed.as_secs_f64().max(1e-6);
        let ratio = slowdown / self.slowdown;
        self.track(slowdown);
        if took < min {
            return 0.0;
        }
        ((ratio - SLOW_FROM) / (SLOW_FULL - SLOW_FROM)).clamp(0.0, 1.0)
    }

    fn track(&mut self, slowdown: f64) {
        let factor = if slowdown > self.slowdown {
            MEDIAN_STEP
        } else {
            1.0 / MEDIAN_STEP
        };
        self.slowdown = (self.slowdown * factor).max(1.0);
    }
}
