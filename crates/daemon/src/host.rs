//! Runs one node: feeds events to the decision core and executes its actions.
//!
//! The core ([`Node`]) does no I/O. [`Host`] shares it between the
//! [`edges`](crate::edges), which translate the network protocols into events.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use radishhaven_client::{HttpError, JsonClient};
use radishhaven_core::{
    configs::{Configs, Identity, MembershipConfig, OnceConfig},
    ids::{FencingToken, RequestId, RequestKey, ShardId},
    message::{Action, Event, Reply, Submission},
    node::Node,
    once::IdKey,
    peer::Sender,
    time::Timestamp,
};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::mpsc,
};

use crate::{
    clock::{self, Clock},
    edges::{
        callers, engines, operators, orders,
        peers::{self, PeerQueues},
        platform, services,
    },
    settings::Settings,
};

/// Interval at which the core's timers are checked.
const TIMER_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a shutdown checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Time at the end of a shutdown for sending the last bytes of answers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Error of starting a node.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The HTTP client could not be created.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// The decision core of one node, shared by its edges.
#[derive(Debug)]
pub struct Host {
    node: Mutex<Node>,
    replies: Mutex<BTreeMap<RequestKey, mpsc::UnboundedSender<Reply>>>,
    next_key: AtomicU64,
    open_answers: AtomicU64,
    peer_stream_failures: AtomicU64,
    peer_queues: PeerQueues,
    sender: Sender,
    clock: Clock,
    /// Client for requests that may be repeated or whose loss is detected.
    pub(crate) http: JsonClient,
    /// Client for calls that may run at most once. It keeps no idle connections,
    /// so a request is never lost on one that the server has just closed.
    pub(crate) call_http: JsonClient,
    /// The node's settings.
    pub(crate) settings: Settings,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    fn new(settings: Settings) -> Result<Self, StartError> {
        let identity = Identity {
            vm: settings.node.vm.clone(),
            failure_domain: settings.node.failure_domain.clone(),
            address: settings.node.callers,
            incarnation: clock::incarnation(),
        };
        let seed = identity.incarnation.0;
        let sender = Sender {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
        };
        let cfg = Configs {
            identity,
            admission: settings.admission.clone(),
            directory: settings.directory.clone(),
            membership: MembershipConfig {
                peer_address: Some(settings.peers.listen),
                ..settings.membership.clone()
            },
            once: OnceConfig {
                key: IdKey::new(settings.peers.key.as_bytes()),
                ..settings.once.clone()
            },
            recovery: settings.recovery.clone(),
            health: settings.health.clone(),
            lease: settings.lease.clone(),
            orders: settings.orders.clone(),
            flow: settings.flow.clone(),
            hedge: settings.hedge.clone(),
            retry: settings.retry.clone(),
            routing: settings.routing.clone(),
            dissemination: settings.dissemination.clone(),
            snapshots: settings.snapshots.clone(),
            watch: settings.watch.clone(),
            vm_list: settings.vm_list.clone(),
        };
        Ok(Self {
            node: Mutex::new(Node::new(cfg, seed)),
            replies: Mutex::default(),
            next_key: AtomicU64::new(1),
            open_answers: AtomicU64::new(0),
            peer_stream_failures: AtomicU64::new(0),
            peer_queues: PeerQueues::default(),
            sender,
            clock: Clock::start(),
            http: JsonClient::new()?,
            call_http: JsonClient::unpooled()?,
            settings,
        })
    }

    /// Passes an event to the decision core and executes the resulting actions.
    pub fn handle(self: &Arc<Self>, event: Event) {
        // Replies are sent under the lock, which keeps a caller's chunks in order.
        let mut node = lock(&self.node);
        let actions = node.handle(self.clock.now(), event);
        for action in actions {
            self.perform(action);
        }
    }

    /// Calls `f` with mutable access to the decision core, for operations that
    /// need no event and cause no action.
    pub(crate) fn with_node_mut<T>(&self, f: impl FnOnce(&mut Node) -> T) -> T {
        f(&mut lock(&self.node))
    }

    /// Returns the current time on the clock that the decision core uses.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Calls `f` with read access to the decision core.
    pub fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&lock(&self.node))
    }

    /// Returns whether this node currently holds a shard's lease with this
    /// fencing token.
    pub(crate) fn holds_lease(&self, shard: &ShardId, token: FencingToken) -> bool {
        let now = self.clock.now();
        self.read(|node| {
            let leases = node.tables().orders.leases.as_ref();
            leases.and_then(|leases| leases.token(now, shard)) == Some(token)
        })
    }

    /// Submits a request and returns the channel of its replies.
    pub fn submit(
        self: &Arc<Self>,
        submission: Submission,
    ) -> (RequestKey, mpsc::UnboundedReceiver<Reply>) {
        let (key, rx) = self.open_reply_channel();
        let submission = Box::new(submission);
        self.handle(Event::Submit { key, submission });
        (key, rx)
    }

    /// Queries the outcome of a request and returns the channel of the reply.
    pub fn query_status(
        self: &Arc<Self>,
        id: RequestId,
    ) -> (RequestKey, mpsc::UnboundedReceiver<Reply>) {
        let (key, rx) = self.open_reply_channel();
        self.handle(Event::StatusQuery { key, id });
        (key, rx)
    }

    /// Issues an id for one request.
    pub fn issue_id(&self) -> RequestId {
        lock(&self.node).issue_id(self.clock.now())
    }

    /// Opens the channel of the replies to a new request.
    fn open_reply_channel(&self) -> (RequestKey, mpsc::UnboundedReceiver<Reply>) {
        let key = RequestKey(self.next_key.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.replies).insert(key, tx);
        (key, rx)
    }

    /// Returns this node's VM and incarnation, which identify it to its peers.
    pub(crate) fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Counts a failed stream of a peer or a dropped message.
    pub(crate) fn peer_stream_failed(&self) {
        self.peer_stream_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of failed peer streams and dropped messages.
    pub fn peer_stream_failures(&self) -> u64 {
        self.peer_stream_failures.load(Ordering::Relaxed)
    }

    /// Counts an answer that a caller has started to read.
    pub(crate) fn answer_opened(&self) {
        self.open_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an answer as closed: its caller read it to the end or disconnected.
    pub(crate) fn answer_closed(&self) {
        self.open_answers.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether all answers are closed and the decision core is drained.
    fn is_drained(&self) -> bool {
        let all_closed = self.open_answers.load(Ordering::Relaxed) == 0;
        all_closed && self.read(|node| node.is_drained(self.clock.now()))
    }

    /// Reports to the decision core that a caller has disconnected.
    pub fn caller_disconnected(self: &Arc<Self>, key: RequestKey) {
        if lock(&self.replies).remove(&key).is_some() {
            self.handle(Event::CallerDisconnected { key });
        }
    }

    /// Reports to the decision core how many chunks of its answer a caller has
    /// read.
    pub(crate) fn chunks_read(self: &Arc<Self>, key: RequestKey, count: u32) {
        self.handle(Event::ChunksRead { key, chunks: count });
    }

    /// Executes an action. Requests to other processes run in tasks of their own.
    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Reply { key, reply } => self.reply(key, reply),
            Action::AppendLease { body } => orders::append(self, body),
            Action::ReadHoldings { vm, address } => orders::read_holdings(self, vm, address),
            Action::ReadWatched {
                vm,
                address,
                load,
                timeout,
            } => engines::read_watched(self, vm, address, load, timeout),
            Action::SendOrder {
                address,
                shard,
                token,
                desired,
            } => orders::send_order(self, address, shard, token, *desired),
            Action::Step {
                key,
                step,
                address,
                spec,
            } => engines::send_step(self, key, step, address, *spec),
            Action::Import {
                key,
                step,
                address,
                session,
                cache,
                timeout,
            } => engines::import(self, key, step, address, session, *cache, timeout),
            Action::Export {
                key,
                address,
                session,
                timeout,
            } => engines::export(self, key, address, session, timeout),
            Action::Peer {
                to,
                address,
                message,
            } => {
                if !self.peer_queues.send(self, to, address, message) {
                    self.peer_stream_failed();
                }
            }
            Action::WarnNotReady { waited, newest } => error!(
                "the node is still not ready and serves no request",
                kv: { waited_ms = waited.as_millis() as u64, newest = newest.0 }
            ),
            Action::AppendConfig { bodies } => platform::append_all(self, bodies),
            Action::EndSession { address, session } => engines::end_session(self, address, session),
            Action::Call {
                key,
                attempt,
                address,
                id,
                operation,
                body,
                timeout,
                ..
            } => {
                services::call(self, key, attempt, address, id, operation, body, timeout);
            }
        }
    }

    fn reply(&self, key: RequestKey, reply: Reply) {
        let mut replies = lock(&self.replies);
        let last = matches!(reply, Reply::Done(_) | Reply::Status(_));
        // A send fails only if the caller has disconnected, which its edge reports.
        if let Some(tx) = replies.get(&key) {
            let _ = tx.send(reply);
        }
        if last {
            replies.remove(&key);
        }
    }
}

/// A running node.
#[derive(Debug)]
pub struct RunningNode {
    /// The node's host.
    pub host: Arc<Host>,
    /// Listening address for callers.
    pub callers_address: SocketAddr,
    /// Listening address for operators.
    pub operators_address: SocketAddr,
    /// Listening address for peers.
    pub peers_address: SocketAddr,
}

impl RunningNode {
    /// Starts a node on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't listen on one of its addresses or an
    /// HTTP client can't be created.
    pub async fn start(mut settings: Settings) -> Result<Self, StartError> {
        let callers_listener = listen_to_callers(&settings)?;
        let operators_listener = listen(settings.node.operators).await?;
        let peers_listener = listen(settings.peers.listen).await?;
        let address = |l: &TcpListener, configured| l.local_addr().unwrap_or(configured);
        settings.node.callers = address(&callers_listener, settings.node.callers);
        settings.node.operators = address(&operators_listener, settings.node.operators);
        settings.peers.listen = address(&peers_listener, settings.peers.listen);
        let peers_address = settings.peers.listen;
        let (callers_address, operators_address) = (settings.node.callers, settings.node.operators);
        let host = Arc::new(Host::new(settings)?);
        tokio::spawn(callers::serve(host.clone(), callers_listener));
        tokio::spawn(operators::serve(host.clone(), operators_listener));
        tokio::spawn(peers::serve(host.clone(), peers_listener));
        tokio::spawn(platform::replicate_log(host.clone()));
        tokio::spawn(platform::poll_vm_list(host.clone()));
        host.handle(Event::Start);
        tokio::spawn(orders::replicate_leases(host.clone()));
        tokio::spawn(tick(host.clone()));
        Ok(Self {
            host,
            callers_address,
            operators_address,
            peers_address,
        })
    }

    /// Shuts down gracefully. Returns whether all requests ended within the
    /// configured timeout.
    pub async fn drain(&self) -> bool {
        self.host.handle(Event::Drain);
        let timeout = self.host.settings.node.shutdown_timeout;
        let drained = async {
            while !self.host.is_drained() {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let all_ended = tokio::time::timeout(timeout, drained).await.is_ok();
        tokio::time::sleep(FLUSH_TIME).await;
        all_ended
    }
}

/// Listens for callers with a bounded kernel send buffer, which accepted
/// connections inherit.
fn listen_to_callers(settings: &Settings) -> Result<TcpListener, StartError> {
    let address = settings.node.callers;
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_send_buffer_size(settings.callers.send_buffer_bytes)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|source| StartError::Listen { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { address, source })
}

/// Sends a tick event whenever a timer of the decision core is due.
async fn tick(host: Arc<Host>) {
    let mut interval = tokio::time::interval(TIMER_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        let now = host.clock.now();
        if host.read(|node| node.next_due().is_some_and(|due| due <= now)) {
            host.handle(Event::Tick);
        }
    }
}
