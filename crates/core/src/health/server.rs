//! The circuit breaker of one server.

use serde::Serialize;

use super::{Ramp, Score, Signal};
use crate::{configs::HealthConfig, time::Timestamp};

/// Number of consecutive failures that a [`Signal::Down`] counts for.
const DOWN_FAILURES: u32 = 2;
/// Slowness from which an answer counts against a server.
const SLOW_ANSWER: f64 = 0.5;
/// Maximum fraction by which an ejection is lengthened at random. Nodes that
/// ejected a server together then don't send it work again all at once.
const MAX_JITTER: f64 = 0.25;

/// The state of a server's circuit breaker and slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The server gets its full share of work.
    Serving,
    /// The server is in slow start; its share of work is rising.
    Ramping,
    /// The breaker is half open: the server gets a few probes.
    HalfOpen,
    /// The breaker is open: the server gets no new work.
    Ejected,
}

/// The change that follows from a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// No change.
    Unchanged,
    /// The server should be ejected if the cap permits it.
    Eject,
    /// The probes were answered and the server is readmitted.
    Recovered,
}

/// The periods of an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Ejection {
    /// The time until which the server gets no new work.
    pub until: Timestamp,
    /// The time until which the server gets only probes.
    pub trial_until: Timestamp,
}

/// The health of one server, as one node sees it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Health {
    /// The health score; a higher score is worse.
    pub score: Score,
    /// Number of failures since the last good answer.
    #[serde(rename = "in_a_row")]
    pub consecutive_failures: u32,
    /// The last ejection.
    pub ejection: Option<Ejection>,
    /// Number of ejections in short succession.
    pub ejections: u32,
    /// Number of probes sent since the last ejection.
    pub probes: u32,
    /// Number of probes answered since the last ejection ended.
    pub answered: u32,
    /// The last slow start.
    pub ramp: Option<Ramp>,
}

impl Health {
    /// Returns the state at `now`.
    pub fn phase(&self, now: Timestamp) -> Phase {
        match self.ejection {
            Some(ejection) if now < ejection.until => Phase::Ejected,
            Some(ejection) if now < ejection.trial_until => Phase::HalfOpen,
            _ if self.ramp.is_some_and(|ramp| now < ramp.until) => Phase::Ramping,
            _ => Phase::Serving,
        }
    }

    /// Returns whether the server counts as ejected for the cap.
    pub fn counts_as_ejected(&self, now: Timestamp) -> bool {
        matches!(self.phase(now), Phase::Ejected | Phase::HalfOpen)
    }

    /// Returns the server's current share of the work of a healthy server, from
    /// 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        match self.phase(now) {
            Phase::Serving => 1.0,
            Phase::Ramping => self.ramp.map_or(1.0, |ramp| ramp.share(now)),
            Phase::HalfOpen | Phase::Ejected => 0.0,
        }
    }

    /// Records a signal and returns the resulting change.
    pub fn record(&mut self, cfg: &HealthConfig, now: Timestamp, signal: Signal) -> HealthChange {
        self.score.record(now, signal, cfg.half_life);
        match signal {
            Signal::Answered { slowness } if slowness < SLOW_ANSWER => {
                self.record_success(cfg, now)
            }
            Signal::Answered { .. } => self.record_failure(cfg, now, 0),
            Signal::Busy => HealthChange::Unchanged,
            Signal::Failed => self.record_failure(cfg, now, 1),
            Signal::Down => self.record_failure(cfg, now, DOWN_FAILURES),
        }
    }

    fn record_success(&mut self, cfg: &HealthConfig, now: Timestamp) -> HealthChange {
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

    /// Records a failure. Failures during an ejection don't extend it: they
    /// come from work that was started before it, and each of them would double
    /// its duration.
    fn record_failure(&mut self, cfg: &HealthConfig, now: Timestamp, count: u32) -> HealthChange {
        self.consecutive_failures = self.consecutive_failures.saturating_add(count);
        let eject = match self.phase(now) {
            Phase::Ejected => false,
            Phase::HalfOpen => true,
            Phase::Serving | Phase::Ramping => {
                let limit = f64::from(cfg.eject_score_percent) / 100.0;
                let over_limit = self.score.at(now, cfg.half_life) >= limit;
                over_limit || (count > 0 && self.consecutive_failures >= cfg.eject_after)
            }
        };
        if eject {
            HealthChange::Eject
        } else {
            HealthChange::Unchanged
        }
    }

    /// Ejects the server; `jitter` is a random number between 0 and 1.
    pub fn eject(&mut self, cfg: &HealthConfig, now: Timestamp, jitter: f64) {
        let long_ago = |last: Ejection| now.since(last.trial_until) > cfg.max_ejection_time;
        if self.ejection.is_none_or(long_ago) {
            self.ejections = 0;
        }
        let doubled = cfg.base_ejection_time * 2_u32.saturating_pow(self.ejections.min(31));
        let duration = doubled
            .min(cfg.max_ejection_time)
            .mul_f64(1.0 + MAX_JITTER * jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.set_ejection(cfg, now + duration, now + duration + cfg.half_open_time);
    }

    /// Readmits the server now, with a slow start.
    pub fn readmit(&mut self, cfg: &HealthConfig, now: Timestamp) {
        self.set_ejection(cfg, now, now);
    }

    fn set_ejection(&mut self, cfg: &HealthConfig, until: Timestamp, trial_until: Timestamp) {
        self.ejection = Some(Ejection { until, trial_until });
        (self.consecutive_failures, self.probes, self.answered) = (0, 0, 0);
        self.start_ramp(cfg, trial_until);
    }

    /// Starts a slow start.
    pub fn start_ramp(&mut self, cfg: &HealthConfig, from: Timestamp) {
        let until = from + cfg.ramp;
        self.ramp = Some(Ramp { from, until });
    }

    /// Returns whether a request may be sent as a probe. Only requests that may
    /// safely run twice are used as probes, which `idempotent` states.
    pub fn accepts_probe(&self, cfg: &HealthConfig, idempotent: bool) -> bool {
        idempotent && self.probes < cfg.probes
    }
}
