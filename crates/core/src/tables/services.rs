//! How long calls to plain services take, as this node saw it.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{configs::HedgeConfig, ids::ServiceId};

/// Part of the quantile by which one observation moves it at most.
const GAIN: f64 = 0.1;
/// Part of the way to the observed time by which the least time rises with
/// each observation, so that a service that got slower is seen as such.
const LEAST_RISE: f64 = 0.01;

/// Times of one service's calls, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CallTimes {
    /// The time within which the configured percentage of calls is answered.
    pub quantile_us: f64,
    /// The time that a quick call takes.
    #[serde(rename = "least_us")]
    pub min_us: f64,
    /// Calls that were observed.
    #[serde(rename = "observed")]
    pub samples: u32,
}

impl CallTimes {
    /// Follows the quantile: a slower call raises it, a quicker one lowers it,
    /// by parts whose ratio is that of quicker to slower calls.
    fn observe(&mut self, us: f64, percentile: u32) {
        let quicker = f64::from(percentile.min(100)) / 100.0;
        if self.samples == 0 {
            (self.quantile_us, self.min_us) = (us, us);
        }
        self.samples = self.samples.saturating_add(1);
        self.quantile_us *= match us > self.quantile_us {
            true => 1.0 + GAIN * quicker,
            false => 1.0 - GAIN * (1.0 - quicker),
        };
        if us < self.min_us {
            self.min_us = us;
        } else {
            self.min_us += (us - self.min_us) * LEAST_RISE;
        }
    }
}

/// Times by service; there are as many as the configuration names.
#[derive(Debug, Default, Serialize)]
pub struct ServiceTable {
    times: BTreeMap<ServiceId, CallTimes>,
}

impl ServiceTable {
    /// Takes in the time of an attempt.
    pub fn observe(&mut self, service: &ServiceId, took: Duration, cfg: &HedgeConfig) {
        let us = took.as_secs_f64() * 1e6;
        let times = self.times.entry(service.clone()).or_default();
        times.observe(us, cfg.percentile);
    }

    /// Returns the time after which an attempt counts as slow, once enough
    /// calls were observed.
    pub fn slow_threshold(&self, service: &ServiceId, cfg: &HedgeConfig) -> Option<Duration> {
        let times = self.times.get(service)?;
        let learned = times.samples >= cfg.min_calls;
        let after = Duration::from_secs_f64(times.quantile_us / 1e6);
        learned.then(|| after.max(cfg.min_delay))
    }

    /// Returns the time that a call to the service takes at least; zero if
    /// none was observed.
    pub fn min_duration(&self, service: &ServiceId) -> Duration {
        let times = self.times.get(service);
        times.map_or(Duration::ZERO, |t| Duration::from_secs_f64(t.min_us / 1e6))
    }
}
