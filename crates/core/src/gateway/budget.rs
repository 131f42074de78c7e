//! The share of a service's retry budget that one node may use.
//!
//! All nodes together may send a service a bounded number of repeats in any
//! window. Nodes do not talk about it: each uses its own requests' part and an
//! equal part of the constant, which sum to no more than the whole.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Part of the budget that is used; the rest covers nodes that come and go
/// before the others have noticed.
const USED: f64 = 0.75;

/// The bound that all nodes keep together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BudgetConfig {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window: Duration,
    /// Repeats that are allowed besides.
    pub slack: f64,
}

/// Requests and repeats of one node to one service within the window.
#[derive(Debug, Default, Serialize)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

fn expire(times: &mut VecDeque<Timestamp>, oldest: Timestamp) {
    while times.front().is_some_and(|&time| time < oldest) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn request(&mut self, now: Timestamp, cfg: &BudgetConfig) {
        expire(&mut self.requests, now - cfg.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if this node's share has one left; `nodes` is the
    /// number of nodes that share the budget.
    pub fn take(&mut self, now: Timestamp, cfg: &BudgetConfig, nodes: u32) -> bool {
        let oldest = now - cfg.window;
        expire(&mut self.requests, oldest);
        expire(&mut self.repeats, oldest);
        let slack = cfg.slack / f64::from(nodes.max(1));
        let allowed = USED * (cfg.ratio * self.requests.len() as f64 + slack);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}
