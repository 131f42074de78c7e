//! Observed step and call times at one backend server.

use std::time::Duration;

use serde::Serialize;

use crate::time::Timestamp;

/// Steps of at most this many positions measure the floor: the time that a step
/// takes without waiting.
const SHORT_STEP_POSITIONS: u32 = 4;
/// Weight of one observation in a moving average.
const MEAN_GAIN: f64 = 0.2;
/// Fraction of the distance to a higher observation by which the floor rises.
/// The floor thereby adapts to an engine that became slower permanently.
const FLOOR_RISE_GAIN: f64 = 0.000_5;
/// Time constant of the exponential decay of the waiting time between
/// observations.
const WAIT_DECAY: Duration = Duration::from_millis(500);
/// Minimum fraction of the floor that is attributed to the server rather than
/// to the link.
const MIN_SERVICE_SHARE: f64 = 0.1;

/// Times in microseconds, measured on replies to this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Time of a short step without waiting, including the link.
    pub floor_us: f64,
    /// Moving average of the time beyond what a step itself needs.
    pub wait_us: f64,
    /// Additional time per position of a long step.
    pub position_us: f64,
    /// When the last observation was made.
    #[serde(rename = "observed")]
    pub observed_at: Timestamp,
    /// Number of sessions and calls that this node had open there at the last
    /// observation.
    pub in_flight: u32,
}

impl Latency {
    /// Records how long an answered step or call took; returns the part of it
    /// spent waiting, in microseconds.
    ///
    /// Long steps count for the waiting time as well as short ones: an engine
    /// that prefers running requests delays only the steps that begin a
    /// session.
    pub fn observe(
        &mut self,
        now: Timestamp,
        positions: u32,
        took: Duration,
        in_flight: u32,
    ) -> f64 {
        let us = took.as_secs_f64() * 1e6;
        let service = if positions > SHORT_STEP_POSITIONS {
            let extra = (us - self.floor_us).max(0.0) / f64::from(positions);
            self.position_us = track_minimum(self.position_us, extra);
            self.floor_us + self.position_us * f64::from(positions)
        } else {
            self.floor_us = track_minimum(self.floor_us, us);
            self.floor_us
        };
        let wait = (us - service).max(0.0);
        self.wait_us += (wait - self.wait_us) * MEAN_GAIN;
        self.observed_at = now;
        self.in_flight = in_flight;
        wait
    }

    /// Returns whether any step has been observed.
    pub fn has_samples(&self) -> bool {
        self.floor_us > 0.0
    }

    /// Returns the expected waiting time of a step at `now`, in microseconds.
    pub fn wait_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64() / WAIT_DECAY.as_secs_f64();
        self.wait_us.max(0.0) * (-age).exp()
    }

    /// Returns the time that the server itself needs for a short step, in
    /// microseconds, given the round-trip time of the link to it.
    pub fn service_us(&self, link_us: f64) -> f64 {
        (self.floor_us - link_us).max(self.floor_us * MIN_SERVICE_SHARE)
    }

    /// Returns the expected time of a step, in microseconds.
    pub fn step_us(&self, now: Timestamp, positions: u32) -> f64 {
        let extra = if positions > SHORT_STEP_POSITIONS {
            self.position_us * f64::from(positions)
        } else {
            0.0
        };
        self.floor_us + self.wait_at(now) + extra
    }
}

/// Tracks a minimum: adopts lower values at once and moves slowly towards
/// higher ones.
fn track_minimum(old: f64, new: f64) -> f64 {
    if old == 0.0 || new < old {
        new
    } else {
        old + (new - old) * FLOOR_RISE_GAIN
    }
}
