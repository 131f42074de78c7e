//! Decides when a request that is slow to be answered is sent to a second server.
//!
//! The delay is a high quantile of the recent response times of the service, so that
//! only its slowest requests are sent twice. The operators limit the extra load as a
//! percentage of the requests. See `docs/design/hedging.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    Gateway, RouteKind,
    admission::RequestSource,
    paths::TokenEstimate,
    ticket::{Target, Ticket},
    urgency::StartLimits,
};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Largest limit that the operators can set, in percent.
pub const MAX_HEDGE_PERCENT: u32 = 50;
/// Quantile of the response times below which no request is hedged.
const MIN_QUANTILE: f64 = 0.9;
/// Quantile of the response times after which a hedge is sent at the latest. A few
/// hundred response times say little about higher ones.
const MAX_QUANTILE: f64 = 0.99;
/// Shortest delay. Below it, the time to connect and the scheduler of a small VM are a
/// large part of the response time.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Number of recent response times from which a delay is given.
const MIN_RESPONSES: u64 = 40;
/// Time after which response times are collected anew. They count for up to twice this
/// time.
const GENERATION: Duration = Duration::from_secs(15);
/// Longest response time that is told apart from longer ones, in microseconds.
const MAX_RESPONSE_US: u64 = 60_000_000;
/// Significant decimal digits of response times. Two digits need about 10 KB.
const RESPONSE_DIGITS: u8 = 2;
/// Window over which hedges are limited. A node with few requests needs a long one to
/// be allowed any hedge.
pub const WINDOW: Duration = Duration::from_secs(20);
/// Length of the slots in which requests and hedges are counted.
const SLOT: Duration = Duration::from_millis(250);
/// Time after a refused request in which no hedge of its service is sent.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of services that are tracked, which bounds the memory to 2 MB.
const MAX_SERVICES: usize = 64;

/// The limit of hedges is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} is more than {MAX_HEDGE_PERCENT} percent")]
pub struct InvalidHedgePercent(u32);

/// Hedges that a service may get per 100 requests. Zero turns hedging off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct HedgePercent(u32);

impl TryFrom<u32> for HedgePercent {
    type Error = InvalidHedgePercent;

    fn try_from(percent: u32) -> Result<Self, InvalidHedgePercent> {
        match percent {
            0..=MAX_HEDGE_PERCENT => Ok(Self(percent)),
            _ => Err(InvalidHedgePercent(percent)),
        }
    }
}

impl HedgePercent {
    fn fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns the quantile of the response times at which the limit allows a hedge for
    /// each slower request.
    fn quantile(self) -> f64 {
        (1.0 - self.fraction()).clamp(MIN_QUANTILE, MAX_QUANTILE)
    }
}

/// Why a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The operators have not turned hedging on.
    Off,
    /// The request may run only once.
    NotRepeatable,
    /// The route allows no further attempt.
    NoAttemptLeft,
    /// The request was forwarded by a peer, or to one.
    Forwarded,
    /// The request, or a part of its prompt, is quarantined.
    Quarantined,
    /// The node is shutting down.
    ShuttingDown,
    /// Requests of the service are queued.
    Queued,
    /// A request of the service was refused within the last second.
    Refused,
    /// The service has its limit of hedges.
    Limit,
    /// No other server is free, healthy and without a limit of its own.
    NoServer,
    /// The shared retry budget is exhausted.
    Budget,
}

impl HedgeRefusal {
    /// Returns the name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::NotRepeatable => "not_repeatable",
            Self::NoAttemptLeft => "no_attempt_left",
            Self::Forwarded => "forwarded",
            Self::Quarantined => "quarantined",
            Self::ShuttingDown => "shutting_down",
            Self::Queued => "queued",
            Self::Refused => "recent_refusal",
            Self::Limit => "limit",
            Self::NoServer => "no_server",
            Self::Budget => "budget",
        }
    }
}

/// A request whose first attempt is not answered yet.
#[derive(Debug, Clone, Copy)]
pub struct HedgeRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The token estimate of a generation.
    pub estimate: Option<TokenEstimate>,
    /// Whether the request may run more than once.
    pub kind: RouteKind,
    /// Number of attempts that the route allows.
    pub max_attempts: u32,
    /// Number of attempts that have run or may run, with the one that is not answered.
    pub attempts: u32,
    /// From where the request came.
    pub source: RequestSource,
    /// Where the first attempt runs.
    pub first: &'a Target,
    /// Servers to which the request is not sent again.
    pub excluded: &'a [VmId],
    /// Whether the request, or a part of its prompt, is quarantined.
    pub is_quarantined: bool,
    /// Whether the node is shutting down.
    pub is_shutting_down: bool,
}

impl HedgeRequest<'_> {
    /// Checks what does not change while the request waits for its answer.
    fn check_kind(&self) -> Result<(), HedgeRefusal> {
        if !self.kind.repeatable() {
            return Err(HedgeRefusal::NotRepeatable);
        }
        if self.attempts >= self.max_attempts {
            return Err(HedgeRefusal::NoAttemptLeft);
        }
        if self.source == RequestSource::Peer || self.first.peer().is_some() {
            return Err(HedgeRefusal::Forwarded);
        }
        Ok(())
    }
}

/// Recent response times, in two generations of which the older one is dropped.
#[derive(Debug)]
struct ResponseTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started: Timestamp,
}

impl ResponseTimes {
    fn new(now: Timestamp) -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_RESPONSE_US, RESPONSE_DIGITS)
                .expect("the constant bounds are valid")
        };
        Self {
            current: empty(),
            previous: empty(),
            started: now,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let age = now.since(self.started);
        if age < GENERATION {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= 2 * GENERATION {
            self.previous.reset();
        }
        self.started = now;
    }

    fn record(&mut self, now: Timestamp, took: Duration) {
        self.expire(now);
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_RESPONSE_US);
        self.current.saturating_record(micros.max(1));
    }

    fn quantile(&mut self, now: Timestamp, quantile: f64) -> Option<Duration> {
        self.expire(now);
        let mut all = self.current.clone();
        if all.add(&self.previous).is_err() || all.len() < MIN_RESPONSES {
            return None;
        }
        Some(Duration::from_micros(all.value_at_quantile(quantile)))
    }
}

/// Requests and hedges in one slot of time.
#[derive(Debug)]
struct Slot {
    start: Timestamp,
    requests: u32,
    hedges: u32,
}

/// What is known of one service.
#[derive(Debug)]
struct ServiceHedging {
    times: ResponseTimes,
    slots: VecDeque<Slot>,
    refused_at: Option<Timestamp>,
    last_used: Timestamp,
    /// The quantile of the response times, and when it was computed.
    quantile: Option<(Timestamp, Duration)>,
}

impl ServiceHedging {
    fn new(now: Timestamp) -> Self {
        Self {
            times: ResponseTimes::new(now),
            slots: VecDeque::new(),
            refused_at: None,
            last_used: now,
            quantile: None,
        }
    }

    /// Returns the quantile of the response times, which is kept for the length of a slot
    /// because computing it takes a copy of the histogram.
    fn response_quantile(&mut self, now: Timestamp, quantile: f64) -> Option<Duration> {
        if let Some((at, value)) = self.quantile
            && now.since(at) < SLOT
        {
            return Some(value);
        }
        let value = self.times.quantile(now, quantile)?;
        self.quantile = Some((now, value));
        Some(value)
    }

    /// Returns the slot of `now`, without the ones that are older than the window.
    fn slot(&mut self, now: Timestamp) -> &mut Slot {
        let is_old = |slot: &Slot| now.since(slot.start) >= WINDOW + SLOT;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
        let is_current = |slot: &Slot| now.since(slot.start) < SLOT;
        if !self.slots.back().is_some_and(is_current) {
            self.slots.push_back(Slot {
                start: now,
                requests: 0,
                hedges: 0,
            });
        }
        self.slots.back_mut().expect("a slot was added")
    }

    /// Returns the requests and hedges of the window. A slot that is partly outside of it
    /// counts for the hedges only, so that the limit is kept in the exact window too.
    fn counts(&self, now: Timestamp) -> (u32, u32) {
        let recent = self.slots.iter();
        let recent = recent.filter(|slot| now.since(slot.start) < WINDOW + SLOT);
        recent.fold((0, 0), |(requests, hedges), slot| {
            let counted = match now.since(slot.start) <= WINDOW {
                true => slot.requests,
                false => 0,
            };
            (requests + counted, hedges + slot.hedges)
        })
    }
}

/// The response times and the hedges of all services.
#[derive(Debug)]
pub struct Hedging {
    limit: HedgePercent,
    services: BTreeMap<ServiceId, ServiceHedging>,
}

impl Hedging {
    /// Creates the state without any response times.
    pub fn new(limit: HedgePercent) -> Self {
        Self {
            limit,
            services: BTreeMap::new(),
        }
    }

    /// Returns whether the operators have turned hedging on.
    pub fn is_on(&self) -> bool {
        self.limit > HedgePercent::default()
    }

    /// Returns the entry of a service, or `None` if hedging is off. If there are too many
    /// services, the one that was not used for longest is dropped.
    fn entry(&mut self, now: Timestamp, service: &ServiceId) -> Option<&mut ServiceHedging> {
        if !self.is_on() {
            return None;
        }
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            let oldest = self
                .services
                .iter()
                .min_by_key(|(_, entry)| entry.last_used);
            if let Some(oldest) = oldest.map(|(service, _)| service.clone()) {
                self.services.remove(&oldest);
            }
        }
        let entry = self.services.entry(service.clone());
        let entry = entry.or_insert_with(|| ServiceHedging::new(now));
        entry.last_used = now;
        Some(entry)
    }

    /// Counts a request of a caller that is sent for the first time.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceId) {
        if let Some(entry) = self.entry(now, service) {
            let slot = entry.slot(now);
            slot.requests = slot.requests.saturating_add(1);
        }
    }

    /// Records the response time of an attempt that could have been hedged.
    ///
    /// An attempt that was given up is recorded with the time until then. Without it,
    /// slow attempts would be missing, and the delay would fall with each hedge.
    pub fn record_response(&mut self, now: Timestamp, service: &ServiceId, took: Duration) {
        if let Some(entry) = self.entry(now, service) {
            entry.times.record(now, took);
        }
    }

    /// Records that a request of the service was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Timestamp, service: &ServiceId) {
        if let Some(entry) = self.entry(now, service) {
            entry.refused_at = Some(now);
        }
    }

    /// Returns the time after which a request should be hedged if it is not answered, or
    /// `None` if it may not be hedged or too few response times are known.
    pub fn delay(&mut self, now: Timestamp, request: &HedgeRequest<'_>) -> Option<Duration> {
        request.check_kind().ok()?;
        let quantile = self.limit.quantile();
        let entry = self.entry(now, request.service)?;
        let delay = entry.response_quantile(now, quantile)?;
        Some(delay.max(MIN_DELAY))
    }

    /// Decides whether a request may be hedged now, apart from the choice of a server and
    /// the retry budget. `has_queued` is whether requests of the service are queued.
    ///
    /// # Errors
    ///
    /// Returns the first reason against it.
    pub fn check(
        &self,
        now: Timestamp,
        request: &HedgeRequest<'_>,
        has_queued: bool,
    ) -> Result<(), HedgeRefusal> {
        if !self.is_on() {
            return Err(HedgeRefusal::Off);
        }
        request.check_kind()?;
        if request.is_quarantined {
            return Err(HedgeRefusal::Quarantined);
        }
        if request.is_shutting_down {
            return Err(HedgeRefusal::ShuttingDown);
        }
        if has_queued {
            return Err(HedgeRefusal::Queued);
        }
        let entry = self.services.get(request.service);
        let refused_at = entry.and_then(|entry| entry.refused_at);
        if refused_at.is_some_and(|at| now.since(at) < REFUSAL_PAUSE) {
            return Err(HedgeRefusal::Refused);
        }
        let (requests, hedges) = entry.map_or((0, 0), |entry| entry.counts(now));
        if u64::from(hedges + 1) * 100 > u64::from(requests) * u64::from(self.limit.0) {
            return Err(HedgeRefusal::Limit);
        }
        Ok(())
    }

    /// Counts a hedge that is sent.
    fn record_hedge(&mut self, now: Timestamp, service: &ServiceId) {
        if let Some(entry) = self.entry(now, service) {
            let slot = entry.slot(now);
            slot.hedges = slot.hedges.saturating_add(1);
        }
    }
}

impl Gateway {
    /// Returns the response times and the hedges of the services.
    pub fn hedging(&mut self) -> &mut Hedging {
        &mut self.hedging
    }

    /// Reserves another server for the second attempt of a request that is not answered
    /// after its delay, and draws on the retry budget.
    ///
    /// # Errors
    ///
    /// Returns why the request is not hedged. Nothing is reserved then.
    pub fn hedge(
        &mut self,
        now: Timestamp,
        request: &HedgeRequest<'_>,
    ) -> Result<Ticket, HedgeRefusal> {
        let service = request.service;
        let queued = self.queue.in_order(now);
        let has_queued = queued.iter().any(|(_, w)| w.service == *service);
        self.hedging.check(now, request, has_queued)?;
        let avoid = self.unfit_for_hedge(now, request);
        let ticket = self
            .try_start(now, service, request.estimate, StartLimits::RESUMED, &avoid)
            .ok_or(HedgeRefusal::NoServer)?;
        let nodes = self.node_count(now);
        let budget = self.budgets.entry(service.clone()).or_default();
        if !budget.try_acquire(now, &self.cfg.budget, nodes) {
            self.release(&ticket);
            return Err(HedgeRefusal::Budget);
        }
        self.hedging.record_hedge(now, service);
        Ok(ticket)
    }

    /// Returns the servers that get no hedge of the request: those of the first attempt,
    /// and all whose other requests it would delay.
    fn unfit_for_hedge(&self, now: Timestamp, request: &HedgeRequest<'_>) -> Vec<VmId> {
        let first = request.first.reservations();
        let first: Vec<&VmId> = first.iter().map(|reservation| reservation.server).collect();
        let rows = self.servers.of_service(request.service);
        let unfit = rows.filter(|(id, row)| {
            first.contains(id)
                || !row.is_available(now)
                || row.total_requests() >= row.entry.slots
                || self.has_limit(now, id)
        });
        let unfit = unfit.map(|(id, _)| id);
        unfit.chain(request.excluded).cloned().collect()
    }
}
