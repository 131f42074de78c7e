//! Decides when a node lists the members at the store.
//!
//! A list changes in two steps: the group's generation changes at once, but a new
//! member is listed only when the partitions have moved to it. A node therefore
//! lists the members at the change and once more when they have moved.

use std::time::Duration;

use crate::time::Timestamp;

/// Shortest time from the first join, or from a list, to the next list.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(600);
/// Shortest time between two lists while the node is not listed itself.
const UNLISTED_INTERVAL: Duration = Duration::from_millis(1_300);
/// Interval at which the members are listed while the group doesn't change.
const LIST_INTERVAL: Duration = Duration::from_millis(20_000);

/// The times at which one node lists the members.
#[derive(Debug)]
pub struct ListSchedule {
    /// Time after a change of the group within which partitions move.
    rebalance_time: Duration,
    /// When the node last listed the members, or first joined.
    last: Option<Timestamp>,
    next: Timestamp,
    /// When the partitions will have moved after the latest change.
    settled_at: Timestamp,
}

impl ListSchedule {
    /// Creates a schedule. `rebalance_time` is the time after a change of the group
    /// within which partitions move.
    pub fn new(rebalance_time: Duration) -> Self {
        Self {
            rebalance_time,
            last: None,
            next: Timestamp::default(),
            settled_at: Timestamp::default(),
        }
    }

    /// Returns whether the members are listed after a join at `now`. `changed` is
    /// whether the group changed since the previous join.
    pub fn is_due(&mut self, now: Timestamp, changed: bool) -> bool {
        if changed {
            self.settled_at = now + self.rebalance_time;
        }
        let Some(last) = self.last else {
            // The node owns no partition yet.
            self.last = Some(now);
            self.next = now + MIN_LIST_INTERVAL;
            return false;
        };
        if changed {
            self.next = self.next.min(last + MIN_LIST_INTERVAL);
        }
        now >= self.next
    }

    /// Schedules the next list. `is_listed` is whether the node found itself.
    pub fn record_list(&mut self, now: Timestamp, is_listed: bool) {
        self.last = Some(now);
        self.next = match is_listed {
            false => now + UNLISTED_INTERVAL,
            true if now < self.settled_at => self.settled_at.max(now + MIN_LIST_INTERVAL),
            true => now + LIST_INTERVAL,
        };
    }
}
