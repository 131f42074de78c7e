//! The share of a service's retry budget that one node may use.
//!
//! All nodes together may send a service a bounded number of repeats in any
//! window. Nodes do not talk about it: each uses its own requests' part and an
//! equal part of the constant, which sum to no more than the whole.
//!
//! Many nodes may start again at once. None of them knows what its life before
//! has used within the window, or how many nodes there are, so that each does
//! without the constant until the window has passed. A list of nodes that
//! shrinks for a moment, as after an outage of the store, must not widen the
//! parts of those that go on, so that the largest of a window counts.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Part of the budget that is used; the rest covers nodes that come and go
/// before the others have noticed.
const USED: f64 = 0.75;

/// Repeats that a node may send in the first window of its life besides its
/// requests' part: one for each node is covered by what `USED` leaves.
const FIRST_REPEATS: f64 = 1.0;

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
        let whole = USED * cfg.slack / f64::from(nodes.max(1));
        // Times count from the start of the process.
        let constant = match now < Timestamp::default() + cfg.window {
            true => whole.min(FIRST_REPEATS),
            false => whole,
        };
        let allowed = USED * cfg.ratio * self.requests.len() as f64 + constant;
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

/// How many nodes share the budgets, as the lists of members said.
#[derive(Debug, Default, Serialize)]
pub struct NodeCount {
    lists: VecDeque<(Timestamp, u32)>,
}

impl NodeCount {
    /// Takes in how many nodes a list named.
    pub fn listed(&mut self, now: Timestamp, nodes: u32) {
        self.lists.push_back((now, nodes));
    }

    /// Returns the most that a list named which was the newest one at some
    /// moment of the window, or `None` before the first list.
    pub fn most(&mut self, now: Timestamp, window: Duration) -> Option<u32> {
        let oldest = now - window;
        while self.lists.get(1).is_some_and(|(at, _)| *at < oldest) {
            self.lists.pop_front();
        }
        self.lists.iter().map(|(_, nodes)| *nodes).max()
    }
}
