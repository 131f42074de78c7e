//! Decides whether a generation waits for room at the engines or is refused.
//!
//! It answers the load at which the engines' memory is full: requests beyond
//! what will fit soon are refused at once, so that those that wait are served
//! in time, and callers are told to return spread over the time that the
//! queue takes to drain.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::Serialize;

use super::paths::TokenEstimate;
use crate::{
    ids::{Priority, ServiceId},
    time::Timestamp,
};

/// Longest wait for room; a request that starts later is past its target, but
/// still earns more than one that is refused twice.
pub const LONGEST_WAIT: Duration = Duration::from_millis(1_200);
/// Usual time from the send of a generation to its first event; one that is
/// sent later than its target less this is late. Median over the late streams
/// of the days with most load, docs/MEASUREMENTS.md.
const FIRST_EVENT: Duration = Duration::from_millis(140);
/// Window over which the rate of requests that end is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Requests that may wait whatever the rate is, so that a rate can be measured.
const LEAST_QUEUE: usize = 2;
/// Shortest time after which a refused caller is asked to return.
const SOONEST_RETURN: Duration = Duration::from_millis(700);
/// Longest time after which a refused caller is asked to return.
const LATEST_RETURN: Duration = Duration::from_millis(4_000);

/// Names a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct WaitKey(pub u64);

/// A request that waits for room.
#[derive(Debug, Clone, Serialize)]
pub struct Waiting {
    /// The service that it waits for.
    pub service: ServiceId,
    /// What it needs.
    pub need: TokenEstimate,
    /// Until when it must be sent to be in time.
    pub timely: Timestamp,
    /// When it is refused if there is still no room.
    pub until: Timestamp,
}

/// The requests that wait, in the order in which they are served: by rank,
/// then those that can still be in time, then by arrival.
///
/// While more arrives than can be served, an order by arrival alone makes
/// every request wait until it is late.
#[derive(Debug, Default, Serialize)]
pub struct WaitQueue {
    #[serde(skip)]
    waiting: BTreeMap<(Priority, WaitKey), Waiting>,
    ended: VecDeque<Timestamp>,
    next: u64,
}

impl WaitQueue {
    /// Notes that a request ended and made room.
    pub fn ended(&mut self, now: Timestamp) {
        self.expire(now);
        self.ended.push_back(now);
    }

    fn expire(&mut self, now: Timestamp) {
        let oldest = now - RATE_WINDOW;
        while self.ended.front().is_some_and(|&time| time < oldest) {
            self.ended.pop_front();
        }
    }

    /// Returns how many requests may wait and still start in time.
    fn depth(&mut self, now: Timestamp) -> usize {
        self.expire(now);
        let per_wait = self.ended.len() as f64 * LONGEST_WAIT.as_secs_f64();
        let drained = per_wait / RATE_WINDOW.as_secs_f64();
        LEAST_QUEUE.max(drained as usize)
    }

    /// Lets a request wait, or returns the time after which its caller should
    /// come back; `draw` is from 0 to 1.
    ///
    /// # Errors
    ///
    /// Refuses a request that would not start before its wait ends.
    pub fn enter(
        &mut self,
        now: Timestamp,
        priority: Priority,
        service: &ServiceId,
        need: TokenEstimate,
        target: Duration,
        draw: f64,
    ) -> Result<(WaitKey, Timestamp), Duration> {
        let ahead = self.waiting.keys().filter(|(p, _)| *p <= priority).count();
        if ahead >= self.depth(now) {
            return Err(retry_after(draw));
        }
        let key = WaitKey(self.next);
        self.next += 1;
        let until = now + LONGEST_WAIT;
        let waiting = Waiting {
            service: service.clone(),
            need,
            timely: now + target.saturating_sub(FIRST_EVENT),
            until,
        };
        self.waiting.insert((priority, key), waiting);
        Ok((key, until))
    }

    /// Takes a request out.
    pub fn leave(&mut self, key: WaitKey) {
        self.waiting.retain(|(_, waiting), _| *waiting != key);
    }

    /// Returns the waiting requests in the order in which they are served.
    pub fn in_order(&self, now: Timestamp) -> Vec<(WaitKey, &Waiting)> {
        let mut waiting: Vec<_> = self.waiting.iter().collect();
        waiting.sort_by_key(|((priority, key), waiting)| (*priority, waiting.timely < now, *key));
        let waiting = waiting.into_iter();
        waiting.map(|((_, key), waiting)| (*key, waiting)).collect()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns when a refused caller should come back; `draw` from 0 to 1 spreads
/// the returns.
pub fn retry_after(draw: f64) -> Duration {
    SOONEST_RETURN + (LATEST_RETURN - SOONEST_RETURN).mul_f64(draw)
}
