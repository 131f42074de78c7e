//! What nodes tell each other of their load.
//!
//! A hub tells other hubs its own load and that of its leaves, and each leaf
//! the load of all nodes but that leaf, so that whoever adds up what it was told
//! counts each node once.

use std::{collections::BTreeMap, time::Duration};

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
    /// Nodes that it speaks for and that take no new callers.
    pub stopped: Vec<VmId>,
    /// Its load, and that of the nodes that it speaks for.
    pub load: Vec<ServerLoad>,
}

/// Who gets a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportRecipient<'a> {
    /// A hub, which hears other hubs itself.
    Hub,
    /// A leaf, which hears nobody else.
    Leaf(&'a VmId),
}

/// Where a report came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From a hub, for itself and its leaves.
    Hub,
    /// From a leaf of this hub.
    Leaf,
}

/// The last report of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    at: Timestamp,
    source: Source,
    report: NodeReport,
}

impl Peer {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) < PEER_LOAD_AGE
    }
}

impl ServerLoad {
    fn add(&mut self, other: &ServerLoad) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.reading += other.reading;
        self.inbound += other.inbound;
        self.seen_ms = self.seen_ms.min(other.seen_ms);
    }
}

impl Gateway {
    /// Returns what this node tells a peer; `serves` says whether it takes new
    /// callers.
    pub fn report(
        &self,
        now: Timestamp,
        serves: bool,
        audience: ReportRecipient<'_>,
    ) -> NodeReport {
        let rows = self.servers.iter().filter(|(_, row)| row.requests > 0);
        let own = rows.map(|(id, row)| ServerLoad {
            server: id.clone(),
            requests: row.requests,
            tokens: row.tokens,
            reading: row.reading,
            inbound: row.inbound,
            seen_ms: now.since(row.seen_here).as_millis() as u64,
        });
        let mut load: BTreeMap<VmId, ServerLoad> =
            own.map(|load| (load.server.clone(), load)).collect();
        let mut stopped = Vec::new();
        for (id, peer) in self.spoken_for(now, audience) {
            stopped.extend((!peer.report.serves).then(|| id.clone()));
            stopped.extend(peer.report.stopped.iter().cloned());
            let age_ms = now.since(peer.at).as_millis() as u64;
            for other in &peer.report.load {
                let mut other = other.clone();
                other.seen_ms += age_ms;
                match load.get_mut(&other.server) {
                    Some(sum) => sum.add(&other),
                    None => drop(load.insert(other.server.clone(), other)),
                }
            }
        }
        NodeReport {
            serves,
            stopped,
            load: load.into_values().collect(),
        }
    }

    /// Returns the peers whose load is part of a report to `audience`.
    fn spoken_for(
        &self,
        now: Timestamp,
        audience: ReportRecipient<'_>,
    ) -> impl Iterator<Item = (&VmId, &Peer)> {
        let heard = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_fresh(now));
        heard.filter(move |(id, peer)| match audience {
            ReportRecipient::Hub => peer.source == Source::Leaf,
            ReportRecipient::Leaf(leaf) => *id != leaf,
        })
    }

    /// Takes in what a peer told and adds up the load of all peers.
    pub fn apply_report(&mut self, now: Timestamp, peer: VmId, source: Source, report: NodeReport) {
        for load in &report.load {
            if let Some(row) = self.servers.get_mut(&load.server) {
                let seen = now - Duration::from_millis(load.seen_ms);
                row.seen = row.seen.max(seen);
            }
        }
        let at = now;
        self.peers.insert(peer, Peer { at, source, report });
        self.peers.retain(|_, peer| peer.is_fresh(now));
        self.servers.clear_peer_load();
        for load in self.peers.values().flat_map(|peer| &peer.report.load) {
            if let Some(row) = self.servers.get_mut(&load.server) {
                row.peer_requests += load.requests;
                row.peer_tokens += load.tokens;
                row.peer_reading += load.reading;
                row.peer_inbound += load.inbound;
            }
        }
    }

    /// Tells whether a node said recently that it takes no new callers.
    pub fn has_stopped(&self, now: Timestamp, node: &VmId) -> bool {
        let mut heard = self.peers.iter().filter(|(_, peer)| peer.is_fresh(now));
        heard.any(|(id, peer)| {
            (id == node && !peer.report.serves) || peer.report.stopped.contains(node)
        })
    }
}
