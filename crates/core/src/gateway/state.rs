//! The state of a gateway, and its decisions on each request.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

use super::{
    admission::{self, RequestSource, WaitKey, WaitQueue},
    budget::{BudgetConfig, NodeCount, RetryBudget},
    config::Configuration,
    freshness::{ConfigurationRead, Freshness},
    hubs,
    links::{LinkTable, SILENT_LINK},
    paths::{self, TokenEstimate, copies::CopyTable},
    peer_paths::PeerPaths,
    peers::Peer,
    plain,
    quarantine::Quarantine,
    routes::{RouteError, RouteMatch, RouteTable},
    server_limits::ServerLimits,
    servers::{Server, ServerChange, ServerRow, Servers},
    stall::{self, StallAction},
    store_view::RegistryHistory,
    ticket::{Target, Ticket, TicketOutcome},
};
use crate::{
    ids::{FailureDomain, ServiceId, VmId},
    time::Timestamp,
};

/// Number of nodes assumed to share the retry budgets before the first member
/// list arrives.
const DEFAULT_NODE_COUNT: u32 = 16;
/// Backoff of a server after its first failure. It doubles with each
/// consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff of a server.
const MAX_BACKOFF: Duration = Duration::from_millis(3_200);
/// Time after a backoff during which a single request tests whether the server
/// has recovered. A healthy server sends its first event within 200 ms.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Backoff of a server that was full. It doubles with each consecutive refusal,
/// because a server that is shutting down unnoticed refuses all requests.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Backoff of a server that does not match its registry entry. The registry is
/// updated within one heartbeat.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(1_000);
/// Weight of one answer in the moving average of a plain server's latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Latency that a failure of a plain server counts as, in milliseconds.
const FAILURE_LATENCY_MS: f64 = 400.0;

/// Limits of a gateway that the operators set.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GatewayConfig {
    /// Age from which a confirmation that the configuration is the newest is no
    /// longer accepted.
    #[serde(rename = "proof_bound")]
    pub max_confirmation_age: Duration,
    /// The retry budget of each service, shared by all nodes.
    pub budget: BudgetConfig,
}

/// Why a request was rejected before it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The node has no configuration yet.
    #[error("no configuration is known yet")]
    NoConfiguration,
    /// The configuration was not confirmed recently to be the newest.
    #[error("the configuration was not confirmed recently")]
    Unconfirmed,
    /// The configuration does not allow the request.
    #[error(transparent)]
    Route(#[from] RouteError),
}

/// The decision on a new request.
#[derive(Debug)]
pub enum Admission {
    /// The request is sent now.
    Start(Ticket),
    /// The request is queued until there is capacity, at most until the given
    /// time.
    Wait(WaitKey, Timestamp),
    /// The request is refused; the caller should retry after the given delay.
    Refuse(Duration),
}

/// The state on which a gateway bases its decisions.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewayConfig,
    configuration: Option<Arc<Configuration>>,
    routes: RouteTable,
    freshness: Freshness,
    /// The highest version of the configuration that a peer has reported.
    newest_known_version: u64,
    /// When a peer last had the newest configuration.
    peers_confirmed_at: Option<Timestamp>,
    pub(super) servers: Servers,
    copies: CopyTable,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    queue: WaitQueue,
    pub(super) registry: RegistryHistory,
    pub(super) peers: BTreeMap<VmId, Peer>,
    pub(super) quarantine: Quarantine,
    pub(super) limits: ServerLimits,
    pub(super) links: LinkTable,
    pub(super) peer_paths: PeerPaths,
    /// The failure domain of this node, if it is known.
    pub(super) failure_domain: Option<FailureDomain>,
    nodes: NodeCount,
    pub(super) rng: StdRng,
}

impl Gateway {
    /// Creates a gateway without a configuration or servers. `seed` initialises
    /// its random number generator.
    pub fn new(cfg: GatewayConfig, seed: u64) -> Self {
        Self {
            cfg,
            configuration: None,
            routes: RouteTable::default(),
            freshness: Freshness::default(),
            newest_known_version: 0,
            peers_confirmed_at: None,
            servers: Servers::default(),
            copies: CopyTable::default(),
            budgets: BTreeMap::new(),
            queue: WaitQueue::default(),
            registry: RegistryHistory::default(),
            peers: BTreeMap::new(),
            quarantine: Quarantine::default(),
            limits: ServerLimits::default(),
            links: LinkTable::default(),
            peer_paths: PeerPaths::default(),
            failure_domain: None,
            nodes: NodeCount::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the failure domain of this node, whose peers are preferred.
    pub fn set_failure_domain(&mut self, domain: FailureDomain) {
        self.failure_domain = Some(domain);
    }

    /// Activates a configuration and returns `true` if it is newer than the
    /// active one.
    pub fn set_configuration(&mut self, configuration: Configuration) -> bool {
        let current = self.configuration.as_ref().map(|c| c.version);
        if current.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.routes = RouteTable::new(&configuration);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Records that the active configuration was the newest one at `sent` or
    /// later.
    pub fn confirm_configuration(&mut self, sent: Timestamp) {
        if self.has_newest_known_configuration() {
            self.freshness.confirm(sent);
        }
    }

    /// Records a read that returned no configuration newer than the active one.
    /// It confirms the active configuration unless the store may have lost a
    /// newer one.
    pub fn record_configuration_read(&mut self, now: Timestamp, read: ConfigurationRead) {
        if self.has_newest_known_configuration() {
            self.freshness.record_read(now, read);
        }
    }

    /// Returns whether the configuration was not confirmed yet since the store
    /// has returned from an older copy.
    pub fn awaits_rewrite(&self) -> bool {
        self.freshness.awaits_rewrite()
    }

    /// Records that a peer has the configuration `version`.
    pub(super) fn record_configuration_version(&mut self, version: u64) {
        self.newest_known_version = self.newest_known_version.max(version);
    }

    /// Records that a peer had the newest configuration at `at`.
    pub(super) fn record_peer_confirmation(&mut self, at: Timestamp) {
        self.peers_confirmed_at = self.peers_confirmed_at.max(Some(at));
    }

    /// Returns whether this node cannot accept keys while other nodes can. Callers
    /// should then use those.
    ///
    /// Load pattern: the store refuses some nodes and serves the others.
    pub fn is_left_behind(&self, now: Timestamp) -> bool {
        let bound = self.cfg.max_confirmation_age;
        let peers_confirmed = self.peers_confirmed_at;
        !self.freshness.is_fresh(now, bound)
            && peers_confirmed.is_some_and(|at| now.since(at) < bound)
    }

    /// Returns whether no peer has a newer configuration. The store may return
    /// from a copy that lacks it.
    fn has_newest_known_configuration(&self) -> bool {
        let active = self.configuration.as_ref().map_or(0, |c| c.version);
        active >= self.newest_known_version
    }

    /// Returns the active configuration.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the time since the configuration was last confirmed to be the
    /// newest, or `None` before the first confirmation.
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Returns whether requests can be served: a configuration is active and
    /// there is at least one server.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && !self.servers.is_empty()
    }

    /// Records the number of nodes that share the retry budgets.
    pub fn record_node_count(&mut self, now: Timestamp, nodes: u32) {
        self.nodes.record(now, nodes.max(1));
    }

    /// Returns the backend servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Applies a registry entry of one server; `None` removes the server.
    pub fn set_server(&mut self, now: Timestamp, id: &VmId, entry: Option<Server>) -> ServerChange {
        let change = self.servers.apply(now, id, entry);
        self.recount_links();
        change
    }

    /// Replaces all servers with a full listing and returns the removed ones.
    pub fn set_servers(&mut self, now: Timestamp, listed: BTreeMap<VmId, Server>) -> Vec<VmId> {
        let removed = self.servers.retain(&listed);
        for (id, entry) in listed {
            self.servers.apply(now, &id, Some(entry));
        }
        self.recount_links();
        removed
    }

    /// Returns the route of a request after verifying its key.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no configuration, if the configuration was
    /// not confirmed recently, or if it does not allow the request.
    pub fn route(
        &self,
        now: Timestamp,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, Rejection> {
        if self.configuration.is_none() {
            return Err(Rejection::NoConfiguration);
        }
        let confirmed = self.freshness.is_fresh(now, self.cfg.max_confirmation_age);
        match self.routes.find(host, path, key) {
            Ok(route_match) if route_match.organisation.is_none() || confirmed => Ok(route_match),
            Err(denied) if confirmed => Err(denied.into()),
            _ => Err(Rejection::Unconfirmed),
        }
    }

    /// Selects one of the route's services at random, by weight.
    pub fn choose_service(&mut self, route_match: &RouteMatch) -> Option<ServiceId> {
        let draw = self.rng.random_range(0.0..1.0);
        super::routes::choose_service(&route_match.route, draw).cloned()
    }

    /// Decides whether a caller's new request starts, is queued or is refused.
    pub fn admit(
        &mut self,
        now: Timestamp,
        route_match: &RouteMatch,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
    ) -> Admission {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.record_request(now, &self.cfg.budget);
        self.admit_from(now, route_match, service, estimate, RequestSource::Caller)
    }

    /// Decides whether a request that a peer forwards starts, is queued or is refused.
    /// The peer has counted it for the retry budget.
    pub fn admit_from_peer(
        &mut self,
        now: Timestamp,
        route_match: &RouteMatch,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
    ) -> Admission {
        self.admit_from(now, route_match, service, estimate, RequestSource::Peer)
    }

    fn admit_from(
        &mut self,
        now: Timestamp,
        route_match: &RouteMatch,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        source: RequestSource,
    ) -> Admission {
        if let Some(ticket) = self.start(now, service, estimate, &[], source) {
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
        let ticket = self.start(now, service, estimate, avoid, RequestSource::Caller)?;
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
        self.start(now, service, estimate, avoid, RequestSource::Caller)
    }

    /// Returns the number of nodes that share budgets and limits.
    pub(super) fn node_count(&mut self, now: Timestamp) -> u32 {
        let listed = self.nodes.max_in_window(now, self.cfg.budget.window);
        let unlisted = self.unlisted_nodes(now).count;
        let nodes = listed.map(|listed| listed.saturating_add(unlisted));
        nodes.unwrap_or(DEFAULT_NODE_COUNT)
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
    /// service asked for.
    pub fn retry_after_refusal(&mut self, now: Timestamp, service: &ServiceId) -> Duration {
        self.pause_left(now, service).unwrap_or_default() + self.retry_after()
    }

    /// Reserves servers for a request, or selects a peer if this node has lost the
    /// links to most of them.
    fn start(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        avoid: &[VmId],
        source: RequestSource,
    ) -> Option<Ticket> {
        let at_peer = match source {
            RequestSource::Caller => self.start_at_peer(now, service, avoid),
            RequestSource::Peer => None,
        };
        at_peer.or_else(|| self.try_start(now, service, estimate, avoid))
    }

    fn try_start(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        estimate: Option<TokenEstimate>,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let configuration = self.configuration.clone()?;
        let spec = configuration.services.get(service)?;
        let limits = self.draw_limited(now, service);
        let avoid = &[avoid, &limits.closed].concat();
        let has_stale_view = self.nodes.current() > Some(hubs::MAX_MESH_NODES as u32);
        let rng = &mut self.rng;
        let mut draw = || rng.random_range(0.0..1.0);
        let target = match (&spec.engine, estimate) {
            (Some(engine), Some(estimate)) => {
                let servers = &self.servers;
                let drawn = has_stale_view.then(|| {
                    let copies = self.copies.get(engine, servers, service);
                    copies.draw_path(engine, servers, now, estimate, avoid, &mut draw)
                });
                let path = drawn.flatten().or_else(|| {
                    paths::choose(engine, servers, service, now, estimate, avoid, &mut draw)
                });
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
        self.charge_limited(&limits, &target);
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

    fn release(&mut self, ticket: &Ticket) {
        for reservation in ticket.target.reservations() {
            if let Some(row) = self.row_unless_restarted(reservation.server, ticket.acquired_at) {
                row.requests = row.requests.saturating_sub(1);
                row.tokens = row.tokens.saturating_sub(reservation.tokens);
                row.remove_unread(ticket.unread_tokens, reservation.crosses);
            }
        }
    }

    /// Returns a server unless it has restarted since `since`. A restarted
    /// server has new counters, from which earlier tickets must not be
    /// subtracted.
    pub(super) fn row_unless_restarted(
        &mut self,
        id: &VmId,
        since: Timestamp,
    ) -> Option<&mut ServerRow> {
        self.servers
            .get_mut(id)
            .filter(|row| row.first_seen <= since)
    }

    /// Records a stream's first event, which shows that its prompt was
    /// processed.
    pub fn record_first_event(&mut self, ticket: &mut Ticket) {
        let unread_tokens = std::mem::take(&mut ticket.unread_tokens);
        for reservation in ticket.target.reservations() {
            if let Some(row) = self.row_unless_restarted(reservation.server, ticket.acquired_at) {
                row.remove_unread(unread_tokens, reservation.crosses);
            }
        }
    }

    /// Releases a ticket's servers and updates their health from the outcome.
    pub fn finish(&mut self, now: Timestamp, ticket: &Ticket, outcome: TicketOutcome) {
        self.release(ticket);
        self.queue.record_end(now);
        let first = ticket.target.first().map(|(id, _)| id.clone());
        let server_at_fault = |servers: &Servers, by: Option<std::net::SocketAddr>| {
            let named = by.and_then(|address| servers.by_address(address).cloned());
            named.or(first.clone())
        };
        let has_failed = matches!(
            outcome,
            TicketOutcome::Unreachable | TicketOutcome::RefusedByPeer | TicketOutcome::Failed
        );
        if let (true, Some(peer)) = (has_failed, ticket.target.peer()) {
            self.back_off_peer(now, &peer.vm);
        }
        match outcome {
            TicketOutcome::Answered { took } => {
                self.record_heard(now, ticket);
                for reservation in ticket.target.reservations() {
                    self.record_server_success(now, reservation.server, ticket.acquired_at, took);
                }
            }
            TicketOutcome::Full { by } => {
                if let Some(id) = server_at_fault(&self.servers, by) {
                    self.record_refusal(now, &id, FULL_BACKOFF);
                }
            }
            TicketOutcome::Misdirected { by } => {
                if let Some(id) = server_at_fault(&self.servers, by) {
                    self.record_refusal(now, &id, MISDIRECTED_BACKOFF);
                }
            }
            TicketOutcome::Unreachable => {
                if let Some(id) = server_at_fault(&self.servers, None) {
                    self.record_server_failure(now, &id);
                    self.record_unreachable(now, &id);
                }
            }
            TicketOutcome::RefusedByPeer => {}
            TicketOutcome::Failed => {
                if let Some(id) = server_at_fault(&self.servers, None) {
                    self.record_server_failure(now, &id);
                }
            }
            TicketOutcome::Abandoned => {}
        }
    }

    fn record_server_success(
        &mut self,
        now: Timestamp,
        id: &VmId,
        sent: Timestamp,
        took: Duration,
    ) {
        if let Some(row) = self.servers.get_mut(id) {
            row.record_success(now, sent);
            row.latency_ms += (took.as_secs_f64() * 1e3 - row.latency_ms) * LATENCY_EWMA_WEIGHT;
        }
    }

    /// Starts the backoff of a server that refused new work.
    fn record_refusal(&mut self, now: Timestamp, id: &VmId, first: Duration) {
        self.back_off(now, id, first);
        if let Some(row) = self.servers.get_mut(id) {
            row.refused_at = Some(now);
        }
    }

    /// Starts a server's backoff, which is `first` after one failure and
    /// doubles with each consecutive failure.
    fn back_off(&mut self, now: Timestamp, id: &VmId, first: Duration) {
        if let Some(row) = self.servers.get_mut(id) {
            let backoff = first * 2_u32.saturating_pow(row.failures.min(8));
            row.failures = row.failures.saturating_add(1);
            row.backoff_until = row.backoff_until.max(now + backoff.min(MAX_BACKOFF));
        }
    }

    /// Records that a server failed a request and starts its backoff.
    pub fn record_server_failure(&mut self, now: Timestamp, id: &VmId) {
        self.back_off(now, id, INITIAL_BACKOFF);
        if let Some(row) = self.servers.get_mut(id) {
            row.latency_ms += (FAILURE_LATENCY_MS - row.latency_ms) * LATENCY_EWMA_WEIGHT;
        }
    }

    /// Records an event of a stream, which shows progress at every engine on
    /// its path.
    pub fn record_progress(&mut self, now: Timestamp, ticket: &Ticket) {
        self.record_heard(now, ticket);
        for reservation in ticket.target.reservations() {
            if let Some(row) = self.servers.get_mut(reservation.server) {
                row.record_success(now, ticket.acquired_at);
            }
        }
    }

    /// Decides whether a request that made no progress for `stalled_for` fails
    /// over. `begun` is whether its first event has arrived, and `target` is
    /// the time within which it should be answered.
    pub fn check_stall(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        stalled_for: Duration,
        begun: bool,
        target: Duration,
    ) -> StallAction {
        if self.is_link_lost(now, ticket, stalled_for) {
            return StallAction::Failover(Vec::new());
        }
        let action = match &ticket.target {
            Target::Engines(path) => {
                stall::check_path(&self.servers, now, path, stalled_for, begun)
            }
            Target::Plain { server, .. } => stall::check_plain(server, stalled_for, target),
            Target::Peer(peer) => {
                let report_age = self.paths_age(now, &peer.vm);
                stall::check_peer(&peer.vm, report_age, stalled_for, begun)
            }
        };
        match action {
            StallAction::Wait(wait) => StallAction::Wait(wait.min(SILENT_LINK)),
            failover @ StallAction::Failover(_) => failover,
        }
    }

    /// Starts the queued requests for which there is capacity now.
    pub fn start_queued(&mut self, now: Timestamp) -> Vec<(WaitKey, Ticket)> {
        let waiting: Vec<_> = self
            .queue
            .in_order(now)
            .into_iter()
            .map(|(key, w)| (key, w.service.clone(), w.source, w.estimate))
            .collect();
        let mut started = Vec::new();
        for (key, service, source, estimate) in waiting {
            let is_engine = self
                .configuration
                .as_ref()
                .and_then(|c| c.services.get(&service))
                .is_some_and(|s| s.engine.is_some());
            let estimate = is_engine.then_some(estimate);
            let Some(ticket) = self.start(now, &service, estimate, &[], source) else {
                // Later requests may belong to other services or need less
                // capacity, so they are still tried.
                continue;
            };
            self.queue.remove(key);
            started.push((key, ticket));
        }
        started
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
