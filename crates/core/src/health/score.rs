//! Health signals from requests, and the score that they add up to.

use std::time::Duration;

use serde::Serialize;

use crate::time::Timestamp;

/// Weight of one signal in the score.
const GAIN: f64 = 0.2;
/// Severity of a refusal because of load, relative to a failure. A server that
/// only ever refuses stays below the score at which it would be ejected.
const BUSY_SEVERITY: f64 = 0.4;

/// What one exchange reveals about the health of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// The server answered. A slowness of 0 stands for a typical time, and 1
    /// for a time that is as bad as a failure.
    Answered {
        /// The slowness, from 0 to 1.
        slowness: f64,
    },
    /// The server refused the request because of its load.
    Busy,
    /// The answer was lost, malformed or belonged to another request.
    Failed,
    /// The server accepts no work: it is unreachable, does not answer in time,
    /// is leaving, or doesn't hold what was requested.
    Down,
}

impl Signal {
    /// Returns the severity of the signal, from 0 to 1.
    pub fn severity(self) -> f64 {
        match self {
            Signal::Answered { slowness } => slowness.clamp(0.0, 1.0),
            Signal::Busy => BUSY_SEVERITY,
            Signal::Failed | Signal::Down => 1.0,
        }
    }
}

/// The moving average of the severity of recent signals, from 0 to 1. It decays
/// while there are none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Score {
    value: f64,
    at: Timestamp,
}

impl Score {
    /// Returns the score at `now`.
    pub fn at(&self, now: Timestamp, half_life: Duration) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let half_lives =
            now.since(self.at).as_secs_f64() / half_life.as_secs_f64().max(f64::EPSILON);
        self.value * (-half_lives).exp2()
    }

    /// Records a signal.
    pub fn record(&mut self, now: Timestamp, signal: Signal, half_life: Duration) {
        let value = self.at(now, half_life);
        self.value = value + (signal.severity() - value) * GAIN;
        self.at = now;
    }
}
