//! The state of a gateway: its configuration, routes and backend servers. The decisions
//! on requests are in the modules beside.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

use super::{
    admission::{WaitKey, WaitQueue},
    budget::{BudgetConfig, NodeCount, RetryBudget},
    config::Configuration,
    config_update::ConfigurationHistory,
    faults::Faults,
    freshness::{ConfigurationRead, Freshness},
    hedging::{HedgePercent, Hedging},
    links::LinkTable,
    paths::copies::CopyTable,
    peer_paths::PeerPaths,
    peers::Peer,
    quarantine::Quarantine,
    routes::{RouteError, RouteMatch, RouteTable},
    server_limits::ServerLimits,
    servers::{Server, ServerChange, Servers},
    store_view::{RegistryHistory, StorePosition},
    ticket::Ticket,
    urgency::Priorities,
};
use crate::{
    ids::{FailureDomain, ServiceId, VmId},
    time::Timestamp,
};

/// Number of nodes assumed to share the retry budgets before the first member
/// list arrives.
const DEFAULT_NODE_COUNT: u32 = 16;
/// Versions newer than the active one that are remembered.
const MAX_NEWER_VERSIONS: usize = 32;

/// Limits of a gateway that the operators set.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GatewayConfig {
    /// Age from which a confirmation that the configuration is the newest is no
    /// longer accepted.
    #[serde(rename = "proof_bound")]
    pub max_confirmation_age: Duration,
    /// Time since a peer first reported a newer configuration from which the active one
    /// is no longer used.
    pub max_time_behind: Duration,
    /// The retry budget of each service, shared by all nodes.
    pub budget: BudgetConfig,
    /// The limit of hedges of each service.
    pub hedging: HedgePercent,
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
    /// A newer configuration has been in force at peers for too long.
    #[error("the configuration was replaced")]
    Outdated,
    /// The configuration is older than the one by which a peer has forwarded the request.
    #[error("the configuration is older than that of the peer")]
    Older,
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
    pub(super) cfg: GatewayConfig,
    pub(super) configuration: Option<Arc<Configuration>>,
    routes: RouteTable,
    pub(super) configuration_history: ConfigurationHistory,
    /// Position in the store after the record of the active configuration.
    pub(super) configuration_end: Option<StorePosition>,
    freshness: Freshness,
    /// Versions newer than the active one that peers have reported, with the time of the
    /// first report.
    newer_versions: BTreeMap<u64, Timestamp>,
    /// When a peer last had the newest configuration.
    peers_confirmed_at: Option<Timestamp>,
    pub(super) servers: Servers,
    pub(super) copies: CopyTable,
    pub(super) budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(super) hedging: Hedging,
    pub(super) queue: WaitQueue,
    pub(super) registry: RegistryHistory,
    pub(super) peers: BTreeMap<VmId, Peer>,
    pub(super) quarantine: Quarantine,
    pub(super) limits: ServerLimits,
    pub(super) faults: Faults,
    pub(super) priorities: Priorities,
    /// Whether peers should learn a fault at once.
    pub(super) has_new_fault: bool,
    pub(super) links: LinkTable,
    pub(super) peer_paths: PeerPaths,
    /// The failure domain of this node, if it is known.
    pub(super) failure_domain: Option<FailureDomain>,
    pub(super) nodes: NodeCount,
    pub(super) rng: StdRng,
}

impl Gateway {
    /// Creates a gateway without a configuration or servers. `seed` initialises
    /// its random number generator.
    pub fn new(cfg: GatewayConfig, seed: u64) -> Self {
        Self {
            hedging: Hedging::new(cfg.hedging),
            cfg,
            configuration: None,
            routes: RouteTable::default(),
            configuration_history: ConfigurationHistory::default(),
            configuration_end: None,
            freshness: Freshness::default(),
            newer_versions: BTreeMap::new(),
            peers_confirmed_at: None,
            servers: Servers::default(),
            copies: CopyTable::default(),
            budgets: BTreeMap::new(),
            queue: WaitQueue::default(),
            registry: RegistryHistory::default(),
            peers: BTreeMap::new(),
            quarantine: Quarantine::default(),
            limits: ServerLimits::default(),
            faults: Faults::default(),
            priorities: Priorities::default(),
            has_new_fault: false,
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
        if let Some(replaced) = &self.configuration {
            self.configuration_history.record(replaced, &configuration);
        }
        let active = configuration.version;
        self.newer_versions.retain(|version, _| *version > active);
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
    pub(super) fn record_configuration_version(&mut self, now: Timestamp, version: u64) {
        let active = self.configuration.as_ref().map_or(0, |c| c.version);
        if version <= active {
            return;
        }
        self.newer_versions.entry(version).or_insert(now);
        if self.newer_versions.len() > MAX_NEWER_VERSIONS {
            // The oldest report decides how long this node has been behind, and the
            // newest version what confirms its configuration.
            let last_but_one = self.newer_versions.keys().rev().nth(1).copied();
            last_but_one.map(|version| self.newer_versions.remove(&version));
        }
    }

    /// Returns whether the active configuration was replaced so long ago that no request
    /// may be handled by it. This counts only while a peer that has a newer one can serve
    /// the callers.
    fn is_outdated(&self, now: Timestamp) -> bool {
        let first_report = self.newer_versions.values().min();
        let active = self.configuration.as_ref().map(|c| c.version);
        first_report.is_some_and(|at| now.since(*at) >= self.cfg.max_time_behind)
            && self
                .fresh_reports(now)
                .any(|(_, report)| report.configuration_version > active)
    }

    /// Records that a peer has confirmed at `at` that its configuration `version` is the
    /// newest. This confirms the configuration of a process that has begun in a later era
    /// of the store, so that it need not wait for a write.
    pub(super) fn record_confirmation_of(&mut self, now: Timestamp, at: Timestamp, version: u64) {
        let is_active = self.configuration().is_some_and(|c| c.version == version);
        if is_active && self.freshness.relies_on_peers(now) {
            self.confirm_configuration(at);
        }
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
        self.is_outdated(now)
            || (!self.is_confirmed(now) && peers_confirmed.is_some_and(|at| now.since(at) < bound))
    }

    /// Returns whether keys can be checked: the active configuration was confirmed recently.
    ///
    /// A confirmation that may rest on an older copy of the store ends when a peer names a
    /// newer version. Any other one proves that the newer version is younger than itself,
    /// so it counts while that version is being read.
    fn is_confirmed(&self, now: Timestamp) -> bool {
        let bound = self.cfg.max_confirmation_age;
        let registry_era = self.registry_end().map(|end| end.era);
        self.freshness.is_fresh(now, bound)
            && (self.has_newest_known_configuration()
                || !self.freshness.may_lack_newest(registry_era))
    }

    /// Returns whether no peer has a newer configuration. The store may return
    /// from a copy that lacks it.
    pub fn has_newest_known_configuration(&self) -> bool {
        self.newer_versions.is_empty()
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
        self.review_links();
        change
    }

    /// Replaces all servers with a full listing and returns the removed ones.
    pub fn set_servers(&mut self, now: Timestamp, listed: BTreeMap<VmId, Server>) -> Vec<VmId> {
        let removed = self.servers.retain(now, &listed);
        for (id, entry) in listed {
            self.servers.apply(now, &id, Some(entry));
        }
        self.review_links();
        removed
    }

    /// Returns the route of a request after verifying its key.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no configuration, if the configuration was
    /// replaced or not confirmed recently, or if it does not allow the request.
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
        if self.is_outdated(now) {
            return Err(Rejection::Outdated);
        }
        let confirmed = self.is_confirmed(now);
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

    /// Returns the number of nodes that share budgets and limits.
    pub(super) fn node_count(&mut self, now: Timestamp) -> u32 {
        let listed = self.nodes.max_in_window(now, self.cfg.budget.window);
        let unlisted = self.unlisted_nodes(now).count;
        let nodes = listed.map(|listed| listed.saturating_add(unlisted));
        nodes.unwrap_or(DEFAULT_NODE_COUNT)
    }
}
