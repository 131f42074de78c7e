//! Runs the decisions of one node with its edges around them.

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
        peers::{self, Links},
        platform, services,
    },
    settings::Settings,
};

/// Time between two looks at the subscriptions that are due.
const TICK: Duration = Duration::from_millis(2);
/// Time between two looks at whether a shutdown is over.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted at most.
const LISTEN_BACKLOG: u32 = 1024;
/// Time left for the last bytes of answers to leave.
const FLUSH: Duration = Duration::from_millis(100);

/// Why a node could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The HTTP client can't be made.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// The decisions of one node, shared by its edges.
#[derive(Debug)]
pub struct Host {
    node: Mutex<Node>,
    replies: Mutex<BTreeMap<RequestKey, mpsc::UnboundedSender<Reply>>>,
    next_key: AtomicU64,
    open_answers: AtomicU64,
    peer_stream_failures: AtomicU64,
    links: Links,
    sender: Sender,
    clock: Clock,
    /// Client for exchanges that may be repeated or whose loss is detected.
    pub(crate) http: JsonClient,
    /// Client for calls that may run at most once.
    pub(crate) call_http: JsonClient,
    /// The node's settings.
    pub(crate) settings: Settings,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
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
            links: Links::default(),
            sender,
            clock: Clock::start(),
            http: JsonClient::new()?,
            call_http: JsonClient::unpooled()?,
            settings,
        })
    }

    /// Hands an event to the decisions and carries out what they say.
    pub fn handle(self: &Arc<Self>, event: Event) {
        // Replies leave under the lock, so that one caller's parts stay in order.
        let mut node = locked(&self.node);
        let actions = node.handle(self.clock.now(), event);
        for action in actions {
            self.perform(action);
        }
    }

    /// Asks the decisions for something that needs no event and causes no action.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Node) -> T) -> T {
        work(&mut locked(&self.node))
    }

    /// Returns the current time as the decisions see it.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Looks at the decisions' state.
    pub fn read<T>(&self, look: impl FnOnce(&Node) -> T) -> T {
        look(&locked(&self.node))
    }

    /// Tells whether this node holds a shard's lease under a token right now.
    pub(crate) fn holds_lease(&self, shard: &ShardId, token: FencingToken) -> bool {
        let now = self.clock.now();
        self.read(|node| {
            let leases = node.tables().orders.leases.as_ref();
            leases.and_then(|leases| leases.token(now, shard)) == Some(token)
        })
    }

    /// Submits a request; its answer comes over the channel.
    pub fn submit(
        self: &Arc<Self>,
        submission: Submission,
    ) -> (RequestKey, mpsc::UnboundedReceiver<Reply>) {
        let (key, rx) = self.open_answer();
        let submission = Box::new(submission);
        self.handle(Event::Submit { key, submission });
        (key, rx)
    }

    /// Asks what became of a request; the answer comes over the channel.
    pub fn inquire(
        self: &Arc<Self>,
        id: RequestId,
    ) -> (RequestKey, mpsc::UnboundedReceiver<Reply>) {
        let (key, rx) = self.open_answer();
        self.handle(Event::StatusQuery { key, id });
        (key, rx)
    }

    /// Mints an id for one request.
    pub fn mint(&self) -> RequestId {
        locked(&self.node).issue_id(self.clock.now())
    }

    fn open_answer(&self) -> (RequestKey, mpsc::UnboundedReceiver<Reply>) {
        let key = RequestKey(self.next_key.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        locked(&self.replies).insert(key, tx);
        (key, rx)
    }

    /// Returns who this node is to its peers.
    pub(crate) fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Counts a stream of a peer that failed, or a message that was dropped.
    pub(crate) fn peer_stream_failed(&self) {
        self.peer_stream_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of streams of peers that failed.
    pub fn peer_stream_failures(&self) -> u64 {
        self.peer_stream_failures.load(Ordering::Relaxed)
    }

    /// Counts an answer that a caller reads.
    pub(crate) fn answer_opened(&self) {
        self.open_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an answer that was read to its end, or given up.
    pub(crate) fn answer_closed(&self) {
        self.open_answers.fetch_sub(1, Ordering::Relaxed);
    }

    fn drained(&self) -> bool {
        let read = self.open_answers.load(Ordering::Relaxed) == 0;
        read && self.read(|node| node.is_drained(self.clock.now()))
    }

    /// Tells the decisions that a caller is no longer there.
    pub fn caller_gone(self: &Arc<Self>, key: RequestKey) {
        if locked(&self.replies).remove(&key).is_some() {
            self.handle(Event::CallerDisconnected { key });
        }
    }

    /// Takes note of how many parts of its answer a caller has taken.
    pub(crate) fn taken(self: &Arc<Self>, key: RequestKey, parts: u32) {
        self.handle(Event::ChunksRead { key, chunks: parts });
    }

    fn perform(self: &Arc<Self>, action: Action) {
        match action {
            Action::Reply { key, reply } => self.reply(key, reply),
            Action::AppendLease { body } => orders::append(self, body),
            Action::ReadHoldings { vm, address } => orders::read_holding(self, vm, address),
            Action::ReadWatched {
                vm,
                address,
                load,
                timeout: within,
            } => engines::read(self, vm, address, load, within),
            Action::SendOrder {
                address,
                shard,
                token,
                desired,
            } => orders::give(self, address, shard, token, *desired),
            Action::Step {
                key,
                step,
                address,
                spec: order,
            } => engines::step(self, key, step, address, *order),
            Action::Import {
                key,
                step,
                address,
                session,
                cache,
                timeout: within,
            } => engines::import(self, key, step, address, session, *cache, within),
            Action::Export {
                key,
                address,
                session,
                timeout: within,
            } => engines::export(self, key, address, session, within),
            Action::Peer {
                to,
                address,
                message,
            } => {
                if !self.links.send(self, to, address, message) {
                    self.peer_stream_failed();
                }
            }
            Action::WarnNotReady { waited, newest } => error!(
                "the node is still not ready and serves no request",
                kv: { waited_ms = waited.as_millis() as u64, newest = newest.0 }
            ),
            Action::AppendConfig { bodies } => platform::append_all(self, bodies),
            Action::EndSession { address, session } => engines::end(self, address, session),
            Action::Call {
                key,
                attempt,
                address,
                id,
                operation,
                body,
                timeout: within,
                ..
            } => {
                services::call(self, key, attempt, address, id, operation, body, within);
            }
        }
    }

    fn reply(&self, key: RequestKey, reply: Reply) {
        let mut replies = locked(&self.replies);
        let last = matches!(reply, Reply::Done(_) | Reply::Status(_));
        // A caller that went away is seen by its edge, which says so itself.
        if let Some(tx) = replies.get(&key) {
            let _ = tx.send(reply);
        }
        if last {
            replies.remove(&key);
        }
    }
}

/// A node that serves.
#[derive(Debug)]
pub struct RunningNode {
    /// The node's decisions.
    pub host: Arc<Host>,
    /// Where it serves callers.
    pub callers_address: SocketAddr,
    /// Where it serves operators.
    pub operators_address: SocketAddr,
    /// Where it serves its peers.
    pub peers_address: SocketAddr,
}

impl RunningNode {
    /// Starts a node on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub async fn start(mut settings: Settings) -> Result<Self, StartError> {
        let callers_listener = listen_to_callers(&settings)?;
        let operators_listener = listen(settings.node.operators).await?;
        let peers_listener = listen(settings.peers.listen).await?;
        let address = |l: &TcpListener, asked| l.local_addr().unwrap_or(asked);
        settings.node.callers = address(&callers_listener, settings.node.callers);
        settings.node.operators = address(&operators_listener, settings.node.operators);
        settings.peers.listen = address(&peers_listener, settings.peers.listen);
        let peers_address = settings.peers.listen;
        let (callers_address, operators_address) = (settings.node.callers, settings.node.operators);
        let host = Arc::new(Host::new(settings)?);
        tokio::spawn(callers::serve(host.clone(), callers_listener));
        tokio::spawn(operators::serve(host.clone(), operators_listener));
        tokio::spawn(peers::serve(host.clone(), peers_listener));
        tokio::spawn(platform::follow_log(host.clone()));
        tokio::spawn(platform::follow_vms(host.clone()));
        host.handle(Event::Start);
        tokio::spawn(orders::follow_leases(host.clone()));
        tokio::spawn(tick(host.clone()));
        Ok(Self {
            host,
            callers_address,
            operators_address,
            peers_address,
        })
    }

    /// Shuts down gracefully; returns whether every request had ended.
    pub async fn drain(&self) -> bool {
        self.host.handle(Event::Drain);
        let bound = self.host.settings.node.shutdown;
        let drained = async {
            while !self.host.drained() {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        let whole = tokio::time::timeout(bound, drained).await.is_ok();
        tokio::time::sleep(FLUSH).await;
        whole
    }
}

/// Listens with a bounded send buffer, which accepted connections inherit.
fn listen_to_callers(settings: &Settings) -> Result<TcpListener, StartError> {
    let address = settings.node.callers;
    let bound = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_send_buffer_size(settings.callers.send_buffer_bytes)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bound().map_err(|source| StartError::Listen { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { address, source })
}

async fn tick(host: Arc<Host>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        let now = host.clock.now();
        if host.read(|node| node.next_due().is_some_and(|due| due <= now)) {
            host.handle(Event::Tick);
        }
    }
}
