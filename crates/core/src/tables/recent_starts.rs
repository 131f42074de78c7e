//! Recent start times of work at one backend server.

use std::collections::VecDeque;

use crate::time::Timestamp;

/// Maximum number of start times that are kept.
const MAX_STARTS: usize = 32;

/// Start times of the most recent sessions and calls that this node began at a
/// backend server.
///
/// They correct a reported queue length for work that was started after the
/// report.
#[derive(Debug, Clone, Default)]
pub struct RecentStarts(VecDeque<Timestamp>);

impl RecentStarts {
    /// Records that work starts now.
    pub fn record(&mut self, now: Timestamp) {
        if self.0.len() == MAX_STARTS {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns the number of kept start times that are not before `at`.
    pub fn count_since(&self, at: Timestamp) -> u32 {
        let later = self.0.iter().rev().take_while(|begun| **begun >= at);
        later.count() as u32
    }
}
