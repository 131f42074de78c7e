//! The retry budget: a token bucket that is refilled by requests and over time.

use serde::Serialize;

use crate::{configs::RetryConfig, time::Timestamp};

/// Units that one retry costs.
const UNITS_PER_RETRY: u64 = 1_000_000;
/// Units that each percent of a request adds.
const UNITS_PER_PERCENT: u64 = UNITS_PER_RETRY / 100;

/// Bounds retries to a percentage of the requests plus a constant rate.
#[derive(Debug, Default, Serialize)]
pub struct RetryBudget {
    #[serde(rename = "parts")]
    units: u64,
    filled: Timestamp,
    #[serde(rename = "begun")]
    started: bool,
}

impl RetryBudget {
    fn capacity(cfg: &RetryConfig) -> u64 {
        u64::from(cfg.budget_burst) * UNITS_PER_RETRY
    }

    fn refill(&mut self, now: Timestamp, cfg: &RetryConfig) {
        if !self.started {
            self.started = true;
            self.units = Self::capacity(cfg);
        }
        let us = now.since(self.filled).as_micros() as u64;
        self.filled = self.filled.max(now);
        let units = us.saturating_mul(u64::from(cfg.budget_per_s));
        self.units = self.units.saturating_add(units).min(Self::capacity(cfg));
    }

    /// Adds the share of one request.
    pub fn deposit(&mut self, now: Timestamp, cfg: &RetryConfig) {
        self.refill(now, cfg);
        let units = u64::from(cfg.budget_percent) * UNITS_PER_PERCENT;
        self.units = (self.units + units).min(Self::capacity(cfg));
    }

    /// Withdraws one retry; returns false if the budget is exhausted.
    pub fn withdraw(&mut self, now: Timestamp, cfg: &RetryConfig) -> bool {
        self.refill(now, cfg);
        let left = self.units.checked_sub(UNITS_PER_RETRY);
        self.units = left.unwrap_or(self.units);
        left.is_some()
    }
}
