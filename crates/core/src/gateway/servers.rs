//! The backend servers that the registry names, and what runs at each.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::config::{Accelerator, EngineSpec};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It is leaving.
    Draining,
}

/// What the registry says of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: FailureDomain,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its kind of accelerator; a plain server has none.
    pub accelerator: Option<String>,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// Milliseconds since the Unix epoch at its start; tells lives apart.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

/// A backend server as one node sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerRow {
    /// What the registry says.
    pub entry: Server,
    /// When this life of the server was first seen.
    pub since: Timestamp,
    /// Requests of this node that run there.
    pub requests: u32,
    /// Tokens that those requests may come to hold.
    pub tokens: u64,
    /// Prompt tokens of requests of this node that have brought no event yet.
    pub reading: u64,
    /// Of these, tokens whose activations come from another failure domain.
    pub inbound: u64,
    /// Requests of other nodes that run there, as they last said.
    pub peer_requests: u32,
    /// Tokens of requests of other nodes, as they last said.
    pub peer_tokens: u64,
    /// Prompt tokens that other nodes' requests still wait for there.
    pub peer_reading: u64,
    /// Of these, tokens whose activations come from another failure domain.
    pub peer_inbound: u64,
    /// Until when no new request is sent there, after a failure.
    pub avoid_until: Timestamp,
    /// Failures since the last success.
    pub failures: u32,
    /// When the server last refused new work, unless it has taken some since.
    /// One that gives up its layers, or is full, still ends what it has.
    pub refused_at: Option<Timestamp>,
    /// When an exchange of any node last showed that the server works.
    pub seen: Timestamp,
    /// When an exchange of this node last showed it. Only this is told to
    /// peers: what came from them would grow younger on its way round.
    pub seen_here: Timestamp,
    /// When this node last began to have requests there.
    pub busy_since: Timestamp,
    /// Recent time of an answer of a plain server, in milliseconds.
    pub latency_ms: f64,
}

impl ServerRow {
    fn new(now: Timestamp, entry: Server) -> Self {
        Self {
            entry,
            since: now,
            requests: 0,
            tokens: 0,
            reading: 0,
            inbound: 0,
            peer_requests: 0,
            peer_tokens: 0,
            peer_reading: 0,
            peer_inbound: 0,
            avoid_until: Timestamp::default(),
            failures: 0,
            refused_at: None,
            seen: now,
            seen_here: now,
            busy_since: now,
            latency_ms: 0.0,
        }
    }

    /// Returns the requests that run there, of all nodes.
    pub fn all_requests(&self) -> u32 {
        self.requests + self.peer_requests
    }

    /// Returns the tokens that requests of all nodes may come to hold there.
    pub fn all_tokens(&self) -> u64 {
        self.tokens + self.peer_tokens
    }

    /// Notes a sign that the server works, by a request that was sent at
    /// `sent`. It ends a pause, but for one after a refusal of new work if the
    /// request had been taken before that.
    pub(super) fn recovered(&mut self, now: Timestamp, sent: Timestamp) {
        (self.seen, self.seen_here) = (now, now);
        if self.failures > 0 && self.refused_at.is_none_or(|refused| sent > refused) {
            (self.failures, self.refused_at) = (0, None);
            self.avoid_until = now;
        }
    }

    /// Counts a prompt that is to be read.
    pub(super) fn await_reading(&mut self, tokens: u32, crosses: bool) {
        self.reading += u64::from(tokens);
        self.inbound += if crosses { u64::from(tokens) } else { 0 };
    }

    /// Counts a prompt as read.
    pub(super) fn end_reading(&mut self, tokens: u32, crosses: bool) {
        let tokens = u64::from(tokens);
        self.reading = self.reading.saturating_sub(tokens);
        let inbound = if crosses { tokens } else { 0 };
        self.inbound = self.inbound.saturating_sub(inbound);
    }

    /// Returns the prompt tokens that are to be read there before a new one.
    pub fn all_reading(&self) -> u64 {
        self.reading + self.peer_reading
    }

    /// Returns the accelerator's figures.
    pub fn accelerator<'a>(&self, spec: &'a EngineSpec) -> Option<&'a Accelerator> {
        spec.accelerators.get(self.entry.accelerator.as_ref()?)
    }

    /// Returns for how long nothing has come of the requests there, as far as
    /// this node and its peers know.
    pub fn quiet(&self, now: Timestamp) -> Duration {
        now.since(self.seen.max(self.busy_since))
    }

    /// Tells whether new work may go there.
    pub fn usable(&self, now: Timestamp) -> bool {
        self.entry.state == ServerState::Ready && now >= self.avoid_until
    }
}

/// What changed about a server when the registry was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// Nothing that a decision depends on.
    None,
    /// It is new, or started again.
    Added,
    /// Its state or what it holds changed.
    Changed,
    /// It is gone.
    Removed,
}

/// All backend servers by id.
#[derive(Debug, Default)]
pub struct Servers {
    rows: BTreeMap<VmId, ServerRow>,
    /// Servers whose entries changed since this was last taken.
    changed: BTreeSet<VmId>,
}

impl Servers {
    /// Takes in what the registry says of one server; `None` removes it.
    pub fn apply(&mut self, now: Timestamp, id: &VmId, entry: Option<Server>) -> ServerChange {
        let change = self.change(now, id, entry);
        if change != ServerChange::None {
            self.changed.insert(id.clone());
        }
        change
    }

    fn change(&mut self, now: Timestamp, id: &VmId, entry: Option<Server>) -> ServerChange {
        let Some(entry) = entry else {
            return match self.rows.remove(id) {
                Some(_) => ServerChange::Removed,
                None => ServerChange::None,
            };
        };
        let Some(row) = self.rows.get_mut(id) else {
            self.rows.insert(id.clone(), ServerRow::new(now, entry));
            return ServerChange::Added;
        };
        if row.entry == entry {
            return ServerChange::None;
        }
        let restarted =
            row.entry.started_ms != entry.started_ms || row.entry.address != entry.address;
        if restarted {
            *row = ServerRow::new(now, entry);
            return ServerChange::Added;
        }
        row.entry = entry;
        ServerChange::Changed
    }

    /// Keeps only the servers of a full listing.
    pub fn retain(&mut self, listed: &BTreeMap<VmId, Server>) -> Vec<VmId> {
        let gone: Vec<VmId> = self
            .rows
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        for id in &gone {
            self.rows.remove(id);
            self.changed.insert(id.clone());
        }
        gone
    }

    /// Returns the servers whose entries changed since this was last asked.
    pub(super) fn take_changed(&mut self) -> BTreeSet<VmId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns one server.
    pub fn get(&self, id: &VmId) -> Option<&ServerRow> {
        self.rows.get(id)
    }

    /// Returns one server to change.
    pub fn get_mut(&mut self, id: &VmId) -> Option<&mut ServerRow> {
        self.rows.get_mut(id)
    }

    /// Returns the server that listens at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&VmId> {
        let mut rows = self.rows.iter();
        rows.find(|(_, row)| row.entry.address == address)
            .map(|(id, _)| id)
    }

    /// Returns the servers of a service.
    pub fn of<'a>(
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

    /// Forgets what other nodes said of their load.
    pub fn clear_peer_load(&mut self) {
        for row in self.rows.values_mut() {
            (row.peer_requests, row.peer_tokens) = (0, 0);
            (row.peer_reading, row.peer_inbound) = (0, 0);
        }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
