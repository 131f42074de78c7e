//! The state of one gateway, shared by its listeners and tasks.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use radishhaven_core::{
    gateway::{
        Gateway, RouteKind, StoreEra, Target, Ticket, TicketOutcome,
        admission::{RequestSource, WaitKey},
        drain::DrainSchedule,
        hedging::{HedgeRefusal, HedgeRequest},
        hubs::HubRole,
        members::MemberTable,
        paths::TokenEstimate,
        request_rate::{InvalidRate, RequestRate},
        routes::RouteMatch,
        state::Admission,
    },
    ids::{FencingToken, ServiceId, VmId},
    time::Timestamp,
};
use radishhaven_platform::store::StoreClient;
use spdlog::prelude::*;
use tokio::sync::{Notify, oneshot};

use super::{
    GatewaySettings, caller_account::CallerAccount, closing::Closing, metrics::GatewayMetrics,
    peer_forwarding::PeerConnections, response_memory::ResponseMemory,
};
use crate::clock::Clock;

/// Delay of two reports in a row from which the processor is too busy for requests of peers.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);

/// Why a gateway could not be started.
#[derive(Debug, thiserror::Error)]
pub enum GatewayStartError {
    /// A listener can't be bound to an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler can't be installed.
    #[error("cannot receive signals: {0}")]
    Signal(std::io::Error),
}

/// The group of nodes, as last read from the store.
#[derive(Debug, Default)]
pub struct PeerState {
    /// The nodes that serve callers.
    pub members: MemberTable,
    /// Whether this node is a hub or a leaf.
    pub role: HubRole,
    /// When a hub last responded to this node.
    pub last_hub_contact: Option<Timestamp>,
    /// The lease for orders to engines, if this node holds it.
    pub order_lease: Option<OrderLease>,
    /// The last token that an engine has refused, and when.
    pub refused_token: Option<(FencingToken, Timestamp)>,
}

/// The right to send orders to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderLease {
    /// The fencing token of the orders.
    pub token: FencingToken,
    /// When the lease expires.
    pub until: Timestamp,
    /// The era of the store that granted the lease.
    pub era: StoreEra,
}

/// One gateway: its decision state and what its listeners and tasks share.
#[derive(Debug)]
pub struct GatewayHost {
    gateway: Mutex<Gateway>,
    waiters: Mutex<BTreeMap<WaitKey, oneshot::Sender<TicketGuard>>>,
    /// The group of nodes.
    pub(super) peers: Mutex<PeerState>,
    /// Wakes the reader of the configuration when a peer has a newer version.
    pub(super) newer_configuration: Notify,
    /// The address of the peer that was last heard to have a newer configuration.
    newer_configuration_at: Mutex<Option<SocketAddr>>,
    /// Wakes requests when some are quarantined.
    pub(super) quarantine_changed: Notify,
    /// Whether causes of crashes are left out of the evidence or the reports at a time.
    leaves_causes_out: AtomicBool,
    /// Wakes the sender of reports when peers should learn something at once.
    pub(super) report_soon: Notify,
    /// Wakes the task that probes links.
    pub(super) probes_changed: Notify,
    /// The connections to peers that forward requests of this node.
    pub(super) peer_connections: PeerConnections,
    /// How late both of the last two reports were sent, in milliseconds. It grows when
    /// the processor is busy.
    pub(super) report_delay_ms: AtomicU64,
    clock: Clock,
    /// The settings.
    pub(super) settings: GatewaySettings,
    /// The platform's store.
    pub(super) store: StoreClient,
    /// Counters and histograms.
    pub(super) metrics: GatewayMetrics,
    /// When the shutdown began.
    drain_started: OnceLock<Timestamp>,
    /// Wakes requests when the shutdown begins.
    drain_began: Notify,
    /// What callers and peers occupy in this process.
    pub(super) callers: Arc<CallerAccount>,
    /// What responses occupy in this process while they are received.
    pub(super) responses: Arc<ResponseMemory>,
    /// Closes the connections of callers and peers.
    pub(super) closing: Closing,
    /// Whether the process exits now, even if requests are still open.
    stopping: AtomicBool,
    open_count: AtomicU64,
}

/// Locks a mutex, even if a thread panicked while holding it: the tables are
/// consistent between calls.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Settles its ticket as abandoned when dropped, unless it was settled before.
#[derive(Debug)]
pub(super) struct TicketGuard {
    host: Arc<GatewayHost>,
    ticket: Option<Ticket>,
}

impl TicketGuard {
    fn new(host: &Arc<GatewayHost>, ticket: Ticket) -> Self {
        Self {
            host: host.clone(),
            ticket: Some(ticket),
        }
    }

    /// Returns the ticket.
    pub(super) fn ticket(&self) -> &Ticket {
        self.ticket.as_ref().expect("a ticket is settled only once")
    }

    /// Records that the first event of a stream arrived.
    pub(super) fn record_first_event(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            self.host.with_gateway(|g| g.record_first_event(ticket));
        }
    }

    /// Returns the target of the request.
    pub(super) fn target(&self) -> &Target {
        &self.ticket().target
    }

    /// Settles the ticket with the outcome of the request.
    pub(super) fn settle(mut self, settled: TicketOutcome) {
        self.end(settled);
    }

    fn end(&mut self, settled: TicketOutcome) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.host.now();
            self.host.with_gateway(|g| g.finish(now, &ticket, settled));
            self.host.publish_faults();
            self.host.start_waiting_requests();
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.end(TicketOutcome::Abandoned);
    }
}

/// Removes a request from the wait queue when its caller disconnects.
struct WaitGuard<'a> {
    host: &'a Arc<GatewayHost>,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.host.with_gateway(|g| g.remove_queued(self.key));
        lock(&self.host.waiters).remove(&self.key);
    }
}

/// The result of the admission of a new request.
#[derive(Debug)]
pub(super) enum AdmissionOutcome {
    /// The request may be sent.
    Admitted(TicketGuard),
    /// The request is refused.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Whether the request waited in the queue first.
        waited: bool,
    },
}

impl GatewayHost {
    /// Creates a host without any configuration or backend servers.
    pub fn new(settings: GatewaySettings) -> Self {
        let seed = crate::clock::incarnation().0;
        let mut gateway = Gateway::new(settings.gateway_config(), seed);
        gateway.set_failure_domain(settings.node.failure_domain.clone());
        let callers = Arc::new(CallerAccount::new(settings.limits));
        Self {
            gateway: Mutex::new(gateway),
            waiters: Mutex::default(),
            peers: Mutex::default(),
            newer_configuration: Notify::new(),
            newer_configuration_at: Mutex::default(),
            quarantine_changed: Notify::new(),
            leaves_causes_out: AtomicBool::new(false),
            report_soon: Notify::new(),
            probes_changed: Notify::new(),
            peer_connections: PeerConnections::default(),
            report_delay_ms: AtomicU64::new(0),
            clock: Clock::start(),
            store: StoreClient::new(settings.store.address),
            responses: Arc::new(ResponseMemory::new(settings.limits, callers.clone())),
            callers,
            settings,
            metrics: GatewayMetrics::default(),
            drain_started: OnceLock::new(),
            drain_began: Notify::new(),
            closing: Closing::default(),
            stopping: AtomicBool::new(false),
            open_count: AtomicU64::new(0),
        }
    }

    /// Returns the settings, with the bound ports.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Returns the current time on the clock of the decisions.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Runs `work` on the locked gateway state; `work` must not block.
    pub(super) fn with_gateway<T>(&self, work: impl FnOnce(&mut Gateway) -> T) -> T {
        work(&mut lock(&self.gateway))
    }

    /// Returns whether the node accepts new callers.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_draining() && self.with_gateway(|g| g.is_ready())
    }

    /// Returns whether callers should use this node: it is ready, and accepts
    /// keys unless no node does.
    pub(super) fn accepts_callers(&self) -> bool {
        let now = self.now();
        self.is_ready() && !self.with_gateway(|g| g.is_left_behind(now))
    }

    /// Returns the lease for orders if it is valid: it ends with its time, and
    /// when the store returns from a copy that may lack it.
    pub(super) fn order_lease(&self) -> Option<OrderLease> {
        let (now, era) = (self.now(), self.store.era());
        let lease = lock(&self.peers).order_lease;
        lease.filter(|lease| now < lease.until && lease.era == era)
    }

    /// Gives up the lease whose token an engine has refused. Another node holds the lease,
    /// unless the store grants it again in answer to a later call.
    pub(super) fn record_refused_token(&self, token: FencingToken) {
        let mut peers = lock(&self.peers);
        peers.refused_token = Some((token, self.now()));
        if peers.order_lease.is_some_and(|lease| lease.token <= token) {
            peers.order_lease = None;
        }
    }

    /// Returns whether this node is a leaf: a hub reads the store for it.
    pub(super) fn is_leaf(&self) -> bool {
        matches!(lock(&self.peers).role, HubRole::Leaf { .. })
    }

    /// Returns whether this node is a hub that reads the store for other nodes.
    pub(super) fn has_leaves(&self) -> bool {
        let role = &lock(&self.peers).role;
        matches!(role, HubRole::Hub { has_leaves, .. } if *has_leaves)
    }

    /// Records that the peer at `address` has this version of the configuration, and
    /// wakes the reader if it is newer.
    pub(super) fn record_peer_configuration(&self, address: SocketAddr, version: Option<u64>) {
        if version > self.with_gateway(|g| g.configuration().map(|c| c.version)) {
            *lock(&self.newer_configuration_at) = Some(address);
            self.newer_configuration.notify_one();
        }
    }

    /// Returns the address of a peer with a newer configuration, if one is known.
    pub(super) fn newer_configuration_at(&self) -> Option<SocketAddr> {
        let is_behind = !self.with_gateway(|g| g.has_newest_known_configuration());
        let address = *lock(&self.newer_configuration_at);
        address.filter(|_| is_behind)
    }

    /// Returns whether the node is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.drain_started.get().is_some()
    }

    /// Returns the times of a shutdown.
    pub(super) fn drain_schedule(&self) -> DrainSchedule {
        DrainSchedule::new(self.settings.bounds.grace_period)
    }

    /// Returns the time since the shutdown began, or `None` if it has not.
    pub(super) fn drain_elapsed(&self) -> Option<Duration> {
        let started = self.drain_started.get()?;
        Some(self.now().since(*started))
    }

    /// Returns whether a new request with this time limit is still accepted.
    pub(super) fn accepts(&self, kind: RouteKind, time_limit: Duration) -> bool {
        let schedule = self.drain_schedule();
        self.drain_elapsed()
            .is_none_or(|elapsed| schedule.accepts(elapsed, kind, time_limit))
    }

    /// Begins the shutdown.
    pub(super) fn begin_drain(&self) {
        self.drain_started.get_or_init(|| self.now());
        self.drain_began.notify_waiters();
    }

    /// Waits until every request has to be answered because the process is about to end.
    pub(super) async fn answers_due(&self) {
        let began = self.drain_began.notified();
        let elapsed = match self.drain_elapsed() {
            Some(elapsed) => elapsed,
            None => {
                began.await;
                Duration::ZERO
            }
        };
        let due = self.drain_schedule().last_end();
        tokio::time::sleep(due.saturating_sub(elapsed)).await;
    }

    /// Marks the process as about to exit.
    pub(super) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is about to exit.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the number of requests without a complete response.
    pub(super) fn open_requests(&self) -> u64 {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(super) fn track_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open_count.fetch_add(1, Ordering::Relaxed);
        OpenRequestGuard { host: self.clone() }
    }

    /// Admits a new request, queues it until there is capacity, or refuses it. It
    /// is not queued beyond its `deadline`.
    pub(super) async fn admit(
        self: &Arc<Self>,
        routed: &RouteMatch,
        service: &ServiceId,
        demand: Option<TokenEstimate>,
        source: RequestSource,
        deadline: Timestamp,
    ) -> AdmissionOutcome {
        let now = self.now();
        let admission = self.with_gateway(|g| g.admit_from(now, routed, service, demand, source));
        let (key, until) = match admission {
            Admission::Start(ticket) => {
                return AdmissionOutcome::Admitted(TicketGuard::new(self, ticket));
            }
            Admission::Refuse(retry_after) => {
                self.with_gateway(|g| g.hedging().record_refusal(now, service));
                return AdmissionOutcome::Refused {
                    retry_after,
                    waited: false,
                };
            }
            Admission::Wait(key, until) => (key, until),
        };
        let (tx, mut rx) = oneshot::channel();
        lock(&self.waiters).insert(key, tx);
        let _guard = WaitGuard { host: self, key };
        let max_wait = until.min(deadline).since(now);
        match tokio::time::timeout(max_wait, &mut rx).await {
            Ok(Ok(guard)) => AdmissionOutcome::Admitted(guard),
            _ => match rx.try_recv() {
                Ok(guard) => AdmissionOutcome::Admitted(guard),
                Err(_) => {
                    let now = self.now();
                    let retry_after = self.with_gateway(|g| {
                        g.hedging().record_refusal(now, service);
                        g.retry_after_refusal(now, service)
                    });
                    AdmissionOutcome::Refused {
                        retry_after,
                        waited: true,
                    }
                }
            },
        }
    }

    /// Reserves capacity for another send of a request. Returns `None` if the
    /// retry budget is exhausted or no server other than `excluded` has
    /// capacity.
    pub(super) fn retry(
        self: &Arc<Self>,
        service: &ServiceId,
        demand: Option<TokenEstimate>,
        excluded: &[VmId],
    ) -> Option<TicketGuard> {
        let now = self.now();
        let ticket = self.with_gateway(|g| g.retry(now, service, demand, excluded))?;
        self.metrics.repeats.inc();
        Some(TicketGuard::new(self, ticket))
    }

    /// Reserves another server for the second attempt of a request.
    pub(super) fn hedge(
        self: &Arc<Self>,
        request: &HedgeRequest<'_>,
    ) -> Result<TicketGuard, HedgeRefusal> {
        let now = self.now();
        let hedged = self.with_gateway(|g| g.hedge(now, request));
        match &hedged {
            Ok(_) => {
                self.metrics.repeats.inc();
                self.metrics.record_hedge("sent");
            }
            Err(refusal) => self
                .metrics
                .record_hedge(&format!("refused_{}", refusal.as_str())),
        }
        Ok(TicketGuard::new(self, hedged?))
    }

    /// Reserves capacity for another send of a request that no server has seen yet.
    pub(super) fn retry_unseen(
        self: &Arc<Self>,
        service: &ServiceId,
        demand: Option<TokenEstimate>,
        excluded: &[VmId],
    ) -> Option<TicketGuard> {
        let now = self.now();
        let ticket = self.with_gateway(|g| g.retry_unseen(now, service, demand, excluded))?;
        Some(TicketGuard::new(self, ticket))
    }

    /// Tells peers at once if this node found a fault of an engine.
    pub(super) fn publish_faults(&self) {
        if self.with_gateway(|g| g.take_new_fault()) {
            self.report_soon.notify_one();
        }
    }

    /// Returns the number of open requests that came from callers.
    pub(super) fn own_requests(&self) -> u32 {
        let taken = u64::from(self.with_gateway(|g| g.peer_requests()));
        let own = self.open_requests().saturating_sub(taken);
        u32::try_from(own).unwrap_or(u32::MAX)
    }

    /// Returns whether the node takes requests of peers: it serves, and its processor
    /// is not so busy that they would delay those of its own callers.
    pub(super) fn takes_peer_requests(&self) -> bool {
        let delay = self.report_delay_ms.load(Ordering::Relaxed);
        self.is_ready() && Duration::from_millis(delay) < MAX_REPORT_DELAY
    }

    /// Takes a request of a peer, unless there are too many of them.
    pub(super) fn take_peer_request(self: &Arc<Self>) -> Option<PeerRequestGuard> {
        let own = self.own_requests();
        let has_room = self.takes_peer_requests() && self.with_gateway(|g| g.peer_room(own)) > 0;
        has_room.then(|| {
            self.with_gateway(|g| g.begin_peer_request());
            PeerRequestGuard { host: self.clone() }
        })
    }

    /// Records that a server stated in a response that it is leaving.
    pub(super) fn record_leaving(&self, server: &VmId) {
        let now = self.now();
        if self.with_gateway(|g| g.record_leaving(now, server)) {
            info!("a server stated that it is leaving", kv: { server = server.as_str() });
        }
    }

    /// Records what a server stated about its limit in the response to a request
    /// that was sent at `sent`.
    pub(super) fn record_limit(
        &self,
        server: &VmId,
        sent: Timestamp,
        named: Option<Result<RequestRate, InvalidRate>>,
    ) {
        let now = self.now();
        match named.transpose() {
            Ok(limit) => self.with_gateway(|g| g.record_limit(now, server, sent, limit)),
            Err(error) => warn!("a server named an invalid limit", kv: {
                server = server.as_str(),
                error = error.to_string(),
            }),
        }
        self.log_limits();
    }

    /// Logs the latest changes of limits.
    pub(super) fn log_limits(&self) {
        for change in self.with_gateway(Gateway::take_limit_changes) {
            let server = change.server.as_str();
            match change.limit {
                Some(limit) => info!("a server named a limit", kv: {
                    server,
                    limit = limit.to_string(),
                }),
                None => info!("a server has no limit any more", kv: { server }),
            }
        }
    }

    /// Logs the latest changes of the quarantine and wakes the requests that they
    /// may concern.
    pub(super) fn publish_quarantine(&self) {
        let changes = self.with_gateway(Gateway::take_quarantine_changes);
        for change in &changes {
            match change.quarantined {
                Some(quarantined) => {
                    self.metrics.quarantined.inc();
                    warn!("requests are quarantined", kv: {
                        cause = change.cause.to_string(),
                        crashes = quarantined.crashes,
                        for_ms = quarantined.until.since(self.now()).as_millis() as u64,
                    });
                }
                None => info!("requests are released from quarantine", kv: {
                    cause = change.cause.to_string(),
                }),
            }
        }
        if !changes.is_empty() {
            self.quarantine_changed.notify_waiters();
        }
        self.log_causes_left_out();
    }

    /// Logs when the evidence about crashes no longer has room, and when it has again.
    fn log_causes_left_out(&self) {
        let left_out = self.with_gateway(|g| g.crash_causes_left_out());
        let was_complete = !self.leaves_causes_out.swap(left_out > 0, Ordering::Relaxed);
        match (was_complete, left_out) {
            (true, 1..) => warn!("the evidence about crashes takes turns", kv: { left_out }),
            (false, 0) => info!("the evidence about crashes is complete again"),
            _ => {}
        }
    }

    /// Starts queued requests for which there is capacity now.
    pub(super) fn start_waiting_requests(self: &Arc<Self>) {
        if self.with_gateway(|g| g.queued()) == 0 {
            return;
        }
        let now = self.now();
        for (key, ticket) in self.with_gateway(|g| g.start_queued(now)) {
            let guard = TicketGuard::new(self, ticket);
            let tx = lock(&self.waiters).remove(&key);
            // If the caller has disconnected, dropping the guard releases the
            // capacity.
            if let Some(tx) = tx {
                let _ = tx.send(guard);
            }
        }
    }
}

/// Counts a request of a peer as running until it is dropped.
#[derive(Debug)]
pub(super) struct PeerRequestGuard {
    host: Arc<GatewayHost>,
}

impl Drop for PeerRequestGuard {
    fn drop(&mut self) {
        self.host.with_gateway(|g| g.end_peer_request());
    }
}

/// Counts one request as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequestGuard {
    host: Arc<GatewayHost>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.host.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}
