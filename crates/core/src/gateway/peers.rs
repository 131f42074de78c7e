//! Exchanges of load reports between nodes.
//!
//! A hub is a node that reads the store for other nodes, its leaves. A hub
//! reports its own load and that of its leaves to the other hubs. It reports to
//! each leaf the load of all nodes except that leaf. A node that sums up the
//! reports that it receives therefore counts each other node once.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    members::Member, notices::Incarnation, quarantine::CrashReport, server_limits::LimitReport,
    state::Gateway,
};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Maximum number of unlisted nodes that a report names. Callers get no more
/// addresses from a directory.
pub const MAX_UNLISTED_MEMBERS: usize = 64;

/// Age up to which progress of a plain server is reported without a running request.
const RECENT_PROGRESS: Duration = Duration::from_millis(500);
/// Age after which a peer's report is ignored.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Load on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The backend server.
    pub server: VmId,
    /// Requests that run on the server.
    pub requests: u32,
    /// Tokens of KV cache that these requests are expected to occupy.
    pub tokens: u64,
    /// Prompt tokens of requests that have not received a first event.
    #[serde(rename = "reading")]
    pub unread_tokens: u64,
    /// Unread prompt tokens whose activations come from another failure domain.
    #[serde(rename = "inbound")]
    pub inbound_tokens: u64,
    /// Milliseconds since the server last made progress on a request.
    #[serde(rename = "seen_ms")]
    pub progress_age_ms: u64,
}

/// Nodes that serve callers but own no partition of the group, so that the store
/// does not list them. Their hubs make them known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnlistedNodes {
    /// Number of the nodes.
    pub count: u32,
    /// Some of the nodes, at most [`MAX_UNLISTED_MEMBERS`].
    pub members: Vec<Member>,
}

impl UnlistedNodes {
    /// Adds the nodes of another report.
    fn add(&mut self, other: &Self) {
        self.count += other.count;
        let room = MAX_UNLISTED_MEMBERS.saturating_sub(self.members.len());
        let members = other.members.iter().take(room);
        self.members.extend(members.cloned());
    }
}

impl From<Member> for UnlistedNodes {
    fn from(member: Member) -> Self {
        Self {
            count: 1,
            members: vec![member],
        }
    }
}

/// A node's report to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Whether the node accepts new callers.
    #[serde(rename = "serves")]
    pub accepts_callers: bool,
    /// The version of the node's configuration.
    pub configuration_version: Option<u64>,
    /// Milliseconds since any of the covered nodes last confirmed that its
    /// configuration is the newest.
    pub confirmation_age_ms: Option<u64>,
    /// Number of the nodes that this report covers.
    pub nodes: u32,
    /// Nodes covered by this report that accept no new callers.
    pub stopped: Vec<VmId>,
    /// Nodes covered by this report that the store does not list.
    pub unlisted: UnlistedNodes,
    /// Servers that stated recently to the covered nodes that they are leaving.
    pub leaving: BTreeMap<VmId, Incarnation>,
    /// Requests, and parts of prompts, that may crash servers.
    pub crashes: CrashReport,
    /// Servers that have named a limit.
    pub limits: BTreeMap<VmId, LimitReport>,
    /// Requests per second of the covered nodes for each service.
    pub demand: BTreeMap<ServiceId, u32>,
    /// The load of the node and of the nodes that it reports for.
    pub load: Vec<ServerLoad>,
}

/// The node to which a report is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportRecipient<'a> {
    /// A hub, which receives the reports of the other hubs itself.
    Hub,
    /// A leaf, which receives reports from this hub only.
    Leaf(&'a VmId),
}

/// The node from which a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A hub, which reports for itself and its leaves.
    Hub,
    /// A leaf of this hub.
    Leaf,
}

/// The latest report of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    received_at: Timestamp,
    source: Source,
    report: NodeReport,
}

impl Peer {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.received_at) < MAX_REPORT_AGE
    }
}

impl ServerLoad {
    fn add(&mut self, other: &ServerLoad) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.unread_tokens += other.unread_tokens;
        self.inbound_tokens += other.inbound_tokens;
        self.progress_age_ms = self.progress_age_ms.min(other.progress_age_ms);
    }
}

impl Gateway {
    /// Returns this node's report to a peer. `accepts_callers` is whether this
    /// node accepts new callers, and `own` is the node if the store does not list
    /// it.
    pub fn report(
        &self,
        now: Timestamp,
        accepts_callers: bool,
        own: Option<Member>,
        recipient: ReportRecipient<'_>,
    ) -> NodeReport {
        // Requests of plain servers are so short that few run when a report is made.
        let rows = self.servers.iter().filter(|(_, row)| {
            row.requests > 0
                || (row.entry.accelerator.is_none()
                    && now.since(row.last_local_progress) < RECENT_PROGRESS)
        });
        let own_load = rows.map(|(id, row)| ServerLoad {
            server: id.clone(),
            requests: row.requests,
            tokens: row.tokens,
            unread_tokens: row.unread_tokens,
            inbound_tokens: row.inbound_tokens,
            progress_age_ms: now.since(row.last_local_progress).as_millis() as u64,
        });
        let mut load: BTreeMap<VmId, ServerLoad> =
            own_load.map(|load| (load.server.clone(), load)).collect();
        let mut confirmation_age = self.confirmation_age(now);
        let mut stopped = Vec::new();
        let mut leaving = self.own_leaving(now);
        let mut unlisted = own.map(UnlistedNodes::from).unwrap_or_default();
        let mut covered = Vec::new();
        for (id, peer) in self.aggregated_peers(now, recipient) {
            covered.push((peer.received_at, &peer.report));
            stopped.extend((!peer.report.accepts_callers).then(|| id.clone()));
            stopped.extend(peer.report.stopped.iter().cloned());
            leaving.extend(peer.report.leaving.clone());
            unlisted.add(&peer.report.unlisted);
            let age_ms = now.since(peer.received_at).as_millis() as u64;
            let peer_age = peer.report.confirmation_age_ms;
            let peer_age = peer_age.map(|age| Duration::from_millis(age + age_ms));
            confirmation_age = match (confirmation_age, peer_age) {
                (Some(own), Some(peer)) => Some(own.min(peer)),
                (own, peer) => own.or(peer),
            };
            for other in &peer.report.load {
                let mut other = other.clone();
                other.progress_age_ms += age_ms;
                match load.get_mut(&other.server) {
                    Some(sum) => sum.add(&other),
                    None => drop(load.insert(other.server.clone(), other)),
                }
            }
        }
        NodeReport {
            accepts_callers,
            configuration_version: self.configuration().map(|c| c.version),
            confirmation_age_ms: confirmation_age.map(|age| age.as_millis() as u64),
            nodes: 1 + covered.iter().map(|(_, report)| report.nodes).sum::<u32>(),
            stopped,
            unlisted,
            leaving,
            crashes: self.crash_report(now, &covered),
            limits: self.limit_report(now, &covered),
            demand: self.demand_report(now, &covered),
            load: load.into_values().collect(),
        }
    }

    /// Returns the peers whose load is included in a report to `recipient`.
    pub(super) fn aggregated_peers(
        &self,
        now: Timestamp,
        recipient: ReportRecipient<'_>,
    ) -> impl Iterator<Item = (&VmId, &Peer)> {
        let fresh = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_fresh(now));
        fresh.filter(move |(id, peer)| match recipient {
            ReportRecipient::Hub => peer.source == Source::Leaf,
            ReportRecipient::Leaf(leaf) => *id != leaf,
        })
    }

    /// Returns the recent reports with the time at which each was received.
    pub(super) fn fresh_reports(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (Timestamp, &NodeReport)> {
        let fresh = self.peers.values().filter(move |peer| peer.is_fresh(now));
        fresh.map(|peer| (peer.received_at, &peer.report))
    }

    /// Returns whether there is a recent report of a peer.
    pub fn has_report_of(&self, now: Timestamp, peer: &VmId) -> bool {
        self.peers.get(peer).is_some_and(|peer| peer.is_fresh(now))
    }

    /// Returns the version of a peer's configuration according to its own recent report.
    pub(super) fn reported_version(&self, now: Timestamp, peer: &VmId) -> Option<u64> {
        let peer = self.peers.get(peer).filter(|peer| peer.is_fresh(now))?;
        peer.report.configuration_version
    }

    /// Stores a peer's report and recomputes the load of all peers.
    pub fn apply_report(&mut self, now: Timestamp, peer: VmId, source: Source, report: NodeReport) {
        for load in &report.load {
            if let Some(row) = self.servers.get_mut(&load.server) {
                let progress_at = now - Duration::from_millis(load.progress_age_ms);
                row.record_peer_progress(progress_at);
            }
            self.review_backoff(now, &load.server);
        }
        self.apply_leaving(&report.leaving);
        self.apply_crash_report(now, &report.crashes);
        self.apply_limits(now, &report.limits);
        if let Some(version) = report.configuration_version {
            self.record_configuration_version(now, version);
        }
        if let Some(age) = report.confirmation_age_ms {
            let confirmed_at = now - Duration::from_millis(age);
            self.record_peer_confirmation(confirmed_at);
            // The age of a report that covers other nodes may be that of another version.
            if let (1, Some(version)) = (report.nodes, report.configuration_version) {
                self.record_confirmation_of(now, confirmed_at, version);
            }
        }
        let received_at = now;
        self.peers.insert(
            peer,
            Peer {
                received_at,
                source,
                report,
            },
        );
        self.peers.retain(|_, peer| peer.is_fresh(now));
        let loads = self.peers.values().flat_map(|peer| &peer.report.load);
        self.servers.set_peer_load(now, loads);
        self.review_quarantine(now);
    }

    /// Returns the other nodes that the store does not list, according to recent
    /// reports.
    pub fn unlisted_nodes(&self, now: Timestamp) -> UnlistedNodes {
        let mut unlisted = UnlistedNodes::default();
        for peer in self.peers.values().filter(|peer| peer.is_fresh(now)) {
            unlisted.add(&peer.report.unlisted);
        }
        unlisted
    }

    /// Returns whether `node` accepts no new callers according to a recent report.
    pub fn has_stopped(&self, now: Timestamp, node: &VmId) -> bool {
        let mut fresh = self.peers.iter().filter(|(_, peer)| peer.is_fresh(now));
        fresh.any(|(id, peer)| {
            (id == node && !peer.report.accepts_callers) || peer.report.stopped.contains(node)
        })
    }
}
