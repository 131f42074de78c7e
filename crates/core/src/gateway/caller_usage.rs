//! Bounds of the memory and the connections that callers occupy at a node, and what is
//! closed first when a bound is reached.
//!
//! A holder is a connection, or a single request where a connection carries several.
//! Holders that receive or send nothing, or too little, are closed for others: the
//! slowest first, then the largest, then the youngest. A request that is being served is
//! never closed; one whose caller has stopped to read its response is not served any
//! more. See `docs/design/hostile-callers.md`.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use crate::time::Timestamp;

/// Memory that the process uses without callers, in bytes: code, configuration, registry
/// and connections to servers and peers.
pub(super) const PROCESS_BYTES: u64 = 32_000_000;
/// Memory of a connection without a request, in bytes: 21 KB were measured, most of it in
/// the buffers of the HTTP library.
const CONNECTION_BYTES: u64 = 24_000;
/// Descriptors that are left for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors of listeners, and of connections to the store and to peers.
const OWN_DESCRIPTORS: u64 = 24;
/// Connections beyond the bound for addresses that are not the callers' one, so that a
/// crowd of callers does not make a node look dead to the platform and its peers.
pub const SPARE_CONNECTIONS: u64 = 16;
/// Largest size of a request that may use the bytes that large requests leave free.
const SMALL_REQUEST_BYTES: u64 = 64 * 1024;
/// Time over which the rate of a holder is measured. Nothing younger counts as slow.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Rate in bytes a second below which a holder is slow. A body of 4 MB would take 4
/// minutes, longer than callers wait.
const SLOW_RATE: u64 = 16 * 1024;
/// Time without progress after which a caller no longer reads its response.
const UNREAD_TIME: Duration = Duration::from_secs(3);
/// Largest receive buffer of a connection in bytes, as the kernel counts it. It is twice
/// `net.core.rmem_max` of most systems.
const MAX_RECEIVE_BUFFER: u64 = 416 * 1024;
/// Smallest receive buffer of a connection in bytes, as the kernel counts it.
const MIN_RECEIVE_BUFFER: u64 = 16 * 1024;
/// Part of the unused receive buffers that one connection may get.
const RECEIVE_BUFFER_SHARE: u64 = 128;

/// Identifies a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(u64);

/// The bounds of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Bytes of requests and responses that the process holds.
    pub bytes: u64,
    /// Part of these bytes that only small requests use.
    pub small_bytes: u64,
    /// Open connections.
    pub connections: u64,
    /// Bytes in the receive buffers of all connections.
    pub receive_buffers: u64,
}

impl CallerBounds {
    /// Derives the bounds from what the VM allows the process.
    pub fn new(memory_bytes: u64, descriptors: u64) -> Self {
        let left = memory_bytes.saturating_sub(PROCESS_BYTES);
        let bytes = left / 3;
        // Each request that is served needs one more descriptor, for its server.
        let pairs = descriptors.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS) / 2;
        Self {
            bytes,
            small_bytes: bytes / 8,
            connections: pairs.min(left / 4 / CONNECTION_BYTES).max(1),
            receive_buffers: left / 4,
        }
    }
}

/// What a holder is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The request is complete and its response has not been sent.
    Serving,
}

/// What is to be done with a holder that is closed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// The connection is closed: no request on it was passed on, or its response is not
    /// read.
    Close(HolderId),
    /// The request whose body is being received is refused.
    RefuseBody(HolderId),
}

impl Eviction {
    /// Returns the holder.
    pub fn holder(self) -> HolderId {
        match self {
            Self::Close(id) | Self::RefuseBody(id) => id,
        }
    }
}

/// Whether something fits, and what is closed for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fit {
    /// It fits once these are closed.
    After(Vec<Eviction>),
    /// It is refused.
    Refused,
}

/// Which bound applies to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The callers' address.
    Callers,
    /// Readiness, directory, metrics, or peers.
    Others,
}

/// The rate of a holder over the last window.
#[derive(Debug, Clone, Copy)]
struct Progress {
    since: Timestamp,
    bytes: u64,
    /// The rate in the last complete window.
    last: Option<u64>,
}

impl Progress {
    fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            bytes: 0,
            last: None,
        }
    }

    fn current(&self, now: Timestamp) -> Option<u64> {
        let time = now.since(self.since);
        if time < RATE_WINDOW {
            return self.last;
        }
        let millis = time.as_millis().max(1) as u64;
        Some(self.bytes.saturating_mul(1_000) / millis)
    }

    fn record(&mut self, now: Timestamp, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
        if now.since(self.since) >= RATE_WINDOW {
            *self = Self {
                since: now,
                bytes: 0,
                last: self.current(now),
            };
        }
    }
}

#[derive(Debug, Clone)]
struct Holder {
    is_connection: bool,
    phase: Phase,
    /// Since when the phase lasts.
    since: Timestamp,
    progress: Progress,
    /// Bytes of memory that are counted for it.
    held: u64,
    receive_buffer: u64,
    /// Requests of a connection that are counted on their own.
    open_requests: u32,
    has_sent: bool,
    is_evicted: bool,
    /// Since when the caller has not read its response.
    unread_since: Option<Timestamp>,
}

/// The groups in which holders are closed, the first one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// It receives or reads too slowly.
    Slow,
    /// It has never sent a byte.
    Silent,
    /// It waits for the next request on a kept connection.
    Kept,
}

type Rank = (Group, u32, Reverse<u64>, Reverse<HolderId>);

impl Holder {
    /// Returns the place of the holder among those that may be closed.
    fn rank(&self, now: Timestamp, id: HolderId) -> Option<Rank> {
        if self.is_evicted || self.open_requests > 0 {
            return None;
        }
        let (group, rate) = match self.phase {
            Phase::Idle if now.since(self.since) < RATE_WINDOW => return None,
            Phase::Idle if self.has_sent => (Group::Kept, 0),
            Phase::Idle => (Group::Silent, 0),
            Phase::Head | Phase::Body => {
                let rate = self.progress.current(now)?;
                (rate < SLOW_RATE).then_some((Group::Slow, rate))?
            }
            Phase::Serving => {
                let unread = now.since(self.unread_since?);
                (unread >= UNREAD_TIME).then_some((Group::Slow, 0))?
            }
        };
        // Rates of about the same size are equal, so that the size decides.
        let rate = u64::BITS - rate.leading_zeros();
        Some((group, rate, Reverse(self.held), Reverse(id)))
    }

    fn eviction(&self, id: HolderId) -> Eviction {
        match self.phase {
            Phase::Body => Eviction::RefuseBody(id),
            Phase::Idle | Phase::Head | Phase::Serving => Eviction::Close(id),
        }
    }

    fn enter(&mut self, now: Timestamp, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.progress = Progress::new(now);
    }
}

/// All holders of a process and what they occupy.
#[derive(Debug, Clone)]
pub struct CallerUsage {
    bounds: CallerBounds,
    holders: BTreeMap<HolderId, Holder>,
    next: u64,
    held: u64,
    connections: u64,
    receive_buffers: u64,
}

impl CallerUsage {
    /// Creates the usage of a process without callers.
    pub fn new(bounds: CallerBounds) -> Self {
        Self {
            bounds,
            holders: BTreeMap::new(),
            next: 0,
            held: 0,
            connections: 0,
            receive_buffers: 0,
        }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns the bytes that are held for callers.
    pub fn held_bytes(&self) -> u64 {
        self.held
    }

    /// Returns the bytes beyond the bound that are held, as responses are not refused.
    pub fn excess_bytes(&self) -> u64 {
        self.held.saturating_sub(self.bounds.bytes)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> u64 {
        self.connections
    }

    /// Decides whether one more connection fits.
    pub fn fit_connection(&mut self, now: Timestamp, origin: Origin) -> Fit {
        let bound = match origin {
            Origin::Callers => self.bounds.connections,
            Origin::Others => self.bounds.connections + SPARE_CONNECTIONS,
        };
        if self.connections < bound {
            return Fit::After(Vec::new());
        }
        // A connection that was told to end is still open for a moment.
        if self.connections >= bound + SPARE_CONNECTIONS {
            return Fit::Refused;
        }
        let ranked = self.holders.iter().filter(|(_, h)| h.is_connection);
        let ranked = ranked.filter_map(|(id, h)| h.rank(now, *id).map(|rank| (rank, *id)));
        match ranked.min() {
            Some((_, id)) => Fit::After(vec![self.evict(id)]),
            None => Fit::Refused,
        }
    }

    fn evict(&mut self, id: HolderId) -> Eviction {
        match self.holders.get_mut(&id) {
            Some(holder) => {
                holder.is_evicted = true;
                holder.eviction(id)
            }
            None => Eviction::Close(id),
        }
    }

    /// Returns the receive buffer of the next connection in bytes, as the kernel counts
    /// it. It gets smaller with each open connection, so that all together stay within
    /// their bound.
    pub fn next_receive_buffer(&self) -> u64 {
        let free = self
            .bounds
            .receive_buffers
            .saturating_sub(self.receive_buffers);
        (free / RECEIVE_BUFFER_SHARE).clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER)
    }

    /// Adds a connection with a receive buffer of this size.
    pub fn open_connection(&mut self, now: Timestamp, receive_buffer: u64) -> HolderId {
        self.connections += 1;
        self.receive_buffers += receive_buffer;
        self.insert(now, true, receive_buffer)
    }

    /// Adds a request of a connection that carries several. It is served from the start.
    pub fn open_request(&mut self, now: Timestamp, connection: HolderId) -> HolderId {
        if let Some(holder) = self.holders.get_mut(&connection) {
            holder.open_requests += 1;
            holder.has_sent = true;
        }
        let id = self.insert(now, false, 0);
        self.serve(now, id);
        id
    }

    fn insert(&mut self, now: Timestamp, is_connection: bool, receive_buffer: u64) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            is_connection,
            phase: Phase::Idle,
            since: now,
            progress: Progress::new(now),
            held: 0,
            receive_buffer,
            open_requests: 0,
            has_sent: false,
            is_evicted: false,
            unread_since: None,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder. For a request, `connection` is the one that carried it.
    pub fn close(&mut self, now: Timestamp, id: HolderId, connection: Option<HolderId>) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.held;
            self.receive_buffers -= holder.receive_buffer;
            self.connections -= u64::from(holder.is_connection);
        }
        if let Some(carrier) = connection.and_then(|id| self.holders.get_mut(&id)) {
            carrier.open_requests = carrier.open_requests.saturating_sub(1);
            carrier.since = now;
        }
    }

    /// Records bytes that were received. Those of a head are counted as held; returns
    /// what is closed for them, or that they don't fit.
    pub fn receive(&mut self, now: Timestamp, id: HolderId, bytes: u64, max_head: u64) -> Fit {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Fit::Refused;
        };
        holder.has_sent = true;
        if holder.phase == Phase::Idle {
            holder.enter(now, Phase::Head);
        }
        holder.progress.record(now, bytes);
        match holder.phase {
            Phase::Head => {
                let room = max_head.saturating_sub(holder.held);
                self.hold(now, id, bytes.min(room))
            }
            Phase::Idle | Phase::Body | Phase::Serving => Fit::After(Vec::new()),
        }
    }

    /// Records that a request is handled now.
    pub fn serve(&mut self, now: Timestamp, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.enter(now, Phase::Serving);
        }
    }

    /// Records that the body of the request is being received.
    pub fn receive_body(&mut self, now: Timestamp, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.enter(now, Phase::Body);
        }
    }

    /// Records a part of the body of a request that shares its connection.
    pub fn receive_part(&mut self, now: Timestamp, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id).filter(|h| !h.is_connection) {
            holder.progress.record(now, bytes);
        }
    }

    /// Records that the whole response was handed to the kernel.
    pub fn finish(&mut self, now: Timestamp, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.held -= std::mem::take(&mut holder.held);
            holder.unread_since = None;
            holder.enter(now, Phase::Idle);
        }
    }

    /// Records whether the kernel has no room for the response, since the caller does not
    /// read it.
    pub fn set_unread(&mut self, now: Timestamp, id: HolderId, is_unread: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.unread_since = is_unread.then(|| holder.unread_since.unwrap_or(now));
        }
    }

    /// Counts bytes of a response. They are never refused, since the request has run.
    pub fn hold_response(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.held += bytes;
            self.held += bytes;
        }
    }

    /// Counts bytes of a request before they are read, or refuses them.
    pub fn hold(&mut self, now: Timestamp, id: HolderId, bytes: u64) -> Fit {
        let Some(own) = self.holders.get(&id).filter(|h| !h.is_evicted) else {
            return Fit::Refused;
        };
        let bound = match own.held + bytes <= SMALL_REQUEST_BYTES {
            true => self.bounds.bytes,
            false => self.bounds.bytes - self.bounds.small_bytes,
        };
        let mut excess = (self.held + bytes).saturating_sub(bound);
        let mut chosen = Vec::new();
        if excess > 0 {
            let evicted = self.holders.values().filter(|h| h.is_evicted);
            excess = excess.saturating_sub(evicted.map(|h| h.held).sum());
            let others = self.holders.iter().filter(|(other, _)| **other != id);
            let mut ranked: Vec<(Rank, HolderId, u64)> = others
                .filter(|(_, h)| h.held > 0)
                .filter_map(|(id, h)| h.rank(now, *id).map(|rank| (rank, *id, h.held)))
                .collect();
            ranked.sort_unstable();
            for (_, other, held) in ranked {
                if excess == 0 {
                    break;
                }
                chosen.push(other);
                excess = excess.saturating_sub(held);
            }
        }
        if excess > 0 {
            return Fit::Refused;
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.held += bytes;
            self.held += bytes;
        }
        Fit::After(chosen.into_iter().map(|id| self.evict(id)).collect())
    }

    /// Returns the connections whose head takes longer than `timeout`.
    pub fn overdue_heads(&mut self, now: Timestamp, timeout: Duration) -> Vec<Eviction> {
        let heads = self.holders.iter_mut().filter(|(_, holder)| {
            holder.phase == Phase::Head && !holder.is_evicted && now.since(holder.since) >= timeout
        });
        let evict = |(id, holder): (&HolderId, &mut Holder)| {
            holder.is_evicted = true;
            Eviction::Close(*id)
        };
        heads.map(evict).collect()
    }
}
