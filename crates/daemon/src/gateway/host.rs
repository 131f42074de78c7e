//! The decisions of one gateway, shared by its edges.

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
        Gateway, RouteKind, Target, Ticket, TicketOutcome, admission::WaitKey, drain,
        hubs::HubRole, paths::TokenEstimate, routes::RouteMatch, state::Admission,
    },
    ids::{FencingToken, ServiceId, VmId},
    time::Timestamp,
};
use radishhaven_platform::{members::Member, store::Store};
use tokio::sync::{Notify, oneshot};

use super::{GatewaySettings, metrics::GatewayMetrics};
use crate::clock::Clock;

/// Why a gateway could not be started.
#[derive(Debug, thiserror::Error)]
pub enum GatewayStartError {
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A signal can't be received.
    #[error("cannot receive signals: {0}")]
    Signal(std::io::Error),
}

/// What the node knows of its peers.
#[derive(Debug, Default)]
pub struct Peers {
    /// The nodes that serve, as the store last said.
    pub members: Vec<Member>,
    /// This node's part among them.
    pub standing: HubRole,
    /// The token for orders and until when it is good, if this node leads.
    pub leads: Option<(FencingToken, Timestamp)>,
}

/// The decisions of one gateway, with what its edges share.
#[derive(Debug)]
pub struct GatewayHost {
    gateway: Mutex<Gateway>,
    waiters: Mutex<BTreeMap<WaitKey, oneshot::Sender<Hold>>>,
    /// What is known of the peers.
    pub(super) peers: Mutex<Peers>,
    /// Wakes the reader of the configuration when a hub knows a newer one.
    pub(super) newer_configuration: Notify,
    clock: Clock,
    /// The settings.
    pub(super) settings: GatewaySettings,
    /// The platform's store.
    pub(super) store: Store,
    /// Counters and histograms.
    pub(super) metrics: GatewayMetrics,
    /// When the shutdown began.
    draining: OnceLock<Timestamp>,
    /// Whether the process ends now, whatever is still open.
    stopping: AtomicBool,
    open: AtomicU64,
}

/// Locks, also after a panic elsewhere: the tables stay consistent between
/// calls.
pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A ticket that settles itself as abandoned when it is dropped.
#[derive(Debug)]
pub(super) struct Hold {
    host: Arc<GatewayHost>,
    ticket: Option<Ticket>,
}

impl Hold {
    fn new(host: &Arc<GatewayHost>, ticket: Ticket) -> Self {
        Self {
            host: host.clone(),
            ticket: Some(ticket),
        }
    }

    /// Returns the ticket.
    pub(super) fn ticket(&self) -> &Ticket {
        self.ticket.as_ref().expect("a hold is settled only once")
    }

    /// Notes that the first event came.
    pub(super) fn begun(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            self.host.decide(|g| g.record_first_event(ticket));
        }
    }

    /// Returns where the request is sent.
    pub(super) fn target(&self) -> &Target {
        &self.ticket().target
    }

    /// Ends the hold and says how the request ended.
    pub(super) fn settle(mut self, settled: TicketOutcome) {
        self.end(settled);
    }

    fn end(&mut self, settled: TicketOutcome) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.host.now();
            self.host.decide(|g| g.finish(now, &ticket, settled));
            self.host.serve_waiting();
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.end(TicketOutcome::Abandoned);
    }
}

/// Takes a request out of the queue when its caller leaves.
struct WaitGuard<'a> {
    host: &'a Arc<GatewayHost>,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.host.decide(|g| g.remove_queued(self.key));
        locked(&self.host.waiters).remove(&self.key);
    }
}

/// What became of a new request before it was sent.
#[derive(Debug)]
pub(super) enum Admitted {
    /// It is sent.
    Go(Hold),
    /// It is refused; the caller should come back after this time.
    Refused {
        /// The time.
        after: Duration,
        /// Whether it waited first.
        waited: bool,
    },
}

impl GatewayHost {
    /// Makes a host that knows nothing yet.
    pub fn new(settings: GatewaySettings) -> Self {
        let seed = crate::clock::incarnation().0;
        Self {
            gateway: Mutex::new(Gateway::new(settings.decisions(), seed)),
            waiters: Mutex::default(),
            peers: Mutex::default(),
            newer_configuration: Notify::new(),
            clock: Clock::start(),
            store: Store::new(settings.store.address),
            settings,
            metrics: GatewayMetrics::default(),
            draining: OnceLock::new(),
            stopping: AtomicBool::new(false),
            open: AtomicU64::new(0),
        }
    }

    /// Returns the settings, with the ports that were bound.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Returns the current time as the decisions see it.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Asks the decisions; nothing slow may happen in `work`.
    pub(super) fn decide<T>(&self, work: impl FnOnce(&mut Gateway) -> T) -> T {
        work(&mut locked(&self.gateway))
    }

    /// Tells whether the node takes new callers.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_draining() && self.decide(|g| g.is_ready())
    }

    /// Tells whether a hub reads the store for this node.
    pub(super) fn is_leaf(&self) -> bool {
        matches!(locked(&self.peers).standing, HubRole::Leaf { .. })
    }

    /// Tells whether this node reads the store for others.
    pub(super) fn has_leaves(&self) -> bool {
        let standing = &locked(&self.peers).standing;
        matches!(standing, HubRole::Hub { has_leaves, .. } if *has_leaves)
    }

    /// Tells whether the node is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Tells whether a request of a kind is still taken.
    pub(super) fn takes(&self, kind: RouteKind) -> bool {
        let Some(begun) = self.draining.get() else {
            return true;
        };
        let spent = self.now().since(*begun);
        drain::accepts(kind, spent, self.settings.bounds.grace)
    }

    /// Begins the shutdown.
    pub(super) fn drain(&self) {
        self.draining.get_or_init(|| self.now());
    }

    /// Notes that the process ends now.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Tells whether the process ends now.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that are not answered yet.
    pub(super) fn open_requests(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a request until its guard is dropped.
    pub(super) fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenRequest { host: self.clone() }
    }

    /// Lets a new request begin, wait or be refused.
    pub(super) async fn admit(
        self: &Arc<Self>,
        routed: &RouteMatch,
        service: &ServiceId,
        need: Option<TokenEstimate>,
    ) -> Admitted {
        let now = self.now();
        let (key, until) = match self.decide(|g| g.admit(now, routed, service, need)) {
            Admission::Start(ticket) => return Admitted::Go(Hold::new(self, ticket)),
            Admission::Refuse(after) => {
                return Admitted::Refused {
                    after,
                    waited: false,
                };
            }
            Admission::Wait(key, until) => (key, until),
        };
        let (tx, mut rx) = oneshot::channel();
        locked(&self.waiters).insert(key, tx);
        let _guard = WaitGuard { host: self, key };
        let wait = until.since(now);
        match tokio::time::timeout(wait, &mut rx).await {
            Ok(Ok(hold)) => Admitted::Go(hold),
            _ => match rx.try_recv() {
                Ok(hold) => Admitted::Go(hold),
                Err(_) => Admitted::Refused {
                    after: self.decide(|g| g.retry_after()),
                    waited: true,
                },
            },
        }
    }

    /// Sends a request once more, if that is allowed and there is room.
    pub(super) fn again(
        self: &Arc<Self>,
        service: &ServiceId,
        need: Option<TokenEstimate>,
        avoid: &[VmId],
    ) -> Option<Hold> {
        let now = self.now();
        let ticket = self.decide(|g| g.retry(now, service, need, avoid))?;
        self.metrics.repeats.inc();
        Some(Hold::new(self, ticket))
    }

    /// Starts the waiting requests for which there is room now.
    pub(super) fn serve_waiting(self: &Arc<Self>) {
        if self.decide(|g| g.queued()) == 0 {
            return;
        }
        let now = self.now();
        for (key, ticket) in self.decide(|g| g.start_queued(now)) {
            let hold = Hold::new(self, ticket);
            let tx = locked(&self.waiters).remove(&key);
            // A caller that left meanwhile gives the room back by the drop.
            if let Some(tx) = tx {
                let _ = tx.send(hold);
            }
        }
    }
}

/// Counts one request that is not answered yet.
#[derive(Debug)]
pub(super) struct OpenRequest {
    host: Arc<GatewayHost>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.host.open.fetch_sub(1, Ordering::Relaxed);
    }
}
