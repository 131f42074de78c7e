//! Limits the retries that one node sends to a service.
//!
//! All nodes together may send a service a bounded number of retries in any
//! window. The nodes don't coordinate: each one uses the allowance earned by
//! its own requests and an equal share of the constant allowance, which add up
//! to at most the shared bound.
//!
//! If many nodes restart together, none of them has a record of the retries
//! that it sent earlier in the window, or of the number of nodes. Each node
//! therefore limits its share of the constant allowance until its first window
//! has passed. A member list that shrinks for a moment, as after a store
//! outage, must not enlarge the shares of the remaining nodes. The largest node
//! count in the window is therefore used.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Fraction of the shared budget that is used. The rest covers nodes that join
/// or leave before the others have received the new member list.
const USED_FRACTION: f64 = 0.75;

/// Retries that a node may send in its first window in addition to those earned
/// by its requests. One per node is covered by what [`USED_FRACTION`] leaves.
const FIRST_WINDOW_RETRIES: f64 = 1.0;

/// The retry limit that all nodes share.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in each window in addition to those earned by requests.
    pub slack: f64,
}

/// Requests and retries that one node sent to one service within the window.
#[derive(Debug, Default, Serialize)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    #[serde(rename = "repeats")]
    retries: VecDeque<Timestamp>,
}

fn expire(times: &mut VecDeque<Timestamp>, oldest: Timestamp) {
    while times.front().is_some_and(|&time| time < oldest) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Timestamp, cfg: &BudgetConfig) {
        expire(&mut self.requests, now - cfg.window);
        self.requests.push_back(now);
    }

    /// Records a retry and returns `true` if this node's share of the budget
    /// allows it. `nodes` is the number of nodes that share the budget.
    pub fn try_acquire(&mut self, now: Timestamp, cfg: &BudgetConfig, nodes: u32) -> bool {
        let oldest = now - cfg.window;
        expire(&mut self.requests, oldest);
        expire(&mut self.retries, oldest);
        let share = USED_FRACTION * cfg.slack / f64::from(nodes.max(1));
        // Timestamps count from the start of the process.
        let slack = match now < Timestamp::default() + cfg.window {
            true => share.min(FIRST_WINDOW_RETRIES),
            false => share,
        };
        let allowed = USED_FRACTION * cfg.ratio * self.requests.len() as f64 + slack;
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// The number of nodes that share the budgets, taken from member lists.
#[derive(Debug, Default, Serialize)]
pub struct NodeCount {
    lists: VecDeque<(Timestamp, u32)>,
}

impl NodeCount {
    /// Records the number of nodes in a member list that was received at `now`.
    pub fn record(&mut self, now: Timestamp, nodes: u32) {
        self.lists.push_back((now, nodes));
    }

    /// Returns the node count of the latest member list.
    pub fn current(&self) -> Option<u32> {
        self.lists.back().map(|(_, nodes)| *nodes)
    }

    /// Returns the largest node count that was current at any time within the
    /// window, or `None` before the first member list.
    pub fn max_in_window(&mut self, now: Timestamp, window: Duration) -> Option<u32> {
        let oldest = now - window;
        while self.lists.get(1).is_some_and(|(at, _)| *at < oldest) {
            self.lists.pop_front();
        }
        self.lists.iter().map(|(_, nodes)| *nodes).max()
    }
}
