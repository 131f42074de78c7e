//! The retry budget: a token bucket that requests and time fill.

use serde::Serialize;

use crate::{configs::RetryConfig, time::Timestamp};

/// Parts of a retry that the bucket counts in.
const PARTS: u64 = 1_000_000;
/// Parts that each percent of a request adds.
const PARTS_PER_PERCENT: u64 = PARTS / 100;

/// Bounds retries by a share of the requests and a rate that is always there.
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
        u64::from(cfg.budget_burst) * PARTS
    }

    fn refill(&mut self, now: Timestamp, cfg: &RetryConfig) {
        if !self.started {
            self.started = true;
            self.units = Self::capacity(cfg);
        }
        let us = now.since(self.filled).as_micros() as u64;
        self.filled = self.filled.max(now);
        let parts = us.saturating_mul(u64::from(cfg.budget_per_s));
        self.units = self.units.saturating_add(parts).min(Self::capacity(cfg));
    }

    /// Adds the share that one request brings.
    pub fn deposit(&mut self, now: Timestamp, cfg: &RetryConfig) {
        self.refill(now, cfg);
        let parts = u64::from(cfg.budget_percent) * PARTS_PER_PERCENT;
        self.units = (self.units + parts).min(Self::capacity(cfg));
    }

    /// Takes one retry, if there is one left.
    pub fn withdraw(&mut self, now: Timestamp, cfg: &RetryConfig) -> bool {
        self.refill(now, cfg);
        let left = self.units.checked_sub(PARTS);
        self.units = left.unwrap_or(self.units);
        left.is_some()
    }
}
