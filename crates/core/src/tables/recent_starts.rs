//! When work was begun lately at a backend server.

use std::collections::VecDeque;

use crate::time::Timestamp;

/// Moments that are kept.
const MAX_KEPT: usize = 32;

/// The moments of the last work that this node began at a backend server, by
/// which a report that lags is corrected.
#[derive(Debug, Clone, Default)]
pub struct RecentStarts(VecDeque<Timestamp>);

impl RecentStarts {
    /// Notes work that begins now.
    pub fn record(&mut self, now: Timestamp) {
        if self.0.len() == MAX_KEPT {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Counts the work that began at a moment or later, as far as it is kept.
    pub fn count_since(&self, at: Timestamp) -> u32 {
        let later = self.0.iter().rev().take_while(|begun| **begun >= at);
        later.count() as u32
    }
}
