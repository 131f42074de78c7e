//! How long steps and calls take at one backend server, as this node saw it.

use std::time::Duration;

use serde::Serialize;

use crate::time::Timestamp;

/// Steps of at most so many positions tell the time that a step takes at least.
const SHORT_STEP_POSITIONS: u32 = 4;
/// Weight of one observation in a mean.
const MEAN_GAIN: f64 = 0.2;
/// Part of the way to the observed time by which the floor rises with each
/// observation, so that an engine that got slower for good is seen as such.
const FLOOR_RISE: f64 = 0.000_5;
/// Time in which waiting that is no longer observed counts by a factor of e less.
const WAIT_MEMORY: Duration = Duration::from_millis(500);
/// Least part of the floor that is taken as service and not as link.
const LEAST_SERVICE: f64 = 0.1;

/// Times in microseconds, from replies to this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The time that a short step takes when nothing waits, link included.
    pub floor_us: f64,
    /// The mean time of a short step beyond the floor.
    pub wait_us: f64,
    /// Further time for each position of a long step.
    pub position_us: f64,
    /// The last observation.
    #[serde(rename = "observed")]
    pub observed_at: Timestamp,
    /// Work that this node had there at the last observation.
    pub in_flight: u32,
}

impl Latency {
    /// Takes in the time of a step or call that was answered; returns the time
    /// in microseconds that it waited.
    ///
    /// A long step tells as much of waiting as a short one: an engine that
    /// serves begun requests first lets just those wait that begin.
    pub fn observe(
        &mut self,
        now: Timestamp,
        positions: u32,
        took: Duration,
        in_flight: u32,
    ) -> f64 {
        let us = took.as_secs_f64() * 1e6;
        let needed = if positions > SHORT_STEP_POSITIONS {
            let further = (us - self.floor_us).max(0.0) / f64::from(positions);
            self.position_us = track_minimum(self.position_us, further);
            self.floor_us + self.position_us * f64::from(positions)
        } else {
            self.floor_us = track_minimum(self.floor_us, us);
            self.floor_us
        };
        let wait = (us - needed).max(0.0);
        self.wait_us += (wait - self.wait_us) * MEAN_GAIN;
        self.observed_at = now;
        self.in_flight = in_flight;
        wait
    }

    /// Tells whether any step was observed.
    pub fn has_samples(&self) -> bool {
        self.floor_us > 0.0
    }

    /// Returns the time in microseconds that a step is likely to wait.
    pub fn wait_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64() / WAIT_MEMORY.as_secs_f64();
        self.wait_us.max(0.0) * (-age).exp()
    }

    /// Returns the time in microseconds that the server itself needs for a
    /// short step, given the round trip of the link to it.
    pub fn service_us(&self, link_us: f64) -> f64 {
        (self.floor_us - link_us).max(self.floor_us * LEAST_SERVICE)
    }

    /// Returns the time in microseconds that a step is likely to take.
    pub fn step_us(&self, now: Timestamp, positions: u32) -> f64 {
        let further = if positions > SHORT_STEP_POSITIONS {
            self.position_us * f64::from(positions)
        } else {
            0.0
        };
        self.floor_us + self.wait_at(now) + further
    }
}

/// Follows the lowest value at once, and higher ones slowly.
fn track_minimum(old: f64, new: f64) -> f64 {
    if old == 0.0 || new < old {
        new
    } else {
        old + (new - old) * FLOOR_RISE
    }
}
