//! Exchanges load reports and views of the store with the other nodes, over
//! UDP.
//!
//! Each message carries the full state, so the next message repairs a lost one.
//! `radishhaven_core::gateway::hubs` decides which nodes exchange messages.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bincode::error::{DecodeError, EncodeError};
use radishhaven_core::{
    gateway::{
        StorePosition,
        faults::FaultReport,
        hubs::HubRole,
        members::{ListPosition, Member, MemberPage},
        peer_paths::PathsReport,
        peers::{NodeReport, ReportRecipient, Source},
        store_view::StoreView,
    },
    ids::VmId,
    time::Timestamp,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use spdlog::prelude::*;
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use super::{
    GatewayStartError,
    host::{GatewayHost, lock},
    members, store_sync,
};

/// Interval of the messages of a node; a request runs for one second or more.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Largest message, in bytes; below the limit of a datagram.
const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Number of servers whose load a message contains that is too large otherwise. Their
/// load takes a third of the message.
const MAX_LOAD_IN_LARGE_MESSAGE: usize = 256;
/// Time without a response after which a leaf switches to another hub. Three
/// messages have been lost by then.
const HUB_TIMEOUT: Duration = Duration::from_millis(650);
/// Age at which a response is too old to be applied.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// A hub reports its own load and that of its leaves to another hub.
    Report { from: VmId, node: NodeReport },
    /// A leaf reports its load to its hub, and requests the load of the others
    /// and a view of the store.
    #[serde(rename = "Question")]
    Query {
        from: VmId,
        node: NodeReport,
        /// When the leaf sent the query, on its own clock; the response repeats
        /// it.
        sent: Timestamp,
        /// The position up to which the leaf has applied the registry.
        registry: Option<StorePosition>,
        /// The lists of members that the leaf has.
        members: ListPosition,
    },
    /// A hub sends a leaf the load of all other nodes and a view of the store.
    #[serde(rename = "Answer")]
    Response {
        from: VmId,
        node: NodeReport,
        sent: Timestamp,
        view: StoreView,
        /// Members that the leaf does not have.
        members: Option<MemberPage>,
    },
}

impl Message {
    fn node(&self) -> &NodeReport {
        match self {
            Self::Report { node, .. } | Self::Query { node, .. } | Self::Response { node, .. } => {
                node
            }
        }
    }

    fn node_mut(&mut self) -> &mut NodeReport {
        match self {
            Self::Report { node, .. } | Self::Query { node, .. } | Self::Response { node, .. } => {
                node
            }
        }
    }
}

/// Details of a message that the next messages repeat or that other nodes report too.
#[derive(Debug, Clone, Copy)]
enum Detail {
    /// The evidence about crashes, but not what is quarantined.
    CrashEvidence,
    /// The members that a leaf lacks, which it asks for again.
    MemberPage,
    /// The members that the store does not list.
    UnlistedMembers,
    /// The load of the servers with the fewest requests, beyond
    /// [`MAX_LOAD_IN_LARGE_MESSAGE`] servers.
    SmallLoad,
}

impl Detail {
    /// The order in which details are left out.
    const LEFT_OUT_FIRST: [Self; 4] = [
        Self::CrashEvidence,
        Self::MemberPage,
        Self::UnlistedMembers,
        Self::SmallLoad,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::CrashEvidence => "evidence about crashes",
            Self::MemberPage => "members",
            Self::UnlistedMembers => "unlisted members",
            Self::SmallLoad => "small load",
        }
    }

    /// Removes the detail from a message, and returns whether the message had it.
    fn remove_from(self, message: &mut Message) -> bool {
        if let (Self::MemberPage, Message::Response { members, .. }) = (self, &mut *message) {
            return members.take().is_some();
        }
        let node = message.node_mut();
        match self {
            Self::CrashEvidence => {
                let crashes = &mut node.crashes;
                let had = !crashes.suspects.is_empty() || !crashes.answered.is_empty();
                crashes.suspects.clear();
                crashes.answered.clear();
                had
            }
            Self::MemberPage => false,
            Self::UnlistedMembers => !std::mem::take(&mut node.unlisted.members).is_empty(),
            Self::SmallLoad => {
                let had = node.load.len() > MAX_LOAD_IN_LARGE_MESSAGE;
                node.load.sort_by_key(|load| Reverse(load.requests));
                node.load.truncate(MAX_LOAD_IN_LARGE_MESSAGE);
                had
            }
        }
    }
}

/// The hub that a leaf currently queries.
#[derive(Debug, Default)]
struct CurrentHub {
    /// Its index in the leaf's list of hubs, modulo the length of the list.
    index: usize,
    /// When the leaf switched to it or last received a response from it.
    last_contact: Timestamp,
}

/// Binds the socket for messages and replaces the address by the bound one, in
/// case its port is zero.
pub(super) async fn bind(address: &mut SocketAddr) -> Result<UdpSocket, GatewayStartError> {
    let requested = *address;
    let failed = |source| GatewayStartError::Listen {
        address: requested,
        source,
    };
    let socket = UdpSocket::bind(requested).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}

/// Sends and receives messages until the process ends.
pub(super) async fn run(host: Arc<GatewayHost>, socket: UdpSocket) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    let mut current_hub = CurrentHub::default();
    let mut last_delay = 0;
    loop {
        tokio::select! {
            scheduled = interval.tick() => {
                let delay = scheduled.elapsed().as_millis() as u64;
                // A single late report may have waited for one long task.
                host.report_delay_ms.store(delay.min(last_delay), Ordering::Relaxed);
                last_delay = delay;
                send_report(&host, &socket, &mut current_hub).await;
            }
            () = host.report_soon.notified() => send_report(&host, &socket, &mut current_hub).await,
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => handle_message(&host, &socket, &buf[..length], from, &mut current_hub).await,
                Err(error) => {
                    warn!("failed to receive a message of a peer", kv: { error = error.to_string() });
                    tokio::time::sleep(REPORT_INTERVAL).await;
                }
            },
        }
    }
}

async fn send_report(host: &Arc<GatewayHost>, socket: &UdpSocket, current_hub: &mut CurrentHub) {
    host.with_gateway(|g| g.review_quarantine(host.now()));
    host.publish_quarantine();
    let (role, addresses) = {
        let peers = lock(&host.peers);
        let members = peers.members.members().iter();
        let addresses: Vec<(VmId, SocketAddr)> =
            members.map(|m| (m.vm.clone(), m.peer_address)).collect();
        (peers.role.clone(), addresses)
    };
    let address = |vm: &VmId| addresses.iter().find(|(id, _)| id == vm).map(|(_, at)| *at);
    let now = host.now();
    match role {
        HubRole::Hub { others, .. } => {
            let Some(bytes) = encode(own_report(host, now), &supplement_to_hub(host, now)) else {
                return;
            };
            for address in others.iter().filter_map(address) {
                send(socket, &bytes, address).await;
            }
        }
        HubRole::Leaf { hubs } => {
            if now.since(current_hub.last_contact) >= HUB_TIMEOUT {
                current_hub.index += 1;
                current_hub.last_contact = now;
            }
            let Some(hub) = hubs.get(current_hub.index % hubs.len().max(1)) else {
                return;
            };
            let (from, node) = report_to_hub(host, now);
            let query = Message::Query {
                from,
                node,
                sent: now,
                registry: host.with_gateway(|g| g.registry_end()),
                members: lock(&host.peers).members.position(),
            };
            let bytes = encode(query, &supplement_to_hub(host, now));
            if let (Some(bytes), Some(address)) = (bytes, address(hub)) {
                send(socket, &bytes, address).await;
            }
        }
    }
}

/// Returns this node and its report to a hub.
fn report_to_hub(host: &GatewayHost, now: Timestamp) -> (VmId, NodeReport) {
    let serves = host.accepts_callers();
    let own = unlisted_member(host);
    let node = host.with_gateway(|g| g.report(now, serves, own, ReportRecipient::Hub));
    (host.settings.node.vm.clone(), node)
}

/// Returns the message of a hub to another one.
fn own_report(host: &GatewayHost, now: Timestamp) -> Message {
    let (from, node) = report_to_hub(host, now);
    Message::Report { from, node }
}

/// Returns this node's entry if it serves callers and the store does not list it.
fn unlisted_member(host: &GatewayHost) -> Option<Member> {
    let is_unlisted = host.is_ready() && !members::is_listed(host);
    is_unlisted.then(|| members::own_member(host))
}

/// What follows a message. Each part was added by a later version than the one before,
/// and a node of an earlier version neither sends it nor reads it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Supplement {
    paths: Option<PathsReport>,
    faults: Option<FaultReport>,
}

/// Returns what follows a message of this node to a hub.
fn supplement_to_hub(host: &GatewayHost, now: Timestamp) -> Supplement {
    supplement(host, now, ReportRecipient::Hub)
}

fn supplement(host: &GatewayHost, now: Timestamp, recipient: ReportRecipient<'_>) -> Supplement {
    let own = members::own_member(host);
    let (requests, takes_requests) = (host.own_requests(), host.takes_peer_requests());
    host.with_gateway(|g| {
        let own = g.own_paths(now, &own, requests, takes_requests);
        Supplement {
            paths: Some(g.paths_report(now, own, recipient)),
            faults: Some(g.fault_report(now, recipient)),
        }
    })
}

/// Encodes a message and its supplement. A peer of an earlier version ignores what
/// follows a message. Of a message that is too large, details are
/// left out: a node whose messages don't arrive counts as gone.
fn encode(mut message: Message, supplement: &Supplement) -> Option<Vec<u8>> {
    let mut supplement = supplement.clone();
    let mut details = Detail::LEFT_OUT_FIRST.into_iter();
    loop {
        let bytes = match encode_whole(&message, &supplement) {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => return Some(bytes),
            Ok(bytes) => bytes.len(),
            Err(error) => {
                error!("failed to encode a message to a peer", kv: { error = error.to_string() });
                return None;
            }
        };
        if supplement.faults.take().is_some() {
            warn!("a message to a peer is too large and lacks a detail", kv: { bytes, detail = "faults" });
            continue;
        }
        let Some(detail) = details.find(|detail| detail.remove_from(&mut message)) else {
            error!("a message to a peer is too large to send", kv: { bytes });
            return None;
        };
        warn!("a message to a peer is too large and lacks a detail", kv: {
            bytes,
            detail = detail.as_str(),
        });
    }
}

fn encode_whole(message: &Message, supplement: &Supplement) -> Result<Vec<u8>, EncodeError> {
    let config = bincode::config::standard();
    let mut bytes = bincode::serde::encode_to_vec(message, config)?;
    if let Some(paths) = &supplement.paths {
        bytes.extend(bincode::serde::encode_to_vec(paths, config)?);
        if let Some(faults) = &supplement.faults {
            bytes.extend(bincode::serde::encode_to_vec(faults, config)?);
        }
    }
    Ok(bytes)
}

async fn send(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, address).await {
        debug!("failed to send a message to a peer", kv: { peer = address.to_string(), error = error.to_string() });
    }
}

async fn handle_message(
    host: &Arc<GatewayHost>,
    socket: &UdpSocket,
    bytes: &[u8],
    address: SocketAddr,
    current_hub: &mut CurrentHub,
) {
    let (message, received) = match decode(bytes) {
        Ok(decoded) => decoded,
        Err(error) => {
            host.metrics.malformed.inc();
            debug!("failed to decode a message of a peer", kv: { error = error.to_string() });
            return;
        }
    };
    let now = host.now();
    apply_supplement(host, now, &message, received);
    let version = message.node().configuration_version;
    match message {
        Message::Report { from, node } => {
            let is_known = host.with_gateway(|g| g.has_report_of(now, &from));
            host.with_gateway(|g| g.apply_report(now, from, Source::Hub, node));
            // A node that starts lists its peers before they list it.
            if !is_known
                && let Some(bytes) = encode(own_report(host, now), &supplement_to_hub(host, now))
            {
                send(socket, &bytes, address).await;
            }
        }
        Message::Query {
            from,
            node,
            sent,
            registry,
            members,
        } => {
            let page = lock(&host.peers).members.page_for(&members);
            let response = respond_to_leaf(host, now, from.clone(), node, (sent, registry), page);
            let appended = supplement(host, now, ReportRecipient::Leaf(&from));
            if let Some(bytes) = encode(response, &appended) {
                send(socket, &bytes, address).await;
            }
        }
        Message::Response {
            from,
            node,
            sent,
            view,
            members,
        } => {
            if sent > now || now.since(sent) >= MAX_RESPONSE_AGE {
                return;
            }
            if !is_left_behind(host, &node, &view) {
                current_hub.last_contact = now;
            }
            host.with_gateway(|g| g.apply_report(now, from, Source::Hub, node));
            store_sync::apply_hub_view(host, sent, view);
            members::apply_hub_page(host, now, members);
        }
    }
    host.record_peer_configuration(address, version);
    host.publish_quarantine();
    host.log_limits();
    // The report may show a peer that reaches the servers.
    host.start_waiting_requests();
}

/// Decodes a message and what follows it.
fn decode(bytes: &[u8]) -> Result<(Message, Supplement), DecodeError> {
    let (message, mut rest) = decode_part(bytes)?;
    let mut supplement = Supplement::default();
    if !rest.is_empty() {
        let (paths, after) = decode_part(rest)?;
        (supplement.paths, rest) = (Some(paths), after);
    }
    if !rest.is_empty() {
        supplement.faults = Some(decode_part(rest)?.0);
    }
    Ok((message, supplement))
}

/// Decodes the next part of a datagram and returns the bytes after it.
fn decode_part<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    let (part, length) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())?;
    Ok((part, &bytes[length..]))
}

fn apply_supplement(host: &GatewayHost, now: Timestamp, message: &Message, supplement: Supplement) {
    let (from, source) = match message {
        Message::Query { from, .. } => (from, Source::Leaf),
        Message::Report { from, .. } | Message::Response { from, .. } => (from, Source::Hub),
    };
    let own = &host.settings.node.vm;
    if let Some(paths) = supplement.paths {
        host.with_gateway(|g| g.apply_paths(now, from, source, own, paths));
    }
    let faults = supplement.faults.unwrap_or_default();
    let is_new = host.with_gateway(|g| g.apply_faults(now, from, faults));
    if is_new && source == Source::Leaf {
        host.report_soon.notify_one();
    }
}

/// Returns whether a hub can't read the store while other nodes can. Its leaves
/// then switch to another hub, as if it did not respond.
fn is_left_behind(host: &GatewayHost, node: &NodeReport, view: &StoreView) -> bool {
    let max_age = store_sync::max_hub_view_age(host);
    let hub_age = view.configuration.map(|(_, age)| age);
    let best_age = node.confirmation_age_ms.map(Duration::from_millis);
    hub_age.is_none_or(|age| age >= max_age) && best_age.is_some_and(|age| age < max_age)
}

/// Applies a leaf's load report and returns the response. The last argument is
/// the query's send time and the position up to which the leaf has applied the
/// registry.
fn respond_to_leaf(
    host: &GatewayHost,
    now: Timestamp,
    leaf: VmId,
    node: NodeReport,
    (sent, registry): (Timestamp, Option<StorePosition>),
    members: Option<MemberPage>,
) -> Message {
    let serves = host.accepts_callers();
    let own = unlisted_member(host);
    host.with_gateway(|g| {
        g.apply_report(now, leaf.clone(), Source::Leaf, node);
        Message::Response {
            from: host.settings.node.vm.clone(),
            node: g.report(now, serves, own, ReportRecipient::Leaf(&leaf)),
            sent,
            view: g.store_view(now, registry),
            members,
        }
    })
}

#[cfg(test)]
mod tests;
