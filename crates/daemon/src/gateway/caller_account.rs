//! Counts what callers occupy in this process, and closes connections or refuses
//! requests when `radishhaven_core::gateway::caller_usage` decides so.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
};
use radishhaven_core::{
    gateway::{
        caller_usage::{CallerBounds, CallerUsage, Eviction, Fit, HolderId, Origin},
        config::CallerLimits,
    },
    time::Timestamp,
};
use socket2::SockRef;
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use super::{
    host::{GatewayHost, lock},
    settings::VmLimits,
};
use crate::clock::Clock;

/// Interval at which heads that take too long are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about one kind of refusal.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes of a request's head that may be held beside `max_header_bytes`: the request line
/// and the start of what follows the head.
const HEAD_SLACK_BYTES: usize = 4 * 1024;
/// Smallest size of a head's buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Why a connection or a request of a caller was ended by a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RefusalKind {
    /// A new connection, since all connections are in use.
    Connection,
    /// A connection, to make room for others.
    Closed,
    /// A head that took longer than `header_timeout_ms`.
    SlowHead,
    /// A head for which no memory is left.
    Head,
    /// A body for which no memory is left.
    Body,
    /// A body that was being received, to make room for others.
    SlowBody,
}

impl RefusalKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Closed => "closed",
            Self::SlowHead => "slow head",
            Self::Head => "head",
            Self::Body => "body",
            Self::SlowBody => "slow body",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabel {
    reason: String,
}

/// How a holder learns that it must end.
#[derive(Debug, Default)]
struct Signals {
    close: Notify,
    refuse_body: Notify,
}

#[derive(Debug)]
struct AccountState {
    usage: CallerUsage,
    signals: BTreeMap<HolderId, Arc<Signals>>,
    limits: CallerLimits,
    /// When each kind was last logged, and how often it has occurred since.
    logged: BTreeMap<RefusalKind, (Timestamp, u64)>,
}

/// What callers occupy in this process.
#[derive(Debug)]
pub(super) struct CallerAccount {
    state: Mutex<AccountState>,
    clock: Clock,
    /// Counts what the bounds have ended.
    pub(super) refusals: Family<ReasonLabel, Counter>,
}

impl CallerAccount {
    pub(super) fn new(limits: VmLimits) -> Self {
        let memory = u64::from(limits.memory_mb) * 1_000_000;
        let bounds = CallerBounds::new(memory, limits.max_descriptors.into());
        let state = AccountState {
            usage: CallerUsage::new(bounds),
            signals: BTreeMap::new(),
            limits: CallerLimits::default(),
            logged: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            clock: Clock::start(),
            refusals: Family::default(),
        }
    }

    fn with<T>(&self, work: impl FnOnce(&mut CallerUsage, Timestamp) -> T) -> T {
        let mut state = lock(&self.state);
        work(&mut state.usage, self.clock.now())
    }

    /// Returns the bounds, the bytes that are held and the open connections.
    pub(super) fn usage(&self) -> (CallerBounds, u64, u64) {
        self.with(|usage, _| (usage.bounds(), usage.held_bytes(), usage.connections()))
    }

    /// Returns the bytes beyond their bound that requests and responses hold.
    pub(super) fn excess_bytes(&self) -> u64 {
        self.with(|usage, _| usage.excess_bytes())
    }

    /// Returns the limits of the configuration in force.
    pub(super) fn limits(&self) -> CallerLimits {
        lock(&self.state).limits
    }

    /// Returns the largest size of a head's buffer, in bytes.
    pub(super) fn max_head_bytes(&self) -> usize {
        (self.limits().max_header_bytes + HEAD_SLACK_BYTES).max(MIN_HEAD_BYTES)
    }

    /// Sets the receive buffer that the next connections of a listener get.
    pub(super) fn prepare(&self, listener: &TcpListener) {
        let bytes = self.with(|usage, _| usage.next_receive_buffer());
        // The kernel doubles the value, for its own use.
        let set = SockRef::from(listener).set_recv_buffer_size(bytes as usize / 2);
        if let Err(error) = set {
            warn!("a receive buffer was not bounded", kv: { error = error.to_string() });
        }
    }

    /// Counts a new connection. Returns `None` if it must be closed, since all others
    /// are in use.
    pub(super) fn admit(
        self: &Arc<Self>,
        stream: &TcpStream,
        origin: Origin,
    ) -> Option<Arc<Holder>> {
        let fit = self.with(|usage, now| usage.fit_connection(now, origin));
        if !self.apply(fit) {
            self.record(RefusalKind::Connection);
            return None;
        }
        let buffer = SockRef::from(stream).recv_buffer_size().unwrap_or(0) as u64;
        let id = self.with(|usage, now| usage.open_connection(now, buffer));
        Some(self.holder(id, None))
    }

    fn holder(self: &Arc<Self>, id: HolderId, carrier: Option<HolderId>) -> Arc<Holder> {
        let signals = Arc::new(Signals::default());
        lock(&self.state).signals.insert(id, signals.clone());
        Arc::new(Holder {
            account: self.clone(),
            id,
            carrier,
            signals,
            response_ended: AtomicBool::new(false),
            is_unread: AtomicBool::new(false),
        })
    }

    /// Tells the holders that must end. Returns whether there is room then.
    fn apply(&self, fit: Fit) -> bool {
        match fit {
            Fit::After(evictions) => {
                evictions
                    .iter()
                    .for_each(|e| self.evict(*e, RefusalKind::Closed));
                true
            }
            Fit::Refused => false,
        }
    }

    fn evict(&self, eviction: Eviction, kind: RefusalKind) {
        let signals = lock(&self.state).signals.get(&eviction.holder()).cloned();
        let Some(signals) = signals else {
            return;
        };
        match eviction {
            Eviction::Close(_) => {
                self.record(kind);
                signals.close.notify_one();
            }
            Eviction::RefuseBody(_) => {
                self.record(RefusalKind::SlowBody);
                signals.refuse_body.notify_one();
            }
        }
    }

    /// Counts a refusal, and logs its kind from time to time.
    fn record(&self, kind: RefusalKind) {
        let reason = kind.as_str().to_owned();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let (held, connections) = (state.usage.held_bytes(), state.usage.connections());
        let (last, count) = state.logged.entry(kind).or_insert((now, 0));
        *count += 1;
        if *count > 1 && now.since(*last) < LOG_INTERVAL {
            return;
        }
        let times = std::mem::replace(count, 1);
        *last = now;
        drop(state);
        warn!("callers are kept within the limits of the VM", kv: {
            reason = kind.as_str(),
            times,
            held_bytes = held,
            connections,
        });
    }
}

/// Closes connections whose head takes too long, until the process ends.
pub(super) async fn run(host: Arc<GatewayHost>) {
    let account = &host.callers;
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let limits = host.with_gateway(|g| g.configuration().map(|c| c.limits));
        let limits = limits.unwrap_or_default();
        lock(&account.state).limits = limits;
        let overdue = account.with(|usage, now| usage.overdue_heads(now, limits.header_timeout));
        for eviction in overdue {
            account.evict(eviction, RefusalKind::SlowHead);
        }
    }
}

/// There is no memory for a request.
#[derive(Debug, thiserror::Error)]
#[error("no memory is left for the request")]
pub(super) struct NoMemory;

/// A connection, or one request of a connection that carries several. It is counted
/// until it is dropped.
pub(super) struct Holder {
    account: Arc<CallerAccount>,
    id: HolderId,
    /// The connection that carries the request.
    carrier: Option<HolderId>,
    signals: Arc<Signals>,
    /// Whether the HTTP library has taken the whole response.
    response_ended: AtomicBool,
    is_unread: AtomicBool,
}

impl fmt::Debug for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holder").field("id", &self.id).finish()
    }
}

impl Holder {
    /// Counts one request of a connection that carries several.
    pub(super) fn open_request(&self) -> Arc<Holder> {
        let account = &self.account;
        let id = account.with(|usage, now| usage.open_request(now, self.id));
        account.holder(id, Some(self.id))
    }

    /// Waits until the connection must be closed.
    pub(super) async fn closed(&self) {
        self.signals.close.notified().await;
    }

    /// Waits until the request must be refused although its body is being received.
    pub(super) async fn body_refused(&self) {
        self.signals.refuse_body.notified().await;
    }

    /// Records bytes that were received.
    pub(super) fn receive(&self, bytes: usize) -> Result<(), NoMemory> {
        let account = &self.account;
        let max_head = account.max_head_bytes() as u64;
        let fit = account.with(|usage, now| usage.receive(now, self.id, bytes as u64, max_head));
        if account.apply(fit) {
            return Ok(());
        }
        account.record(RefusalKind::Head);
        Err(NoMemory)
    }

    /// Records that a request is handled now, unless callers hold too much already.
    pub(super) fn serve(&self) -> Result<(), NoMemory> {
        self.account.with(|usage, now| usage.serve(now, self.id));
        self.hold(0)
    }

    /// Records that a body is being received until the returned guard is dropped.
    pub(super) fn receive_body(&self) -> ReceivingGuard<'_> {
        self.account
            .with(|usage, now| usage.receive_body(now, self.id));
        ReceivingGuard { holder: self }
    }

    /// Counts bytes of the request before they are read.
    pub(super) fn hold(&self, bytes: usize) -> Result<(), NoMemory> {
        let account = &self.account;
        let fit = account.with(|usage, now| usage.hold(now, self.id, bytes as u64));
        if account.apply(fit) {
            return Ok(());
        }
        account.record(RefusalKind::Body);
        Err(NoMemory)
    }

    /// Counts a response of a known size.
    pub(super) fn hold_response(&self, bytes: u64) {
        self.account
            .with(|usage, _| usage.hold_response(self.id, bytes));
    }

    /// Records that the HTTP library has taken the whole response.
    pub(super) fn end_response(&self) {
        self.response_ended.store(true, Ordering::Relaxed);
    }

    /// Records that all bytes were handed to the kernel.
    pub(super) fn record_flush(&self) {
        if self.response_ended.swap(false, Ordering::Relaxed) {
            self.account.with(|usage, now| usage.finish(now, self.id));
        }
    }

    /// Records whether the kernel has no room for more bytes.
    pub(super) fn set_unread(&self, is_unread: bool) {
        if self.is_unread.swap(is_unread, Ordering::Relaxed) != is_unread {
            self.account
                .with(|usage, now| usage.set_unread(now, self.id, is_unread));
        }
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        lock(&self.account.state).signals.remove(&self.id);
        self.account
            .with(|usage, now| usage.close(now, self.id, self.carrier));
    }
}

/// Marks a body as being received until it is dropped.
#[derive(Debug)]
pub(super) struct ReceivingGuard<'a> {
    holder: &'a Holder,
}

impl ReceivingGuard<'_> {
    /// Records a part of the body.
    pub(super) fn record(&self, bytes: usize) {
        let holder = self.holder;
        holder
            .account
            .with(|usage, now| usage.receive_part(now, holder.id, bytes as u64));
    }
}

impl Drop for ReceivingGuard<'_> {
    fn drop(&mut self) {
        let holder = self.holder;
        holder
            .account
            .with(|usage, now| usage.serve(now, holder.id));
    }
}
