//! The circuit breaker of one server.

use serde::Serialize;

use super::{Ramp, Score, Signal};
use crate::{configs::HealthConfig, time::Timestamp};

/// Failures in a row that a sign of a server that takes no work counts as.
const DOWN_WEIGHT: u32 = 2;
/// Slowness from which an answer speaks against a server.
const SLOW: f64 = 0.5;
/// Part by which an ejection is made longer at most, so that nodes that
/// ejected a server together do not come back to it together.
const JITTER: f64 = 0.25;

/// How a server stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It gets its whole part.
    Serving,
    /// It gets a part that rises.
    Ramping,
    /// The breaker is half open: it gets a few probes.
    HalfOpen,
    /// The breaker is open: it gets nothing new.
    Ejected,
}

/// What a sign calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing.
    Unchanged,
    /// The server should be ejected, if the cap allows it.
    Eject,
    /// The probes were answered; the server is back.
    Recovered,
}

/// The times of an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Ejection {
    /// Until when the server gets nothing new.
    pub until: Timestamp,
    /// Until when it gets probes only.
    pub trial_until: Timestamp,
}

/// The health of one server, as one node sees it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Health {
    /// The score.
    pub score: Score,
    /// Failures since the last answer.
    #[serde(rename = "in_a_row")]
    pub consecutive_failures: u32,
    /// The last ejection.
    pub ejection: Option<Ejection>,
    /// Ejections shortly after one another.
    pub ejections: u32,
    /// Probes that were sent since the last ejection.
    pub probes: u32,
    /// Answers since the last ejection ended.
    pub answered: u32,
    /// The last slow start.
    pub ramp: Option<Ramp>,
}

impl Health {
    /// Returns how the server stands at a moment.
    pub fn phase(&self, now: Timestamp) -> Phase {
        match self.ejection {
            Some(ejection) if now < ejection.until => Phase::Ejected,
            Some(ejection) if now < ejection.trial_until => Phase::HalfOpen,
            _ if self.ramp.is_some_and(|ramp| now < ramp.until) => Phase::Ramping,
            _ => Phase::Serving,
        }
    }

    /// Tells whether the cap counts the server as ejected.
    pub fn counts_as_ejected(&self, now: Timestamp) -> bool {
        matches!(self.phase(now), Phase::Ejected | Phase::HalfOpen)
    }

    /// Returns the share of its part that the server may get, from 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        match self.phase(now) {
            Phase::Serving => 1.0,
            Phase::Ramping => self.ramp.map_or(1.0, |ramp| ramp.share(now)),
            Phase::HalfOpen | Phase::Ejected => 0.0,
        }
    }

    /// Takes a sign in.
    pub fn record(&mut self, cfg: &HealthConfig, now: Timestamp, sign: Signal) -> HealthChange {
        self.score.record(now, sign, cfg.half_life);
        match sign {
            Signal::Answered { slowness } if slowness < SLOW => self.answered(cfg, now),
            Signal::Answered { .. } => self.failed(cfg, now, 0),
            Signal::Busy => HealthChange::Unchanged,
            Signal::Failed => self.failed(cfg, now, 1),
            Signal::Down => self.failed(cfg, now, DOWN_WEIGHT),
        }
    }

    fn answered(&mut self, cfg: &HealthConfig, now: Timestamp) -> HealthChange {
        self.consecutive_failures = 0;
        if self.phase(now) != Phase::HalfOpen {
            return HealthChange::Unchanged;
        }
        self.answered += 1;
        if self.answered < cfg.probes {
            return HealthChange::Unchanged;
        }
        self.readmit(cfg, now);
        HealthChange::Recovered
    }

    /// Work that was begun before an ejection says nothing new by failing
    /// while it lasts; otherwise each of it would double the time.
    fn failed(&mut self, cfg: &HealthConfig, now: Timestamp, weight: u32) -> HealthChange {
        self.consecutive_failures = self.consecutive_failures.saturating_add(weight);
        let eject = match self.phase(now) {
            Phase::Ejected => false,
            Phase::HalfOpen => true,
            Phase::Serving | Phase::Ramping => {
                let worst = f64::from(cfg.eject_score_percent) / 100.0;
                let often = self.score.at(now, cfg.half_life) >= worst;
                often || (weight > 0 && self.consecutive_failures >= cfg.eject_after)
            }
        };
        if eject {
            HealthChange::Eject
        } else {
            HealthChange::Unchanged
        }
    }

    /// Ejects the server; `jitter` is drawn from 0 to 1.
    pub fn eject(&mut self, cfg: &HealthConfig, now: Timestamp, jitter: f64) {
        let quiet = |last: Ejection| now.since(last.trial_until) > cfg.max_eject;
        if self.ejection.is_none_or(quiet) {
            self.ejections = 0;
        }
        let doubled = cfg.eject * 2_u32.saturating_pow(self.ejections.min(31));
        let time = doubled.min(cfg.max_eject).mul_f64(1.0 + JITTER * jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.set_ejection(cfg, now + time, now + time + cfg.trial);
    }

    /// Lets the server come back now, by the ramp.
    pub fn readmit(&mut self, cfg: &HealthConfig, now: Timestamp) {
        self.set_ejection(cfg, now, now);
    }

    fn set_ejection(&mut self, cfg: &HealthConfig, until: Timestamp, trial_until: Timestamp) {
        self.ejection = Some(Ejection { until, trial_until });
        (self.consecutive_failures, self.probes, self.answered) = (0, 0, 0);
        self.start_ramp(cfg, trial_until);
    }

    /// Begins a slow start.
    pub fn start_ramp(&mut self, cfg: &HealthConfig, from: Timestamp) {
        let until = from + cfg.ramp;
        self.ramp = Some(Ramp { from, until });
    }

    /// Tells whether a request may be sent as a probe; only one that may run
    /// twice without harm is.
    pub fn accepts_probe(&self, cfg: &HealthConfig, harmless: bool) -> bool {
        harmless && self.probes < cfg.probes
    }
}
