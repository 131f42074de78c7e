//! The backend servers in the registry, with their load and health.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    config::{Accelerator, EngineSpec},
    faults::PeerFault,
    links::Link,
    notices::{Incarnation, Notice, Notices},
    peers::ServerLoad,
    recent_count::RecentCount,
    stall,
};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// Whether a backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts new work.
    Ready,
    /// The server is shutting down.
    Draining,
}

/// A backend server's registry entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The service to which it belongs.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: FailureDomain,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The kind of its accelerator; `None` for a plain server.
    pub accelerator: Option<String>,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// Start time in milliseconds since the Unix epoch, which distinguishes a
    /// server from an earlier one with the same id.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

/// A backend server's entry, load and health as observed by one node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerRow {
    /// The registry entry.
    pub entry: Server,
    /// Time at which the server was first seen since its last start.
    #[serde(rename = "since")]
    pub first_seen: Timestamp,
    /// Requests of this node that run on the server.
    pub requests: u32,
    /// Tokens of KV cache that these requests are expected to occupy.
    pub tokens: u64,
    /// Prompt tokens of requests of this node that have not received a first
    /// event.
    #[serde(rename = "reading")]
    pub unread_tokens: u64,
    /// Unread prompt tokens of this node whose activations come from another
    /// failure domain.
    #[serde(rename = "inbound")]
    pub inbound_tokens: u64,
    /// Requests that this node sent to the server, or on a path that contains it.
    pub sent: RecentCount,
    /// Requests of other nodes on the server, from their latest reports.
    pub peer_requests: u32,
    /// Tokens of KV cache that requests of other nodes are expected to occupy,
    /// from their latest reports.
    pub peer_tokens: u64,
    /// Prompt tokens of other nodes' requests that have not received a first
    /// event.
    #[serde(rename = "peer_reading")]
    pub peer_unread_tokens: u64,
    /// Unread prompt tokens of other nodes whose activations come from another
    /// failure domain.
    #[serde(rename = "peer_inbound")]
    pub peer_inbound_tokens: u64,
    /// Time until which no new request is sent to the server after a failure.
    #[serde(rename = "avoid_until")]
    pub backoff_until: Timestamp,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// Time at which the server last refused new work, or `None` if a later
    /// request succeeded. A server that is full, or is about to release its
    /// layers, still finishes the requests that it has.
    pub refused_at: Option<Timestamp>,
    /// Time of the last progress on the server, on any node's request.
    #[serde(rename = "seen")]
    pub last_progress: Timestamp,
    /// Time of the last progress on a request of this node. Only this time is
    /// reported to peers: a time that nodes relayed to each other would appear
    /// more recent with every hop, because its time in transit is lost.
    #[serde(rename = "seen_here")]
    pub last_local_progress: Timestamp,
    /// Time of the last progress on a request of another node, or `None` if no peer
    /// has reported any.
    pub last_peer_progress: Option<Timestamp>,
    /// Time at which this node's requests on the server last rose above zero.
    pub busy_since: Timestamp,
    /// Time at which the requests of other nodes last rose above zero.
    pub peer_busy_since: Timestamp,
    /// Time at which requests of any node were last found to make no progress on
    /// the server, or `None` if there was progress since.
    pub stalled_at: Option<Timestamp>,
    /// The last fault that a peer has reported.
    pub peer_fault: Option<PeerFault>,
    /// The link from this node to the server.
    pub link: Link,
    /// Moving average of a plain server's latency, in milliseconds.
    pub latency_ms: f64,
    /// What the server has stated in its responses to this node.
    pub notice: Notice,
    /// Whether the server has stated to a peer that it is leaving.
    pub leaving_at_peer: bool,
}

impl ServerRow {
    fn new(now: Timestamp, entry: Server) -> Self {
        Self {
            entry,
            first_seen: now,
            requests: 0,
            tokens: 0,
            unread_tokens: 0,
            inbound_tokens: 0,
            sent: RecentCount::default(),
            peer_requests: 0,
            peer_tokens: 0,
            peer_unread_tokens: 0,
            peer_inbound_tokens: 0,
            backoff_until: Timestamp::default(),
            failures: 0,
            refused_at: None,
            last_progress: now,
            last_local_progress: now,
            last_peer_progress: None,
            busy_since: now,
            peer_busy_since: now,
            stalled_at: None,
            peer_fault: None,
            link: Link::default(),
            latency_ms: 0.0,
            notice: Notice::default(),
            leaving_at_peer: false,
        }
    }

    /// Returns the number of requests of all nodes on the server.
    pub fn total_requests(&self) -> u32 {
        self.requests + self.peer_requests
    }

    /// Returns the tokens of KV cache that requests of all nodes are expected
    /// to occupy on the server.
    pub fn total_tokens(&self) -> u64 {
        self.tokens + self.peer_tokens
    }

    /// Records progress or success of a request that was sent at `sent`, and
    /// ends the backoff.
    ///
    /// After a refusal of new work, only a request that was sent later ends the
    /// backoff, because the server still finishes the requests that it had
    /// accepted before.
    pub(super) fn record_success(&mut self, now: Timestamp, sent: Timestamp) {
        (self.last_progress, self.last_local_progress) = (now, now);
        if self.failures > 0 && self.refused_at.is_none_or(|refused| sent > refused) {
            (self.failures, self.refused_at) = (0, None);
            self.backoff_until = now;
        }
    }

    /// Records that a request of another node made progress at `at`.
    pub(super) fn record_peer_progress(&mut self, at: Timestamp) {
        self.last_progress = self.last_progress.max(at);
        self.last_peer_progress = self.last_peer_progress.max(Some(at));
    }

    /// Adds the prompt of a request that has no first event yet.
    pub(super) fn add_unread(&mut self, tokens: u32, crosses: bool) {
        self.unread_tokens += u64::from(tokens);
        self.inbound_tokens += if crosses { u64::from(tokens) } else { 0 };
    }

    /// Subtracts a prompt that was processed or abandoned.
    pub(super) fn remove_unread(&mut self, tokens: u32, crosses: bool) {
        let tokens = u64::from(tokens);
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
        let inbound = if crosses { tokens } else { 0 };
        self.inbound_tokens = self.inbound_tokens.saturating_sub(inbound);
    }

    /// Returns the prompt tokens queued on the server ahead of a new request.
    pub fn total_unread_tokens(&self) -> u64 {
        self.unread_tokens + self.peer_unread_tokens
    }

    /// Returns the properties of the server's accelerator.
    pub fn accelerator<'a>(&self, spec: &'a EngineSpec) -> Option<&'a Accelerator> {
        spec.accelerators.get(self.entry.accelerator.as_ref()?)
    }

    /// Returns the time since any request on the server made progress, as
    /// observed by this node and its peers.
    pub fn stalled_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_progress.max(self.busy_since))
    }

    /// Returns whether requests of any node were recently found to make no
    /// progress on the server.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.stalled_at
            .is_some_and(|at| now.since(at) < stall::SUSPECT_TIME)
    }

    /// Updates [`Self::stalled_at`] from the latest reports of the peers.
    /// `had_peer_requests` is whether there were requests of other nodes before.
    fn check_progress(&mut self, now: Timestamp, had_peer_requests: bool) {
        if self.peer_requests > 0 && !had_peer_requests {
            self.peer_busy_since = now;
        }
        let busy_since = match (self.requests > 0, self.peer_requests > 0) {
            (true, true) => self.busy_since.min(self.peer_busy_since),
            (true, false) => self.busy_since,
            (false, true) => self.peer_busy_since,
            (false, false) => return,
        };
        let is_stalled = now.since(self.last_progress.max(busy_since)) >= stall::FLEET_STALL;
        self.stalled_at = is_stalled.then_some(now);
    }

    /// Returns whether the server is shutting down, according to the registry or
    /// to one of its responses.
    pub fn is_leaving(&self) -> bool {
        self.entry.state == ServerState::Draining
            || self.notice.leaving_since.is_some()
            || self.leaving_at_peer
    }

    /// Returns whether the server may take part in new requests, apart from
    /// backoffs.
    pub fn is_open(&self, now: Timestamp) -> bool {
        !self.is_leaving() && now >= self.notice.paused_until
    }

    /// Returns whether this node may send requests to the server, apart from
    /// backoffs.
    pub fn is_entry_open(&self, now: Timestamp) -> bool {
        self.is_open(now) && now >= self.notice.entry_paused_until && !self.link.is_lost()
    }

    /// Returns whether requests may be sent to the server directly. Engines that
    /// hold later layers receive activations only.
    pub fn takes_entries(&self) -> bool {
        self.entry.layers.is_none_or(|layers| layers.start() == 0)
    }

    /// Returns whether the server may take part in new requests.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let failed_at_peer = |fault: PeerFault| fault.holds(now, self.last_progress);
        self.is_open(now)
            && now >= self.backoff_until
            && !self.peer_fault.is_some_and(failed_at_peer)
    }
}

/// The effect of a registry update on one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// Nothing relevant to decisions changed.
    None,
    /// The server is new or has restarted.
    Added,
    /// The server's state or its layers changed.
    Changed,
    /// The server was removed.
    Removed,
}

/// All backend servers by id.
#[derive(Debug, Default)]
pub struct Servers {
    rows: BTreeMap<VmId, ServerRow>,
    /// Servers whose entries changed since the last `take_changed` call.
    changed: BTreeSet<VmId>,
    /// Grows with each change of an entry.
    layout_version: u64,
    /// When an entry last changed.
    changed_at: Timestamp,
    notices: Notices,
    /// The last incarnation of each server that was removed.
    removed: BTreeMap<VmId, Incarnation>,
}

/// Maximum number of removed servers that are remembered.
const MAX_REMOVED: usize = 4_096;

impl Servers {
    /// Applies a registry entry of one server; `None` removes the server.
    pub fn apply(&mut self, now: Timestamp, id: &VmId, entry: Option<Server>) -> ServerChange {
        let change = self.update(now, id, entry);
        if change != ServerChange::None {
            self.record_change(now, id);
        }
        change
    }

    fn update(&mut self, now: Timestamp, id: &VmId, entry: Option<Server>) -> ServerChange {
        let Some(mut entry) = entry else {
            return match self.rows.remove(id) {
                Some(row) => {
                    self.remember_removed(id, &row.entry);
                    ServerChange::Removed
                }
                None => ServerChange::None,
            };
        };
        self.removed.remove(id);
        let notice = self.notices.get(id, &entry);
        let Some(row) = self.rows.get_mut(id) else {
            let row = ServerRow::new(now, entry);
            self.rows.insert(id.clone(), ServerRow { notice, ..row });
            return ServerChange::Added;
        };
        let restarted = Incarnation::from(&row.entry) != Incarnation::from(&entry);
        if !restarted && row.entry.state == ServerState::Draining {
            // A server that leaves does not return. The entry is older.
            entry.state = ServerState::Draining;
        }
        if row.entry == entry {
            return ServerChange::None;
        }
        if restarted {
            let new_row = ServerRow::new(now, entry);
            *row = ServerRow { notice, ..new_row };
            return ServerChange::Added;
        }
        row.entry = entry;
        ServerChange::Changed
    }

    /// Removes the servers that are not in a full listing and returns their
    /// ids.
    pub fn retain(&mut self, now: Timestamp, listed: &BTreeMap<VmId, Server>) -> Vec<VmId> {
        let removed: Vec<VmId> = self
            .rows
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        for id in &removed {
            if let Some(row) = self.rows.remove(id) {
                self.remember_removed(id, &row.entry);
            }
            self.record_change(now, id);
        }
        removed
    }

    fn record_change(&mut self, now: Timestamp, id: &VmId) {
        self.changed.insert(id.clone());
        self.layout_version += 1;
        self.changed_at = now;
    }

    /// Returns the time since an entry last changed.
    pub(super) fn unchanged_for(&self, now: Timestamp) -> Duration {
        now.since(self.changed_at)
    }

    /// Returns a number that grows with each change of an entry.
    pub fn layout_version(&self) -> u64 {
        self.layout_version
    }

    fn remember_removed(&mut self, id: &VmId, entry: &Server) {
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_first();
        }
        self.removed.insert(id.clone(), entry.into());
    }

    /// Returns whether this incarnation of a server was removed and has not
    /// registered again since.
    pub fn was_removed(&self, id: &VmId, entry: &Server) -> bool {
        self.removed.get(id) == Some(&entry.into())
    }

    /// Returns the servers whose entries changed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<VmId> {
        std::mem::take(&mut self.changed)
    }

    /// Changes the notice of a server that is in the registry.
    pub(super) fn update_notice(
        &mut self,
        now: Timestamp,
        id: &VmId,
        change: impl FnOnce(&mut Notice),
    ) {
        if let Some(row) = self.rows.get_mut(id) {
            row.notice = self.notices.update(now, id, &row.entry, change);
        }
    }

    /// Returns the notices of all servers.
    pub(super) fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Returns a server by id.
    pub fn get(&self, id: &VmId) -> Option<&ServerRow> {
        self.rows.get(id)
    }

    /// Returns a mutable reference to a server by id.
    pub fn get_mut(&mut self, id: &VmId) -> Option<&mut ServerRow> {
        self.rows.get_mut(id)
    }

    /// Returns the server that listens on an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&VmId> {
        let mut rows = self.rows.iter();
        rows.find(|(_, row)| row.entry.address == address)
            .map(|(id, _)| id)
    }

    /// Returns the servers of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a VmId, &'a ServerRow)> {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| row.entry.service == *service)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &ServerRow)> {
        self.rows.iter()
    }

    /// Replaces the load of other nodes by the sum of these loads, and checks
    /// which servers make progress.
    pub(super) fn set_peer_load<'a>(
        &mut self,
        now: Timestamp,
        loads: impl Iterator<Item = &'a ServerLoad>,
    ) {
        let busy = self.rows.values().map(|row| row.peer_requests > 0);
        let busy: Vec<bool> = busy.collect();
        self.clear_peer_load();
        for load in loads {
            if let Some(row) = self.rows.get_mut(&load.server) {
                row.peer_requests += load.requests;
                row.peer_tokens += load.tokens;
                row.peer_unread_tokens += load.unread_tokens;
                row.peer_inbound_tokens += load.inbound_tokens;
            }
        }
        for (row, was_busy) in self.rows.values_mut().zip(busy) {
            row.check_progress(now, was_busy);
        }
    }

    /// Resets the load of other nodes to zero.
    pub fn clear_peer_load(&mut self) {
        for row in self.rows.values_mut() {
            (row.peer_requests, row.peer_tokens) = (0, 0);
            (row.peer_unread_tokens, row.peer_inbound_tokens) = (0, 0);
        }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
