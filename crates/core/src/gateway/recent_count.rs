//! Counts events of the last seconds.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;

use crate::time::Timestamp;

/// Length of the slots in which events are counted.
const SLOT: Duration = Duration::from_millis(100);
/// Time for which events are counted.
pub const MAX_WINDOW: Duration = Duration::from_secs(4);

/// The number of events in each of the last slots of time.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RecentCount {
    /// Start of each slot that has events, and their number.
    slots: VecDeque<(Timestamp, u32)>,
}

impl RecentCount {
    /// Counts one event.
    pub fn record(&mut self, now: Timestamp) {
        let slot_micros = SLOT.as_micros() as u64;
        let start = Timestamp(now.0 - now.0 % slot_micros);
        while self
            .slots
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= MAX_WINDOW + SLOT)
        {
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some((at, count)) if *at >= start => *count = count.saturating_add(1),
            _ => self.slots.push_back((start, 1)),
        }
    }

    /// Returns the number of events in the last `window`, which is at most
    /// [`MAX_WINDOW`]. Events that are up to one slot older count too.
    pub fn count(&self, now: Timestamp, window: Duration) -> u32 {
        let recent = self.slots.iter().rev();
        let recent = recent.take_while(|(at, _)| now.since(*at) < window + SLOT);
        recent.map(|(_, count)| *count).sum()
    }
}
