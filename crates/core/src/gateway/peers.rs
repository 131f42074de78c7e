//! What nodes tell each other of their load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::state::Gateway;
use crate::{ids::VmId, time::Timestamp};

/// Age from which a peer's report of its load no longer counts.
const PEER_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// A node's load at one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server.
    pub server: VmId,
    /// Requests that run there.
    pub requests: u32,
    /// Tokens that they may come to hold.
    pub tokens: u64,
    /// Prompt tokens that are still to be read.
    pub reading: u64,
    /// Of these, tokens whose activations come from another failure domain.
    pub inbound: u64,
    /// Milliseconds since an exchange showed that the server works.
    pub seen_ms: u64,
}

/// What a node tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Whether it takes new callers.
    pub serves: bool,
    /// Its load.
    pub load: Vec<ServerLoad>,
}

impl Gateway {
    /// Returns what this node tells its peers; `serves` says whether it takes
    /// new callers.
    pub fn report(&self, now: Timestamp, serves: bool) -> NodeReport {
        let rows = self.servers.iter().filter(|(_, row)| row.requests > 0);
        let load = rows.map(|(id, row)| ServerLoad {
            server: id.clone(),
            requests: row.requests,
            tokens: row.tokens,
            reading: row.reading,
            inbound: row.inbound,
            seen_ms: now.since(row.seen).as_millis() as u64,
        });
        NodeReport {
            serves,
            load: load.collect(),
        }
    }

    /// Takes in what a peer told and adds up the load of all peers.
    pub fn set_peer(&mut self, now: Timestamp, peer: VmId, report: NodeReport) {
        for load in &report.load {
            if let Some(row) = self.servers.get_mut(&load.server) {
                let seen = now - Duration::from_millis(load.seen_ms);
                row.seen = row.seen.max(seen);
            }
        }
        self.peers.insert(peer, (now, report));
        let age = PEER_LOAD_AGE;
        self.peers.retain(|_, (at, _)| now.since(*at) < age);
        self.servers.clear_peer_load();
        for load in self.peers.values().flat_map(|(_, report)| &report.load) {
            if let Some(row) = self.servers.get_mut(&load.server) {
                row.peer_requests += load.requests;
                row.peer_tokens += load.tokens;
                row.peer_reading += load.reading;
                row.peer_inbound += load.inbound;
            }
        }
    }

    /// Tells what a peer last said of itself, if that was recently.
    pub fn peer(&self, now: Timestamp, peer: &VmId) -> Option<&NodeReport> {
        let (at, report) = self.peers.get(peer)?;
        (now.since(*at) < PEER_LOAD_AGE).then_some(report)
    }
}
