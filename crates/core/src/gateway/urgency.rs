//! How much of the engines' capacity a request may use, by its priority.
//!
//! Load pattern: requests of several priorities arrive faster than the engines can run
//! them. If each takes what is free when it arrives, all of them wait at the engines and
//! all are late, the most urgent ones most. A less urgent request therefore starts only
//! while engines keep room for the urgent ones that arrive during its own running time,
//! and none starts at engines whose backlog would make the urgent ones late.

use std::{collections::BTreeMap, time::Duration};

use super::{config::Route, paths::MAX_KV_FILL};
use crate::{
    ids::{Priority, ServiceId},
    time::Timestamp,
};

/// Time since the last request of a priority after which nothing is reserved for it.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Part of the time to the first event that each less urgent priority leaves to the next
/// more urgent one.
const BACKLOG_RESERVE: f64 = 0.25;
/// Part of the KV cache that each less urgent priority leaves to the next more urgent one.
const KV_RESERVE: f64 = 0.06;
/// Largest number of reserves, so that half of the time is left to the least urgent ones.
const MAX_RESERVES: usize = 2;

/// Bounds on the load of the engines at which a request starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartLimits {
    /// Largest predicted time to the first event, apart from the request's own prompt, or
    /// `None` without a bound.
    pub(super) first_event: Option<Duration>,
    /// Largest fraction of an engine's KV cache that is reserved.
    pub(super) kv_fill: f64,
}

impl StartLimits {
    /// The bounds of a request that was admitted before: a retry, a hedge or a resumed
    /// stream. It goes before new ones, because work or waiting was spent on it.
    pub const RESUMED: Self = Self {
        first_event: None,
        kv_fill: MAX_KV_FILL,
    };

    /// Returns whether a request may start where the backlog takes `backlog_ms`
    /// milliseconds.
    pub(super) fn allow(&self, backlog_ms: f64) -> bool {
        let bound = self.first_event;
        bound.is_none_or(|bound| backlog_ms <= bound.as_secs_f64() * 1e3)
    }
}

/// The priorities of recent requests.
#[derive(Debug, Default)]
pub(super) struct Priorities {
    by_service: BTreeMap<ServiceId, BTreeMap<Priority, Recent>>,
}

/// The recent requests of one priority.
#[derive(Debug, Clone, Copy)]
struct Recent {
    at: Timestamp,
    /// The shortest target latency of their routes.
    target: Duration,
    /// Time of the last request with that target.
    target_at: Timestamp,
}

impl Priorities {
    /// Records a request on a route that states a gap between events. Other routes have
    /// no claim on the time between them.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        priority: Priority,
        route: &Route,
    ) {
        if route.target_gap.is_none() {
            return;
        }
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), BTreeMap::new());
        }
        let Some(recent) = self.by_service.get_mut(service) else {
            return;
        };
        recent.retain(|_, recent| now.since(recent.at) < MAX_IDLE);
        let target = route.target_latency;
        let new = Recent {
            at: now,
            target,
            target_at: now,
        };
        let recent = recent.entry(priority).or_insert(new);
        recent.at = now;
        if target <= recent.target || now.since(recent.target_at) >= MAX_IDLE {
            *recent = new;
        }
    }

    /// Returns the bounds of a new request with this priority. There are none while recent
    /// requests of the service have one priority.
    pub(super) fn start_limits(
        &self,
        now: Timestamp,
        service: &ServiceId,
        priority: Priority,
    ) -> StartLimits {
        if !self.are_mixed(now, service) {
            return StartLimits::RESUMED;
        }
        let recent = self.by_service.get(service).into_iter().flatten();
        let recent = recent.filter(|(other, r)| **other <= priority && now.since(r.at) < MAX_IDLE);
        let (mut reserves, mut first_event) = (0, None::<Duration>);
        for (other, recent) in recent {
            reserves += usize::from(*other < priority);
            first_event = Some(first_event.map_or(recent.target, |t| t.min(recent.target)));
        }
        let reserves = reserves.min(MAX_RESERVES) as f64;
        StartLimits {
            first_event: first_event.map(|t| t.mul_f64(1.0 - reserves * BACKLOG_RESERVE)),
            kv_fill: MAX_KV_FILL - reserves * KV_RESERVE,
        }
    }

    /// Returns whether recent requests of a service had different priorities, so that
    /// its engines should know that of each request.
    pub(super) fn are_mixed(&self, now: Timestamp, service: &ServiceId) -> bool {
        let recent = self.by_service.get(service).into_iter().flatten();
        recent.filter(|(_, r)| now.since(r.at) < MAX_IDLE).count() > 1
    }
}
