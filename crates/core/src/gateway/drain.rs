//! Decides which new requests a node still accepts while it shuts down.
//!
//! Callers use a cached node address for some seconds after the node has left
//! the directory, so the node keeps serving during its grace period. It accepts
//! a request only if the request's time limit is reached before the process
//! ends: by then the request has ended, whatever it waits for. The time limits
//! of streams are longer than most grace periods, so a stream is also accepted
//! at first if it is predicted to end in time.

use std::time::Duration;

use super::config::RouteKind;

/// Time before SIGKILL at which every accepted request has ended. A busy
/// process notices the signal late, and a response has to be sent.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time before SIGKILL at which the process ends even if requests that came
/// before the shutdown are still open.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Largest part of the grace period that a margin takes, as a divisor.
const MARGIN_DIVISOR: u32 = 4;
/// Time from the start of a shutdown in which streams are accepted by their
/// prediction. One that takes longer has the rest of the grace period.
const PREDICTION_WINDOW: Duration = Duration::from_millis(2_400);
/// The same as a fraction of the grace period, if that is shorter.
const PREDICTION_FRACTION: f64 = 0.3;

/// The times of a shutdown, counted from its start.
#[derive(Debug, Clone, Copy)]
pub struct DrainSchedule {
    /// Time from the first signal to SIGKILL.
    grace: Duration,
}

impl DrainSchedule {
    /// Returns the schedule for a grace period.
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    fn before_kill(self, margin: Duration) -> Duration {
        self.grace - margin.min(self.grace / MARGIN_DIVISOR)
    }

    /// Returns the time by which every accepted request has ended.
    pub fn last_end(self) -> Duration {
        self.before_kill(END_MARGIN)
    }

    /// Returns the time at which the process ends at the latest.
    pub fn exit(self) -> Duration {
        self.before_kill(EXIT_MARGIN)
    }

    /// Returns whether a request that arrives `elapsed` after the start is
    /// accepted. `time_limit` is the lower of the caller's deadline and the
    /// route's timeout. A rejected request has not run, so the caller can send
    /// it to another node at once.
    pub fn accepts(self, elapsed: Duration, kind: RouteKind, time_limit: Duration) -> bool {
        let is_stream = matches!(kind, RouteKind::Streaming { .. });
        self.ends_in_time(elapsed, time_limit) || (is_stream && self.relies_on_predictions(elapsed))
    }

    /// Returns whether an accepted request is sent to servers that are available
    /// `elapsed` after the start. `time_left` is the time until its time limit, and
    /// `predicted` the time that the servers are predicted to take, if known.
    pub fn allows_send(
        self,
        elapsed: Duration,
        time_left: Duration,
        predicted: Option<Duration>,
    ) -> bool {
        let times = [Some(time_left), predicted];
        let mut times = times.into_iter().flatten();
        times.any(|time| self.ends_in_time(elapsed, time))
    }

    fn ends_in_time(self, elapsed: Duration, time_limit: Duration) -> bool {
        elapsed.saturating_add(time_limit) <= self.last_end()
    }

    fn relies_on_predictions(self, elapsed: Duration) -> bool {
        elapsed < PREDICTION_WINDOW.min(self.grace.mul_f64(PREDICTION_FRACTION))
    }
}
