//! A gateway's state and what it decides about each request.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

use super::{
    admission::{self, WaitKey, WaitQueue},
    budget::{BudgetConfig, NodeCount, RetryBudget},
    config::Configuration,
    freshness::Freshness,
    paths::{self, TokenEstimate},
    peers::Peer,
    plain,
    routes::{RouteError, RouteMatch, RouteTable},
    servers::{Server, ServerChange, ServerRow, Servers},
    stall::{self, StallAction},
    store_view::RegistryView,
    ticket::{Target, Ticket, TicketOutcome},
};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Nodes assumed to share the budgets before any has been seen.
const ASSUMED_NODES: u32 = 16;
/// Pause of a server after its first failure in a row; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause of a server that fails.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_200);
/// Time that the first request has after a pause to show that the server is
/// sound again; a first event comes within a fifth of a second.
const TRIAL: Duration = Duration::from_millis(250);
/// Pause of a server that had no room; it doubles with each refusal in a row,
/// as one that leaves unseen refuses all.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Pause of a server that does not hold what the registry says; the registry
/// follows within a heartbeat.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(1_000);
/// Weight of one answer in a plain server's recent latency.
const LATENCY_GAIN: f64 = 0.1;
/// Time that a failure of a plain server counts as, in milliseconds.
const FAILURE_MS: f64 = 400.0;

/// Bounds of a gateway that the operators set.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GatewayConfig {
    /// Age from which proof of the newest configuration is no longer trusted.
    #[serde(rename = "proof_bound")]
    pub max_confirmation_age: Duration,
    /// The retry budget of each service, kept by all nodes together.
    pub budget: BudgetConfig,
}

/// Why a request was turned away before it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No configuration is known yet.
    #[error("no configuration is known yet")]
    NoConfiguration,
    /// Whether the configuration is still the newest is not known.
    #[error("the configuration was not confirmed recently")]
    Unconfirmed,
    /// The configuration does not allow it.
    #[error(transparent)]
    Route(#[from] RouteError),
}

/// What happens to a new request.
#[derive(Debug)]
pub enum Admission {
    /// It is sent now.
    Start(Ticket),
    /// It waits for room until a moment.
    Wait(WaitKey, Timestamp),
    /// It is refused; the caller should come back after this time.
    Refuse(Duration),
}

/// All that a gateway decides with.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewayConfig,
    configuration: Option<Arc<Configuration>>,
    routes: RouteTable,
    freshness: Freshness,
    pub(super) servers: Servers,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    queue: WaitQueue,
    pub(super) registry: RegistryView,
    pub(super) peers: BTreeMap<VmId, Peer>,
    nodes: NodeCount,
    rng: StdRng,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet; `seed` feeds its random choices.
    pub fn new(cfg: GatewayConfig, seed: u64) -> Self {
        Self {
            cfg,
            configuration: None,
            routes: RouteTable::default(),
            freshness: Freshness::default(),
            servers: Servers::default(),
            budgets: BTreeMap::new(),
            queue: WaitQueue::default(),
            registry: RegistryView::default(),
            peers: BTreeMap::new(),
            nodes: NodeCount::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Puts a configuration in force unless it is older than the present one;
    /// tells whether it did.
    pub fn set_configuration(&mut self, configuration: Configuration) -> bool {
        let present = self.configuration.as_ref().map(|c| c.version);
        if present.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.routes = RouteTable::new(&configuration);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Notes that the configuration was the newest at `sent` or later.
    pub fn confirm_configuration(&mut self, sent: Timestamp) {
        self.freshness.confirm(sent);
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the age of the newest proof.
    pub fn confirmation_age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Tells whether requests can be served: the configuration is known and
    /// servers are.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && !self.servers.is_empty()
    }

    /// Notes how many nodes share the budgets.
    pub fn record_node_count(&mut self, now: Timestamp, nodes: u32) {
        self.nodes.listed(now, nodes.max(1));
    }

    /// Returns the backend servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Takes in what the registry says of one server.
    pub fn set_server(&mut self, now: Timestamp, id: &VmId, entry: Option<Server>) -> ServerChange {
        self.servers.apply(now, id, entry)
    }

    /// Replaces all servers by a full listing; returns those that are gone.
    pub fn set_servers(&mut self, now: Timestamp, listed: BTreeMap<VmId, Server>) -> Vec<VmId> {
        let gone = self.servers.retain(&listed);
        for (id, entry) in listed {
            self.servers.apply(now, &id, Some(entry));
        }
        gone
    }

    /// Finds the route of a request and checks its key.
    ///
    /// # Errors
    ///
    /// Says why it is turned away.
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
            Ok(routed) if routed.organisation.is_none() || confirmed => Ok(routed),
            Err(denied) if confirmed => Err(denied.into()),
            _ => Err(Rejection::Unconfirmed),
        }
    }

    /// Chooses one of a route's services by weight.
    pub fn choose_service(&mut self, routed: &RouteMatch) -> Option<ServiceId> {
        let draw = self.rng.random_range(0.0..1.0);
        super::routes::choose_service(&routed.route, draw).cloned()
    }

    /// Decides about a request that a caller sent.
    pub fn admit(
        &mut self,
        now: Timestamp,
        routed: &RouteMatch,
        service: &ServiceId,
        need: Option<TokenEstimate>,
    ) -> Admission {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.request(now, &self.cfg.budget);
        if let Some(ticket) = self.start(now, service, need, &[]) {
            return Admission::Start(ticket);
        }
        let draw = self.rng.random_range(0.0..1.0);
        let need = need.unwrap_or(TokenEstimate {
            prompt: 0,
            output: 0,
        });
        let target = routed.route.target_latency;
        match self
            .queue
            .enter(now, routed.priority, service, need, target, draw)
        {
            Ok((key, until)) => Admission::Wait(key, until),
            Err(after) => Admission::Refuse(after),
        }
    }

    /// Sends a request once more, if the retry budget allows it and there is
    /// room at other servers than `avoid`.
    pub fn retry(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        need: Option<TokenEstimate>,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let ticket = self.start(now, service, need, avoid)?;
        let nodes = self.nodes.most(now, self.cfg.budget.window);
        let budget = self.budgets.entry(service.clone()).or_default();
        if budget.take(now, &self.cfg.budget, nodes.unwrap_or(ASSUMED_NODES)) {
            return Some(ticket);
        }
        self.release(&ticket);
        None
    }

    /// Returns when a caller that is refused should come back.
    pub fn retry_after(&mut self) -> Duration {
        admission::retry_after(self.rng.random_range(0.0..1.0))
    }

    fn start(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        need: Option<TokenEstimate>,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let configuration = self.configuration.clone()?;
        let spec = configuration.services.get(service)?;
        let rng = &mut self.rng;
        let draw = || rng.random_range(0.0..1.0);
        let target = match (&spec.engine, need) {
            (Some(engine), Some(need)) => {
                let servers = &self.servers;
                let path = paths::choose(engine, servers, service, now, need, avoid, draw)?;
                Target::Engines(path)
            }
            _ => {
                let chosen = plain::choose(&self.servers, service, now, avoid, draw)?;
                Target::Plain {
                    server: chosen.0.clone(),
                    address: chosen.1.entry.address,
                }
            }
        };
        let reading = need.map_or(0, |need| need.prompt);
        for held in target.holds() {
            if let Some(row) = self.servers.get_mut(held.server) {
                if row.requests == 0 {
                    row.busy_since = now;
                }
                row.requests += 1;
                row.tokens += held.tokens;
                if row.failures > 0 {
                    // One request tries the server; others follow its success.
                    row.avoid_until = now + TRIAL;
                }
                row.await_reading(reading, held.crosses);
            }
        }
        Some(Ticket {
            service: service.clone(),
            target,
            unread_tokens: reading,
            acquired_at: now,
        })
    }

    fn release(&mut self, ticket: &Ticket) {
        for held in ticket.target.holds() {
            if let Some(row) = self.row_since(held.server, ticket.acquired_at) {
                row.requests = row.requests.saturating_sub(1);
                row.tokens = row.tokens.saturating_sub(held.tokens);
                row.end_reading(ticket.unread_tokens, held.crosses);
            }
        }
    }

    /// Returns a server unless it started again after `since`: it then has
    /// counts of its own.
    fn row_since(&mut self, id: &VmId, since: Timestamp) -> Option<&mut ServerRow> {
        self.servers.get_mut(id).filter(|row| row.since <= since)
    }

    /// Notes that a stream's first event came: its prompt has been read.
    pub fn record_first_event(&mut self, ticket: &mut Ticket) {
        let reading = std::mem::take(&mut ticket.unread_tokens);
        for held in ticket.target.holds() {
            if let Some(row) = self.row_since(held.server, ticket.acquired_at) {
                row.end_reading(reading, held.crosses);
            }
        }
    }

    /// Ends a ticket and learns from how it ended.
    pub fn finish(&mut self, now: Timestamp, ticket: &Ticket, settled: TicketOutcome) {
        self.release(ticket);
        self.queue.ended(now);
        let first = ticket.target.first().map(|(id, _)| id.clone());
        let at_fault = |servers: &Servers, by: Option<std::net::SocketAddr>| {
            let named = by.and_then(|address| servers.by_address(address).cloned());
            named.or(first.clone())
        };
        match settled {
            TicketOutcome::Answered { took } => {
                for held in ticket.target.holds() {
                    self.succeeded(now, held.server, ticket.acquired_at, took);
                }
            }
            TicketOutcome::Full { by } => {
                if let Some(id) = at_fault(&self.servers, by) {
                    self.refused(now, &id, FULL_PAUSE);
                }
            }
            TicketOutcome::Misdirected { by } => {
                if let Some(id) = at_fault(&self.servers, by) {
                    self.refused(now, &id, MISDIRECTED_PAUSE);
                }
            }
            TicketOutcome::Failed => {
                if let Some(id) = at_fault(&self.servers, None) {
                    self.record_server_failure(now, &id);
                }
            }
            TicketOutcome::Abandoned => {}
        }
    }

    fn succeeded(&mut self, now: Timestamp, id: &VmId, sent: Timestamp, took: Duration) {
        if let Some(row) = self.servers.get_mut(id) {
            row.recovered(now, sent);
            row.latency_ms += (took.as_secs_f64() * 1e3 - row.latency_ms) * LATENCY_GAIN;
        }
    }

    /// Pauses a server that takes no new work.
    fn refused(&mut self, now: Timestamp, id: &VmId, first: Duration) {
        self.pause(now, id, first);
        if let Some(row) = self.servers.get_mut(id) {
            row.refused_at = Some(now);
        }
    }

    /// Pauses a server: for `first`, and twice as long each time in a row.
    fn pause(&mut self, now: Timestamp, id: &VmId, first: Duration) {
        if let Some(row) = self.servers.get_mut(id) {
            let pause = first * 2_u32.saturating_pow(row.failures.min(8));
            row.failures = row.failures.saturating_add(1);
            row.avoid_until = row.avoid_until.max(now + pause.min(LONGEST_PAUSE));
        }
    }

    /// Notes that a server failed a request; it pauses for longer each time.
    pub fn record_server_failure(&mut self, now: Timestamp, id: &VmId) {
        self.pause(now, id, FIRST_PAUSE);
        if let Some(row) = self.servers.get_mut(id) {
            row.latency_ms += (FAILURE_MS - row.latency_ms) * LATENCY_GAIN;
        }
    }

    /// Notes that a stream brought an event, which every engine took part in.
    pub fn record_progress(&mut self, now: Timestamp, ticket: &Ticket) {
        for held in ticket.target.holds() {
            if let Some(row) = self.servers.get_mut(held.server) {
                row.recovered(now, ticket.acquired_at);
            }
        }
    }

    /// Decides about a request that has been silent for some time; it should
    /// be answered within `target`.
    pub fn check_stall(
        &self,
        now: Timestamp,
        ticket: &Ticket,
        silent: Duration,
        begun: bool,
        target: Duration,
    ) -> StallAction {
        match &ticket.target {
            Target::Engines(path) => stall::check_path(&self.servers, now, path, silent, begun),
            Target::Plain { server, .. } => stall::check_plain(server, silent, target),
        }
    }

    /// Starts the waiting requests for which there is room now.
    pub fn start_queued(&mut self, now: Timestamp) -> Vec<(WaitKey, Ticket)> {
        let waiting: Vec<_> = self
            .queue
            .in_order(now)
            .into_iter()
            .map(|(key, w)| (key, w.service.clone(), w.need))
            .collect();
        let mut started = Vec::new();
        for (key, service, need) in waiting {
            let engine = self
                .configuration
                .as_ref()
                .and_then(|c| c.services.get(&service))
                .is_some_and(|s| s.engine.is_some());
            let Some(ticket) = self.start(now, &service, engine.then_some(need), &[]) else {
                // Later ones of the same service need as much or were behind.
                continue;
            };
            self.queue.leave(key);
            started.push((key, ticket));
        }
        started
    }

    /// Takes a request out of the queue.
    pub fn remove_queued(&mut self, key: WaitKey) {
        self.queue.leave(key);
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
