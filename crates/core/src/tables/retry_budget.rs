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
    parts: u64,
    filled: Timestamp,
    begun: bool,
}

impl RetryBudget {
    fn limit(cfg: &RetryConfig) -> u64 {
        u64::from(cfg.budget_burst) * PARTS
    }

    fn fill(&mut self, now: Timestamp, cfg: &RetryConfig) {
        if !self.begun {
            self.begun = true;
            self.parts = Self::limit(cfg);
        }
        let us = now.since(self.filled).as_micros() as u64;
        self.filled = self.filled.max(now);
        let parts = us.saturating_mul(u64::from(cfg.budget_per_s));
        self.parts = self.parts.saturating_add(parts).min(Self::limit(cfg));
    }

    /// Adds the share that one request brings.
    pub fn credit(&mut self, now: Timestamp, cfg: &RetryConfig) {
        self.fill(now, cfg);
        let parts = u64::from(cfg.budget_percent) * PARTS_PER_PERCENT;
        self.parts = (self.parts + parts).min(Self::limit(cfg));
    }

    /// Takes one retry, if there is one left.
    pub fn take(&mut self, now: Timestamp, cfg: &RetryConfig) -> bool {
        self.fill(now, cfg);
        let left = self.parts.checked_sub(PARTS);
        self.parts = left.unwrap_or(self.parts);
        left.is_some()
    }
}
