//! Decides whether a generation is queued until engines have capacity or is
//! refused.
//!
//! If the engines' memory is full, a request that would not start in time is
//! refused at once, so that the queued ones start in time. The refused callers
//! receive retry delays that are spread over the time in which the queue
//! drains.

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

/// Maximum time in the queue. A request that starts later misses its target
/// latency, but still earns more than one that is refused twice.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_millis(1_200);
/// Typical time from sending a generation to its first event under high load. A
/// request that is sent later than its target latency minus this time is late.
const TYPICAL_FIRST_EVENT: Duration = Duration::from_millis(140);
/// Window over which the rate of completed requests is computed.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Number of requests that may be queued regardless of the completion rate, so
/// that a rate can be determined at all.
const MIN_QUEUE_DEPTH: usize = 2;
/// Minimum delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Maximum delay after which a caller is asked to retry at another node.
const MAX_RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Maximum delay after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(4_000);

/// Identifies a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct WaitKey(pub u64);

/// From where a request came to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RequestSource {
    /// A caller.
    Caller,
    /// A peer that does not reach the servers. The request is not sent to another
    /// peer, and does not count as one of a caller again.
    Peer,
}

/// A request that waits for capacity.
#[derive(Debug, Clone, Serialize)]
pub struct QueuedRequest {
    /// The service that it waits for.
    pub service: ServiceId,
    /// Its priority.
    pub priority: Priority,
    /// From where it came.
    pub source: RequestSource,
    /// Its token estimate.
    #[serde(rename = "need")]
    pub estimate: TokenEstimate,
    /// Latest time at which it can be sent and still meet its target latency.
    #[serde(rename = "timely")]
    pub start_by: Timestamp,
    /// Time at which it is refused if there is still no capacity.
    #[serde(rename = "until")]
    pub deadline: Timestamp,
}

/// Queued requests, ordered by priority, then by whether they can still meet
/// their target latency, then by arrival.
///
/// If requests arrive faster than they can be served, ordering by arrival alone
/// would delay every request until it is late.
#[derive(Debug, Default, Serialize)]
pub struct WaitQueue {
    #[serde(skip)]
    waiting: BTreeMap<(Priority, WaitKey), QueuedRequest>,
    ended: VecDeque<Timestamp>,
    next: u64,
}

impl WaitQueue {
    /// Records the end of a request, which frees capacity.
    pub fn record_end(&mut self, now: Timestamp) {
        self.expire(now);
        self.ended.push_back(now);
    }

    fn expire(&mut self, now: Timestamp) {
        let oldest = now - RATE_WINDOW;
        while self.ended.front().is_some_and(|&time| time < oldest) {
            self.ended.pop_front();
        }
    }

    /// Returns the number of queued requests that can still start in time.
    fn max_depth(&mut self, now: Timestamp) -> usize {
        self.expire(now);
        let scaled_ends = self.ended.len() as f64 * MAX_QUEUE_WAIT.as_secs_f64();
        let expected_ends = scaled_ends / RATE_WINDOW.as_secs_f64();
        MIN_QUEUE_DEPTH.max(expected_ends as usize)
    }

    /// Queues a request and returns its key and its deadline. `draw` is a
    /// random number in `0.0..1.0`.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the caller should retry if the request
    /// would not start before its deadline.
    pub fn push(
        &mut self,
        now: Timestamp,
        priority: Priority,
        service: &ServiceId,
        (source, estimate): (RequestSource, TokenEstimate),
        target: Duration,
        draw: f64,
    ) -> Result<(WaitKey, Timestamp), Duration> {
        let ahead = self.waiting.keys().filter(|(p, _)| *p <= priority).count();
        if ahead >= self.max_depth(now) {
            return Err(retry_after(draw));
        }
        let key = WaitKey(self.next);
        self.next += 1;
        let until = now + MAX_QUEUE_WAIT;
        let waiting = QueuedRequest {
            service: service.clone(),
            priority,
            source,
            estimate,
            start_by: now + target.saturating_sub(TYPICAL_FIRST_EVENT),
            deadline: until,
        };
        self.waiting.insert((priority, key), waiting);
        Ok((key, until))
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, key: WaitKey) {
        self.waiting.retain(|(_, waiting), _| *waiting != key);
    }

    /// Returns the queued requests in the order in which they are served.
    pub fn in_order(&self, now: Timestamp) -> Vec<(WaitKey, &QueuedRequest)> {
        let mut waiting: Vec<_> = self.waiting.iter().collect();
        waiting.sort_by_key(|((priority, key), waiting)| (*priority, waiting.start_by < now, *key));
        let waiting = waiting.into_iter();
        waiting.map(|((_, key), waiting)| (*key, waiting)).collect()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Returns the delay after which a caller should send a request to another node
/// that can serve it. The random number `draw` in `0.0..1.0` spreads the retries.
pub fn retry_elsewhere_after(draw: f64) -> Duration {
    MAX_RETRY_ELSEWHERE.mul_f64(draw)
}

/// Returns the delay after which a refused caller should retry. The random
/// number `draw` in `0.0..1.0` spreads the retries over time.
pub fn retry_after(draw: f64) -> Duration {
    MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(draw)
}
