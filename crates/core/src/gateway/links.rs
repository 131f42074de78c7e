//! Watches the links between this node and the backend servers.
//!
//! A node may be partitioned from servers that other nodes reach. A request whose
//! connection can't be opened shows that its link is lost, and probes of the
//! service's other servers show at once whether theirs are lost too. Probes also
//! show when a link is back, so that no caller's request is used to find out. See
//! `docs/design/lost-links.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::Serialize;

use super::{
    servers::{ServerRow, Servers},
    state::Gateway,
    ticket::Ticket,
};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Interval at which a lost link to a sound server is probed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The same if no peer has made progress on the server, which is likely gone. Hundreds of
/// nodes probe it until the registry shows that.
const GONE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a probe that got no answer counts as failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Consecutive successful probes that end the loss of a link.
const MIN_SUCCESSES: u32 = 2;
/// Maximum number of doublings of [`MIN_SUCCESSES`] for a link that is lost again
/// and again.
const MAX_DOUBLINGS: u32 = 3;
/// Time that a link must hold before its next loss counts as the first one.
const FLAP_WINDOW: Duration = Duration::from_secs(10);
/// Time without a sign of a request's first server after which its link is probed.
pub const SILENT_LINK: Duration = Duration::from_millis(250);
/// Minimum time between two probes of a link that is not lost.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Age up to which progress for a peer shows that a server is sound at present.
const RECENT_PROGRESS: Duration = Duration::from_millis(1_000);
/// Number of a service's servers that are probed when one refuses a connection. Mostly
/// its process has ended, and all nodes find that out.
const REFUSAL_CHECKS: usize = 2;
/// The same when a connection hangs, which takes much longer to find out.
const HANG_CHECKS: usize = 8;
/// The same when such a probe has failed, so that the node itself may be cut off.
const FAILED_PROBE_CHECKS: usize = 16;
/// Time after the loss of links within which peers report whether they reach the
/// servers, also through hubs.
const SEARCH_TIME: Duration = Duration::from_millis(1_000);
/// Time after the loss of links within which peers with traffic report progress.
const PROGRESS_SEARCH_TIME: Duration = Duration::from_millis(500);
/// Time by which a peer must have made progress after the loss of a link before it
/// shows that the server is sound. Ages of reports are too low by their transit.
const PEER_PROGRESS_MARGIN: Duration = Duration::from_millis(50);

/// The link from this node to one server.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Link {
    /// When the link was lost, or `None` if it is not.
    pub lost_at: Option<Timestamp>,
    /// When the server last sent something on a request of this node that was sent
    /// to it.
    pub heard_at: Option<Timestamp>,
    /// When the last probe began.
    probed_at: Option<Timestamp>,
    /// Whether it is open if the link is lost, because the service lost another one.
    is_unconfirmed: bool,
    /// Consecutive successful probes since the loss.
    successes: u32,
    /// When the link last returned.
    returned_at: Option<Timestamp>,
    /// Losses in a row, each soon after the return from the one before.
    flaps: u32,
}

impl Link {
    /// Returns whether the link is lost.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns whether the node can expect to reach the server.
    fn is_usable(&self) -> bool {
        !self.is_lost() && !self.is_unconfirmed
    }

    fn record_loss(&mut self, now: Timestamp) {
        (self.successes, self.is_unconfirmed) = (0, false);
        if self.is_lost() {
            return;
        }
        let is_flap = self
            .returned_at
            .is_some_and(|returned| now.since(returned) < FLAP_WINDOW);
        self.flaps = if is_flap { self.flaps + 1 } else { 0 };
        self.lost_at = Some(now);
    }

    /// Records a successful probe, and returns whether it ended the loss.
    fn record_reached(&mut self, now: Timestamp) -> bool {
        self.is_unconfirmed = false;
        if !self.is_lost() {
            return false;
        }
        self.successes += 1;
        if self.successes < MIN_SUCCESSES << self.flaps.min(MAX_DOUBLINGS) {
            return false;
        }
        self.lost_at = None;
        self.returned_at = Some(now);
        true
    }

    /// Returns whether a probe of the link would tell something new.
    fn is_unprobed(&self, now: Timestamp) -> bool {
        let probed_at = self.probed_at;
        !self.is_lost() && probed_at.is_none_or(|at| now.since(at) >= RECHECK_INTERVAL)
    }
}

/// How a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// It was refused or reset.
    Refused,
    /// There was no answer in time.
    Hung,
}

/// A link that was lost or has returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkChange {
    /// The server.
    pub server: VmId,
    /// Whether the link was lost.
    pub lost: bool,
    /// Time since a request of another node made progress on the server.
    pub peer_progress_age: Option<Duration>,
}

/// How many servers of a service take requests directly, and how many of them
/// this node reaches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Reach {
    /// Servers that this node can expect to reach.
    pub reachable: u32,
    /// Servers whose link is lost and that have made progress for a peer since.
    pub sound: u32,
    /// All of them.
    pub total: u32,
}

impl Reach {
    fn add(&mut self, row: &ServerRow) {
        self.total += 1;
        self.reachable += u32::from(row.link.is_usable());
        self.sound += u32::from(row.is_sound_behind_lost_link());
    }
}

/// The services with lost links, and the probes that are due. Requests look here first,
/// so that their cost does not grow with the servers as long as no link is lost.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
    /// Services with links that are lost or not confirmed.
    impaired: BTreeSet<ServiceId>,
    /// When the next probe of each link is due.
    probes: BTreeMap<VmId, Timestamp>,
    changes: Vec<LinkChange>,
}

impl ServerRow {
    /// Returns whether the server has made progress for a peer since this node lost the
    /// link to it, so that only the link is at fault.
    fn is_sound_behind_lost_link(&self) -> bool {
        let lost_at = self.link.lost_at;
        lost_at.is_some_and(|lost| self.last_peer_progress > Some(lost + PEER_PROGRESS_MARGIN))
    }
}

/// Returns whether requests of this node may be sent to the server directly, but
/// for its link.
fn takes_requests(row: &ServerRow) -> bool {
    let is_empty_engine = row.entry.accelerator.is_some() && row.entry.layers.is_none();
    row.takes_entries() && !row.is_leaving() && !is_empty_engine
}

impl Servers {
    /// Returns how many servers of a service this node reaches.
    pub fn reach(&self, service: &ServiceId) -> Reach {
        let mut reach = Reach::default();
        for (_, row) in self.of_service(service).filter(|(_, r)| takes_requests(r)) {
            reach.add(row);
        }
        reach
    }
}

impl Gateway {
    /// Records that no connection to a server could be opened. Some other servers of
    /// the service are probed.
    pub fn record_unreachable(&mut self, now: Timestamp, id: &VmId, failure: ConnectFailure) {
        let Some(service) = self.lose_link(now, id) else {
            return;
        };
        let checks = match failure {
            ConnectFailure::Refused => REFUSAL_CHECKS,
            ConnectFailure::Hung => HANG_CHECKS,
        };
        self.check_links(now, &service, checks);
    }

    /// Probes servers of a service whose links are not lost.
    fn check_links(&mut self, now: Timestamp, service: &ServiceId, count: usize) {
        let rows = self.servers.of_service(service);
        let unlost = rows.filter(|(_, row)| takes_requests(row) && !row.link.is_lost());
        let mut ids: Vec<_> = unlost
            .map(|(id, row)| (row.link.heard_at, id.clone()))
            .collect();
        // Servers that were not heard for the longest time are the most doubtful.
        ids.sort();
        for (_, other) in ids.into_iter().take(count) {
            let is_probed = self.request_probe(now, &other);
            if let Some(row) = self.servers.get_mut(&other).filter(|_| is_probed) {
                row.link.is_unconfirmed = true;
            }
        }
        self.review_impaired(service);
    }

    /// Marks a link as lost and returns the service of the server.
    fn lose_link(&mut self, now: Timestamp, id: &VmId) -> Option<ServiceId> {
        let row = self.servers.get_mut(id)?;
        let was_lost = row.link.is_lost();
        row.link.record_loss(now);
        let service = row.entry.service.clone();
        if !was_lost {
            self.links.probes.insert(id.clone(), now + PROBE_INTERVAL);
            self.record_change(now, id, true);
            self.review_impaired(&service);
        }
        Some(service)
    }

    fn record_change(&mut self, now: Timestamp, id: &VmId, lost: bool) {
        let progress = self.servers.get(id).and_then(|row| row.last_peer_progress);
        self.links.changes.push(LinkChange {
            server: id.clone(),
            lost,
            peer_progress_age: progress.map(|at| now.since(at)),
        });
    }

    /// Records the result of a probe of a server at an address.
    pub fn record_probe(&mut self, now: Timestamp, id: &VmId, address: SocketAddr, reached: bool) {
        let Some(row) = self.servers.get_mut(id) else {
            return;
        };
        if row.entry.address != address {
            return;
        }
        if !reached {
            let was_lost = row.link.is_lost();
            if let (false, Some(service)) = (was_lost, self.lose_link(now, id)) {
                self.check_links(now, &service, FAILED_PROBE_CHECKS);
            }
            self.review_after_probe(now);
            return;
        }
        let service = row.entry.service.clone();
        if row.link.record_reached(now) {
            self.links.probes.remove(id);
            self.record_change(now, id, false);
        }
        self.review_impaired(&service);
        self.review_after_probe(now);
    }

    fn review_impaired(&mut self, service: &ServiceId) {
        let rows = self.servers.of_service(service);
        let mut links = rows.map(|(_, row)| &row.link);
        if links.all(Link::is_usable) {
            self.links.impaired.remove(service);
        } else {
            self.links.impaired.insert(service.clone());
        }
    }

    /// Reviews the services with lost links, after servers were removed.
    pub(super) fn review_links(&mut self) {
        for service in self.links.impaired.clone() {
            self.review_impaired(&service);
        }
    }

    /// Returns how many servers of a service this node reaches, if one of their links
    /// is lost or not confirmed.
    pub(super) fn impaired_reach(&self, service: &ServiceId) -> Option<Reach> {
        self.links
            .impaired
            .contains(service)
            .then(|| self.servers.reach(service))
    }

    /// Returns whether this node reaches no server of a service, because the links
    /// were lost so long ago that peers would have been found.
    pub fn is_cut_off(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.cut_off_for(now, service)
            .is_some_and(|time| time >= SEARCH_TIME)
    }

    /// Returns whether this node reaches no server of a service, because the links are
    /// lost.
    pub fn has_lost_all_links(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.cut_off_for(now, service).is_some()
    }

    /// Returns whether this node has just lost the links to all servers of a service, so
    /// that a peer that reaches them may soon be found.
    pub fn is_searching_peer(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.cut_off_for(now, service)
            .is_some_and(|time| time < SEARCH_TIME)
    }

    /// Returns whether this node has lost the links to all servers of a service for so
    /// long that peers with traffic would have reported progress.
    pub(super) fn has_searched_peer(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.cut_off_for(now, service)
            .is_some_and(|time| time >= PROGRESS_SEARCH_TIME)
    }

    /// Returns the time since the first of the links to a service's servers was lost, if
    /// this node reaches none of them.
    fn cut_off_for(&self, now: Timestamp, service: &ServiceId) -> Option<Duration> {
        let reach = self.impaired_reach(service)?;
        if reach.total == 0 || reach.reachable > 0 {
            return None;
        }
        let rows = self.servers.of_service(service);
        let lost = rows.filter_map(|(_, row)| row.link.lost_at);
        lost.min().map(|at| now.since(at))
    }

    /// Returns the number of servers whose links are lost.
    pub fn lost_links(&self) -> usize {
        let impaired = !self.links.impaired.is_empty();
        let rows = self.servers.iter().filter(|_| impaired);
        rows.filter(|(_, row)| row.link.is_lost()).count()
    }

    /// Makes a probe of a link due, unless one began a short time ago. Returns whether a
    /// probe is due.
    fn request_probe(&mut self, now: Timestamp, id: &VmId) -> bool {
        let row = self.servers.get(id);
        if row.is_some_and(|row| row.link.is_unprobed(now)) {
            self.links.probes.entry(id.clone()).or_insert(now);
        }
        self.links.probes.contains_key(id)
    }

    /// Begins the probes that are due, and returns the servers to probe. A lost link is
    /// probed again after an interval.
    pub fn begin_probes(&mut self, now: Timestamp) -> Vec<(VmId, SocketAddr)> {
        let due = self.links.probes.iter().filter(|(_, at)| **at <= now);
        let due: Vec<VmId> = due.map(|(id, _)| id.clone()).collect();
        let mut begun = Vec::new();
        for id in due {
            self.links.probes.remove(&id);
            let Some(row) = self.servers.get_mut(&id) else {
                continue;
            };
            row.link.probed_at = Some(now);
            if row.link.is_lost() {
                let interval = match row.is_sound_behind_lost_link() {
                    true => PROBE_INTERVAL,
                    false => GONE_PROBE_INTERVAL,
                };
                self.links.probes.insert(id.clone(), now + interval);
            }
            begun.push((id, row.entry.address));
        }
        begun
    }

    /// Returns when the next probe is due.
    pub fn next_probe(&self) -> Option<Timestamp> {
        self.links.probes.values().min().copied()
    }

    /// Returns the changes of links since the last call.
    pub fn take_link_changes(&mut self) -> Vec<LinkChange> {
        std::mem::take(&mut self.links.changes)
    }

    /// Records a sign of the server to which a request was sent.
    pub(super) fn record_heard(&mut self, now: Timestamp, ticket: &Ticket) {
        let first = ticket.target.first().map(|(id, _)| id);
        if let Some(row) = first.and_then(|id| self.servers.get_mut(id)) {
            row.link.heard_at = Some(now);
        }
    }

    /// Checks the link of a request that has made no progress for `stalled_for`, and
    /// returns whether it is lost. A link that was silent for some time is probed if the
    /// server goes on for a peer.
    pub(super) fn is_link_lost(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        stalled_for: Duration,
    ) -> bool {
        if stalled_for < SILENT_LINK {
            return false;
        }
        let first = ticket.target.first().map(|(id, _)| id);
        let Some((id, row)) = first.and_then(|id| Some((id, self.servers.get(id)?))) else {
            return false;
        };
        let is_lost = row.link.is_lost();
        let silent_since = row.link.heard_at.max(Some(ticket.acquired_at));
        let is_silent = silent_since.is_some_and(|at| now.since(at) >= SILENT_LINK);
        let goes_on = row
            .last_peer_progress
            .is_some_and(|at| now.since(at) < RECENT_PROGRESS);
        if is_silent && goes_on {
            self.request_probe(now, id);
        }
        is_lost
    }

    /// Ends the backoff of a server that made progress for a peer after this node
    /// had lost its link: engines on its paths still reach it.
    pub(super) fn review_backoff(&mut self, now: Timestamp, id: &VmId) {
        let Some(row) = self.servers.get_mut(id) else {
            return;
        };
        if row.is_sound_behind_lost_link() && row.failures > 0 && row.refused_at.is_none() {
            row.failures = 0;
            row.backoff_until = now;
        }
    }

    /// Returns for each service how many of its servers this node reaches, and when
    /// it last heard one of them.
    pub(super) fn reach_by_service(&self) -> BTreeMap<ServiceId, (Reach, Option<Timestamp>)> {
        let mut services: BTreeMap<ServiceId, (Reach, Option<Timestamp>)> = BTreeMap::new();
        for (_, row) in self.servers.iter().filter(|(_, row)| takes_requests(row)) {
            let service = &row.entry.service;
            if !services.contains_key(service) {
                services.insert(service.clone(), Default::default());
            }
            if let Some((reach, heard_at)) = services.get_mut(service) {
                reach.add(row);
                *heard_at = row.link.heard_at.max(*heard_at);
            }
        }
        services
    }
}
