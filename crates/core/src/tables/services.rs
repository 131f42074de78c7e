//! Observed call times of plain services.
//!
//! A plain service is a backend server that answers each call with a single
//! reply.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{configs::HedgeConfig, ids::ServiceId};

/// Maximum relative change of the quantile by one observation.
const QUANTILE_GAIN: f64 = 0.1;
/// Fraction of the distance to a higher observation by which the minimum rises.
/// The minimum thereby adapts to a service that became slower.
const MIN_RISE_GAIN: f64 = 0.01;

/// Call times of one service, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CallTimes {
    /// Estimated time within which the configured percentage of calls is
    /// answered.
    pub quantile_us: f64,
    /// Estimated minimum time of a call.
    #[serde(rename = "least_us")]
    pub min_us: f64,
    /// Number of observed calls.
    #[serde(rename = "observed")]
    pub samples: u32,
}

impl CallTimes {
    /// Updates the quantile and minimum estimates.
    ///
    /// A slower call raises the quantile and a faster one lowers it. The two
    /// steps are weighted such that they cancel out when the configured
    /// percentage of calls is faster.
    fn observe(&mut self, us: f64, percentile: u32) {
        let faster = f64::from(percentile.min(100)) / 100.0;
        if self.samples == 0 {
            (self.quantile_us, self.min_us) = (us, us);
        }
        self.samples = self.samples.saturating_add(1);
        self.quantile_us *= match us > self.quantile_us {
            true => 1.0 + QUANTILE_GAIN * faster,
            false => 1.0 - QUANTILE_GAIN * (1.0 - faster),
        };
        if us < self.min_us {
            self.min_us = us;
        } else {
            self.min_us += (us - self.min_us) * MIN_RISE_GAIN;
        }
    }
}

/// Call times of all services in the configuration.
#[derive(Debug, Default, Serialize)]
pub struct ServiceTable {
    times: BTreeMap<ServiceId, CallTimes>,
}

impl ServiceTable {
    /// Records the time of an answered attempt.
    pub fn observe(&mut self, service: &ServiceId, took: Duration, cfg: &HedgeConfig) {
        let us = took.as_secs_f64() * 1e6;
        let times = self.times.entry(service.clone()).or_default();
        times.observe(us, cfg.percentile);
    }

    /// Returns the time after which an attempt counts as slow, or `None` until
    /// enough calls have been observed.
    pub fn slow_threshold(&self, service: &ServiceId, cfg: &HedgeConfig) -> Option<Duration> {
        let times = self.times.get(service)?;
        let enough_samples = times.samples >= cfg.min_calls;
        let after = Duration::from_secs_f64(times.quantile_us / 1e6);
        enough_samples.then(|| after.max(cfg.min_delay))
    }

    /// Returns the estimated minimum time of a call to the service, or zero if
    /// none has been observed.
    pub fn min_duration(&self, service: &ServiceId) -> Duration {
        let times = self.times.get(service);
        times.map_or(Duration::ZERO, |t| Duration::from_secs_f64(t.min_us / 1e6))
    }
}
