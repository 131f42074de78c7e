//! What requests show of a server, and the score that sums it up.

use std::time::Duration;

use serde::Serialize;

use crate::time::Timestamp;

/// Weight of one sign in the score.
const GAIN: f64 = 0.2;
/// What a refusal for lack of room counts as, against a failure; a server that
/// does nothing but refuse stays below the score that ejects.
const BUSY: f64 = 0.4;

/// What one exchange shows of the server that took part in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Signal {
    /// It answered; the slowness is 0 for the usual time and 1 for a time that
    /// is as bad as a failure.
    Answered {
        /// The degree.
        slowness: f64,
    },
    /// It refused, and would have taken the request with less to do.
    Busy,
    /// The answer was lost, malformed or belonged to something else.
    Failed,
    /// It takes no work: it can't be reached, does not answer within the
    /// bound, leaves, or does not hold what was asked for.
    Down,
}

impl Signal {
    /// Returns how bad it is, from 0 to 1.
    pub fn severity(self) -> f64 {
        match self {
            Signal::Answered { slowness } => slowness.clamp(0.0, 1.0),
            Signal::Busy => BUSY,
            Signal::Failed | Signal::Down => 1.0,
        }
    }
}

/// The mean badness of late signs, from 0 to 1; it falls while there are none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Score {
    value: f64,
    at: Timestamp,
}

impl Score {
    /// Returns the score at a moment.
    pub fn at(&self, now: Timestamp, half_life: Duration) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let lives = now.since(self.at).as_secs_f64() / half_life.as_secs_f64().max(f64::EPSILON);
        self.value * (-lives).exp2()
    }

    /// Takes a sign in.
    pub fn record(&mut self, now: Timestamp, sign: Signal, half_life: Duration) {
        let value = self.at(now, half_life);
        self.value = value + (sign.severity() - value) * GAIN;
        self.at = now;
    }
}
