//! Decides where a request starts: at servers, at a peer, in the queue or not at all.

use std::time::Duration;

use rand::Rng;

use super::{
    Gateway,
    admission::{self, RequestSource, WaitKey},
    hubs,
    paths::{self, PathRequest, TokenEstimate},
    plain,
    routes::RouteMatch,
    state::Admission,
    ticket::{Target, Ticket},
    urgency::StartLimits,
};
use crate::{
    ids::{Priority, ServiceId, VmId},
    time::Timestamp,
};

/// Time after a backoff during which a single request tests whether the server
/// has recovered. A healthy server sends its first event within 200 ms.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(250);

impl Gateway {
    /// Decides whether a caller's new request starts, is queued or is refused.
    pub fn admit(
        &mut self,
        now: Timestamp,
        route_match: &RouteMatch,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
    ) -> Admission {
        self.admit_from(now, route_match, service, estimate, RequestSource::Caller)
    }

    /// Decides the same for a request of a caller or of a peer, which has counted it for
    /// the retry budget.
    pub fn admit_from(
        &mut self,
        now: Timestamp,
        route_match: &RouteMatch,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        source: RequestSource,
    ) -> Admission {
        if source == RequestSource::Caller {
            let budget = self.budgets.entry(service.clone()).or_default();
            budget.record_request(now, &self.cfg.budget);
        }
        let (priority, route) = (route_match.priority, &route_match.route);
        self.priorities.record(now, service, priority, route);
        let limits = self.priorities.start_limits(now, service, priority);
        if let Some(ticket) = self.start(now, service, estimate, limits, &[], source) {
            return Admission::Start(ticket);
        }
        // A request of a peer is refused at once, so that it is sent to another one.
        let is_out_of_reach = match source {
            RequestSource::Caller => self.is_cut_off(now, service),
            RequestSource::Peer => self.has_lost_all_links(now, service),
        };
        if is_out_of_reach
            || self.pause_left(now, service).is_some()
            || self.is_limited(now, service)
        {
            return Admission::Refuse(self.retry_after_refusal(now, service));
        }
        let draw = self.rng.random_range(0.0..1.0);
        let estimate = estimate.unwrap_or(TokenEstimate {
            prompt: 0,
            output: 0,
        });
        let target = route_match.route.target_latency;
        match self.queue.push(
            now,
            route_match.priority,
            service,
            (source, estimate),
            target,
            draw,
        ) {
            Ok((key, until)) => Admission::Wait(key, until),
            Err(after) => Admission::Refuse(after),
        }
    }

    /// Reserves servers for another attempt of a request. Returns `None` if the
    /// retry budget is exhausted or no server outside `avoid` has capacity.
    pub fn retry(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let (limits, source) = (StartLimits::RESUMED, RequestSource::Caller);
        let ticket = self.start(now, service, estimate, limits, avoid, source)?;
        let nodes = self.node_count(now);
        let budget = self.budgets.entry(service.clone()).or_default();
        if budget.try_acquire(now, &self.cfg.budget, nodes) {
            return Some(ticket);
        }
        self.release(&ticket);
        None
    }

    /// Reserves servers for another attempt of a request that has reached no server yet.
    /// It draws on no budget, because servers see it for the first time.
    pub fn retry_unseen(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let (limits, source) = (StartLimits::RESUMED, RequestSource::Caller);
        self.start(now, service, estimate, limits, avoid, source)
    }

    /// Returns a random delay after which a refused caller should retry.
    pub fn retry_after(&mut self) -> Duration {
        admission::retry_after(self.rng.random_range(0.0..1.0))
    }

    /// Returns the delay after which a caller should retry whose request this node
    /// could not check. If other nodes can, the caller should use one of them soon.
    pub fn retry_after_unconfirmed(&mut self, now: Timestamp) -> Duration {
        let draw = self.rng.random_range(0.0..1.0);
        match self.is_left_behind(now) {
            true => admission::retry_elsewhere_after(draw),
            false => admission::retry_after(draw),
        }
    }

    /// Returns the delay after which a caller should use another node, because
    /// this one is shutting down.
    pub fn retry_elsewhere_after(&mut self) -> Duration {
        admission::retry_elsewhere_after(self.rng.random_range(0.0..1.0))
    }

    /// Returns the delay after which a caller whose request a service did not
    /// take should retry. It is longer than the pause that all servers of the
    /// service asked for. If this node reaches the servers only through peers with an
    /// older configuration, the caller should use another node soon.
    pub fn retry_after_refusal(&mut self, now: Timestamp, service: &ServiceId) -> Duration {
        let retry_after = match self.has_only_older_peers(now, service) {
            true => self.retry_elsewhere_after(),
            false => self.retry_after(),
        };
        self.pause_left(now, service).unwrap_or_default() + retry_after
    }

    /// Reserves servers for a request, or selects a peer if this node has lost the
    /// links to most of them.
    fn start(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        limits: StartLimits,
        avoid: &[VmId],
        source: RequestSource,
    ) -> Option<Ticket> {
        let at_peer = match source {
            RequestSource::Caller => self.start_at_peer(now, service, avoid),
            RequestSource::Peer => None,
        };
        at_peer.or_else(|| self.try_start(now, service, estimate, limits, avoid))
    }

    pub(super) fn try_start(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        limits: StartLimits,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let configuration = self.configuration.clone()?;
        let spec = configuration.services.get(service)?;
        let limited = self.draw_limited(now, service);
        let avoid = &[avoid, &limited.closed].concat();
        let has_stale_view = self.nodes.current() > Some(hubs::MAX_MESH_NODES as u32);
        let rng = &mut self.rng;
        let mut draw = || rng.random_range(0.0..1.0);
        let target = match (&spec.engine, estimate) {
            (Some(engine), Some(estimate)) => {
                let servers = &self.servers;
                let req = PathRequest {
                    estimate,
                    limits,
                    avoid,
                };
                let drawn = has_stale_view.then(|| {
                    let copies = self.copies.get(engine, servers, service);
                    copies.draw_path(engine, servers, now, &req, &mut draw)
                });
                let path = drawn
                    .flatten()
                    .or_else(|| paths::choose(engine, servers, service, now, &req, &mut draw));
                Target::Engines(path?)
            }
            _ => {
                let chosen = plain::choose(&self.servers, service, now, avoid, draw)?;
                Target::Plain {
                    server: chosen.0.clone(),
                    address: chosen.1.entry.address,
                }
            }
        };
        self.charge_limited(&limited, &target);
        let unread_tokens = estimate.map_or(0, |estimate| estimate.prompt);
        for reservation in target.reservations() {
            if let Some(row) = self.servers.get_mut(reservation.server) {
                if row.requests == 0 {
                    row.busy_since = now;
                }
                row.requests += 1;
                row.sent.record(now);
                row.tokens += reservation.tokens;
                if row.failures > 0 {
                    // One request tests the server. Others follow once it
                    // succeeds.
                    row.backoff_until = now + TRIAL_TIMEOUT;
                }
                row.add_unread(unread_tokens, reservation.crosses);
            }
        }
        Some(Ticket {
            service: service.clone(),
            target,
            unread_tokens,
            acquired_at: now,
        })
    }

    /// Starts the queued requests for which there is capacity now.
    pub fn start_queued(&mut self, now: Timestamp) -> Vec<(WaitKey, Ticket)> {
        let waiting: Vec<_> = self
            .queue
            .in_order(now)
            .into_iter()
            .map(|(key, w)| (key, w.service.clone(), w.source, w.estimate, w.priority))
            .collect();
        let mut started = Vec::new();
        for (key, service, source, estimate, priority) in waiting {
            let is_engine = self
                .configuration
                .as_ref()
                .and_then(|c| c.services.get(&service))
                .is_some_and(|s| s.engine.is_some());
            let estimate = is_engine.then_some(estimate);
            let limits = self.priorities.start_limits(now, &service, priority);
            let Some(ticket) = self.start(now, &service, estimate, limits, &[], source) else {
                // Later requests may belong to other services or need less
                // capacity, so they are still tried.
                continue;
            };
            self.queue.remove(key);
            started.push((key, ticket));
        }
        started
    }

    /// Returns the priority that engines should give to a request, or `None` if all
    /// recent requests of the service have the same one.
    pub fn engine_priority(
        &self,
        now: Timestamp,
        service: &ServiceId,
        priority: Priority,
    ) -> Option<Priority> {
        self.priorities.are_mixed(now, service).then_some(priority)
    }

    /// Removes a request from the queue.
    pub fn remove_queued(&mut self, key: WaitKey) {
        self.queue.remove(key);
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
