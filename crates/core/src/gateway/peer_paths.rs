//! Selects a peer that forwards a request to servers that this node does not reach.
//!
//! Each node reports how many servers of each service it reaches and how many
//! requests of peers it takes. A node with lost links sends a request to a peer that
//! reaches at least twice as many servers. The peer sends it on or refuses it, and
//! never to another peer, so that a request takes one hop at most. See
//! `docs/design/lost-links.md`.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{
    links::Reach,
    members::Member,
    peers::{MAX_REPORT_AGE, ReportRecipient, Source},
    state::Gateway,
    ticket::{Target, Ticket},
};
use crate::{
    ids::{FailureDomain, ServiceId, VmId},
    time::Timestamp,
};

/// Maximum number of nodes in a report. A node with lost links therefore keeps
/// connections to few peers in a large deployment.
pub const MAX_REPORTED_NODES: usize = 12;
/// Requests of peers that a node takes at a time, for each request of its own
/// callers.
const MAX_PEER_REQUESTS_PER_OWN: u32 = 8;
/// Requests of peers that a node takes at a time without any of its own callers.
const MIN_PEER_REQUESTS: u32 = 32;
/// Ratio of the servers that a peer must reach to those that this node reaches. A
/// small difference is not worth the way through a peer.
const MIN_REACH_RATIO: u32 = 2;
/// Weight of a peer of the same failure domain, relative to one of another.
const SAME_DOMAIN_WEIGHT: f64 = 3.0;
/// Time since a peer last heard a server at which its weight is half. A peer that
/// has just lost its links too does not know it yet.
const HALF_WEIGHT_SILENCE: Duration = Duration::from_millis(150);
/// Time for which a peer that failed or refused a request gets no further ones.
const PEER_BACKOFF: Duration = Duration::from_millis(500);

/// The same for a peer that refused a request because its configuration is older than
/// this node's. A peer that the store serves reads the newer one within 100 ms.
const OLDER_PEER_BACKOFF: Duration = Duration::from_millis(100);
/// Time after such a refusal for which refused callers are sent to other nodes.
const OLDER_PEER_MEMORY: Duration = Duration::from_millis(500);

/// How a node reaches one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePaths {
    /// Servers that it reaches.
    pub reachable: u32,
    /// Milliseconds since it last heard one of them, or `None` if it never did.
    pub heard_ms: Option<u64>,
}

/// What a node reports of its links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodePaths {
    /// The node.
    pub vm: VmId,
    /// Address on which it takes requests of peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests of peers that it takes at present.
    pub room: u32,
    /// Whether it has lost links, and needs to know its peers.
    pub has_lost_links: bool,
    /// How it reaches each service.
    pub services: BTreeMap<ServiceId, ServicePaths>,
    /// Milliseconds since the node made this report.
    pub age_ms: u64,
}

/// The links of some nodes. It follows the message in a datagram, so that a peer of
/// an earlier version, which does not expect it, ignores it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathsReport {
    /// The nodes, the sender first.
    pub nodes: Vec<NodePaths>,
}

/// A peer's links, as known here.
#[derive(Debug)]
struct KnownPaths {
    received_at: Timestamp,
    /// Whether the node reported itself as a leaf of this hub.
    is_own_leaf: bool,
    paths: NodePaths,
    /// Requests that this node sent to the peer since.
    sent: u32,
}

impl KnownPaths {
    fn age(&self, now: Timestamp) -> Duration {
        now.since(self.received_at) + Duration::from_millis(self.paths.age_ms)
    }

    /// Returns the report with its present age.
    fn aged(&self, now: Timestamp) -> NodePaths {
        NodePaths {
            age_ms: self.age(now).as_millis() as u64,
            ..self.paths.clone()
        }
    }
}

/// What this node knows of its peers' links.
#[derive(Debug, Default)]
pub struct PeerPaths {
    known: BTreeMap<VmId, KnownPaths>,
    /// Until when a peer gets no further requests.
    backoffs: BTreeMap<VmId, Timestamp>,
    /// When a peer last refused a request because its configuration is older.
    refused_as_older_at: Option<Timestamp>,
    /// Requests of peers that run here.
    taken: u32,
}

/// A peer that was selected, with the evidence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerChoice {
    /// The peer.
    pub vm: VmId,
    /// Address on which it takes requests of peers.
    pub address: SocketAddr,
    /// What this node reaches.
    pub own: Reach,
    /// Servers that the peer reaches.
    pub reachable: u32,
    /// Age of the peer's report.
    pub report_age: Duration,
}

impl PeerPaths {
    fn expire(&mut self, now: Timestamp) {
        self.known
            .retain(|_, known| known.age(now) < MAX_REPORT_AGE);
        self.backoffs.retain(|_, until| now < *until);
    }
}

impl Gateway {
    /// Returns what this node reports of its links. `own_requests` is the number of
    /// open requests of its callers, and `takes_requests` is whether it can take
    /// those of peers.
    pub fn own_paths(
        &self,
        now: Timestamp,
        own: &Member,
        own_requests: u32,
        takes_requests: bool,
    ) -> NodePaths {
        let services = self.reach_by_service().into_iter();
        let services = services.map(|(service, (reach, heard_at))| {
            let paths = ServicePaths {
                reachable: reach.reachable,
                heard_ms: heard_at.map(|at| now.since(at).as_millis() as u64),
            };
            (service, paths)
        });
        NodePaths {
            vm: own.vm.clone(),
            address: own.peer_address,
            failure_domain: own.failure_domain.clone(),
            room: if takes_requests {
                self.peer_room(own_requests)
            } else {
                0
            },
            has_lost_links: self.lost_links() > 0,
            services: services.collect(),
            age_ms: 0,
        }
    }

    /// Returns the number of further requests of peers that this node takes, which
    /// grows with those of its own callers.
    pub fn peer_room(&self, own_requests: u32) -> u32 {
        let max = MIN_PEER_REQUESTS.max(MAX_PEER_REQUESTS_PER_OWN.saturating_mul(own_requests));
        max.saturating_sub(self.peer_paths.taken)
    }

    /// Returns the number of requests of peers that run here.
    pub fn peer_requests(&self) -> u32 {
        self.peer_paths.taken
    }

    /// Counts a request of a peer as running here.
    pub fn begin_peer_request(&mut self) {
        self.peer_paths.taken += 1;
    }

    /// Counts a request of a peer as ended.
    pub fn end_peer_request(&mut self) {
        self.peer_paths.taken = self.peer_paths.taken.saturating_sub(1);
    }

    /// Returns the report to a peer. Hubs report some of their leaves to other hubs,
    /// and some of all nodes to a leaf that has lost links.
    pub fn paths_report(
        &mut self,
        now: Timestamp,
        own: NodePaths,
        recipient: ReportRecipient<'_>,
    ) -> PathsReport {
        self.peer_paths.expire(now);
        let others = self.peer_paths.known.iter().filter(|(id, known)| {
            let has_room = known.paths.room > 0 && !known.paths.has_lost_links;
            let is_covered = match recipient {
                ReportRecipient::Hub => known.is_own_leaf,
                ReportRecipient::Leaf(leaf) => *id != leaf,
            };
            has_room && is_covered
        });
        let others: Vec<&KnownPaths> = others.map(|(_, known)| known).collect();
        let is_asked = match recipient {
            ReportRecipient::Hub => true,
            ReportRecipient::Leaf(leaf) => {
                let known = self.peer_paths.known.get(leaf);
                known.is_some_and(|known| known.paths.has_lost_links)
            }
        };
        let count = if is_asked { MAX_REPORTED_NODES - 1 } else { 0 };
        let drawn = others.choose_multiple(&mut self.rng, count);
        let drawn = drawn.map(|known| known.aged(now));
        PathsReport {
            nodes: std::iter::once(own).chain(drawn).collect(),
        }
    }

    /// Stores the links that a peer has reported.
    pub fn apply_paths(
        &mut self,
        now: Timestamp,
        from: &VmId,
        source: Source,
        own: &VmId,
        report: PathsReport,
    ) {
        self.peer_paths.expire(now);
        for paths in report.nodes.into_iter().filter(|paths| paths.vm != *own) {
            let known = self.peer_paths.known.get(&paths.vm);
            let age = Duration::from_millis(paths.age_ms);
            if known.is_some_and(|known| known.age(now) < age) {
                continue;
            }
            let entry = KnownPaths {
                received_at: now,
                is_own_leaf: source == Source::Leaf && paths.vm == *from,
                sent: 0,
                paths,
            };
            self.peer_paths.known.insert(entry.paths.vm.clone(), entry);
        }
    }

    /// Returns what this node knows of its peers' links.
    pub fn peer_paths(&self, now: Timestamp) -> Vec<NodePaths> {
        let known = self.peer_paths.known.values();
        known.map(|known| known.aged(now)).collect()
    }

    /// Returns the age of a peer's latest report, or `None` if there is no recent one.
    pub(super) fn paths_age(&self, now: Timestamp, peer: &VmId) -> Option<Duration> {
        self.peer_paths.known.get(peer).map(|known| known.age(now))
    }

    /// Returns whether a peer has reported an older configuration than this node's. The
    /// configuration of a peer that is known through a hub is not known.
    fn is_older(&self, now: Timestamp, peer: &VmId) -> bool {
        let own = self.configuration().map(|c| c.version);
        self.reported_version(now, peer)
            .is_some_and(|version| Some(version) < own)
    }

    /// Selects a peer for a request, if this node has lost links to sound servers of the
    /// service and a peer reaches at least twice as many servers. Peers with an older
    /// configuration than this node's are selected only if there are no others: a report
    /// may be older than the peer's configuration, and the peer refuses if it is not.
    pub(super) fn choose_peer(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        avoid: &[VmId],
    ) -> Option<PeerChoice> {
        let own = self.impaired_reach(service)?;
        // Without progress for peers, the servers are likely gone. A peer without traffic
        // makes none, so that its claim counts if nothing else is left.
        let may_try_any = self.has_searched_peer(now, service);
        if own.sound < own.reachable.max(1) && !may_try_any {
            return None;
        }
        self.peer_paths.expire(now);
        let table = &self.peer_paths;
        let domain = self.failure_domain.as_ref();
        let min_reachable = (own.reachable * MIN_REACH_RATIO).max(1);
        let candidates = table.known.iter().filter_map(|(vm, known)| {
            let paths = known.paths.services.get(service)?;
            let room = known.paths.room.saturating_sub(known.sent);
            let is_usable = paths.reachable >= min_reachable
                && room > 0
                && !avoid.contains(vm)
                && !table.backoffs.contains_key(vm);
            is_usable.then(|| (weight(known, paths, room, now, domain), vm, known, paths))
        });
        let mut candidates: Vec<_> = candidates.collect();
        let is_current = |(_, vm, ..): &(_, &VmId, _, _)| !self.is_older(now, vm);
        if candidates.iter().any(is_current) {
            candidates.retain(is_current);
        }
        let total: f64 = candidates.iter().map(|(weight, ..)| weight).sum();
        let mut left = self.rng.random_range(0.0..1.0) * total;
        let (_, vm, known, paths) = candidates.iter().find(|(weight, ..)| {
            left -= weight;
            left < 0.0
        })?;
        let choice = PeerChoice {
            vm: (*vm).clone(),
            address: known.paths.address,
            own,
            reachable: paths.reachable,
            report_age: known.age(now),
        };
        if let Some(known) = self.peer_paths.known.get_mut(&choice.vm) {
            known.sent += 1;
        }
        Some(choice)
    }

    /// Returns a ticket for a request that a peer forwards, if one can help.
    pub(super) fn start_at_peer(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        avoid: &[VmId],
    ) -> Option<Ticket> {
        let choice = self.choose_peer(now, service, avoid)?;
        Some(Ticket {
            service: service.clone(),
            target: Target::Peer(choice),
            unread_tokens: 0,
            acquired_at: now,
        })
    }

    /// Sends no further requests for a short time to a peer that refused one because its
    /// configuration is older.
    pub(super) fn back_off_older_peer(&mut self, now: Timestamp, peer: &VmId) {
        let paths = &mut self.peer_paths;
        paths
            .backoffs
            .insert(peer.clone(), now + OLDER_PEER_BACKOFF);
        paths.refused_as_older_at = Some(now);
    }

    /// Returns whether this node has lost the links to all servers of a service, and a peer
    /// has just refused a request because its configuration is older.
    pub(super) fn has_only_older_peers(&self, now: Timestamp, service: &ServiceId) -> bool {
        let refused_at = self.peer_paths.refused_as_older_at;
        refused_at.is_some_and(|at| now.since(at) < OLDER_PEER_MEMORY)
            && self.has_lost_all_links(now, service)
    }

    /// Sends no further requests to a peer for a time.
    pub(super) fn back_off_peer(&mut self, now: Timestamp, peer: &VmId) {
        let backoffs = &mut self.peer_paths.backoffs;
        backoffs.insert(peer.clone(), now + PEER_BACKOFF);
    }
}

/// Returns the relative share of requests that a peer gets.
fn weight(
    known: &KnownPaths,
    paths: &ServicePaths,
    room: u32,
    now: Timestamp,
    domain: Option<&FailureDomain>,
) -> f64 {
    let silence = paths.heard_ms.map(Duration::from_millis);
    let silence = silence.unwrap_or(MAX_REPORT_AGE) + known.age(now);
    let freshness = silence.as_secs_f64() / HALF_WEIGHT_SILENCE.as_secs_f64();
    let is_near = domain == Some(&known.paths.failure_domain);
    let nearness = if is_near { SAME_DOMAIN_WEIGHT } else { 1.0 };
    f64::from(room) * nearness / (1.0 + freshness.powi(2))
}
