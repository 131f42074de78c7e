//! Exchanges load and knowledge of the store with the other nodes, over UDP.
//!
//! A message says all there is, so that a lost one is made good by the next.
//! Which nodes talk to which is decided by `radishhaven_core::gateway::hubs`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{
        hubs::Standing,
        peers::{Audience, NodeReport, Source},
        store_view::StoreView,
    },
    ids::VmId,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use super::{
    GatewayStartError,
    host::{GatewayHost, locked},
    store_sync,
};

/// Time between two messages; a request runs for one second or more.
const INTERVAL: Duration = Duration::from_millis(200);
/// Largest message in bytes, below what one datagram carries.
const MAX_BYTES: usize = 32 * 1024;
/// Time without an answer after which a leaf asks another hub: three messages
/// were lost then.
const HUB_PATIENCE: Duration = Duration::from_millis(650);
/// Age from which an answer says nothing about the present any more.
const LATE_ANSWER: Duration = Duration::from_millis(1_500);

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// A hub tells another one its load and that of its leaves.
    Report { from: VmId, node: NodeReport },
    /// A leaf tells its hub its load, and asks for the rest.
    Question {
        from: VmId,
        node: NodeReport,
        /// The leaf's time; the answer repeats it.
        sent: Timestamp,
        /// Up to where the leaf knows the registry.
        registry: Option<u64>,
    },
    /// A hub tells a leaf the load of all others, and what the store holds.
    Answer {
        from: VmId,
        node: NodeReport,
        sent: Timestamp,
        view: StoreView,
    },
}

/// The hub that a leaf asks.
#[derive(Debug, Default)]
struct Chosen {
    /// Its place among the hubs.
    place: usize,
    /// When it was chosen, or last answered.
    since: Timestamp,
}

/// Binds the socket for messages, and puts the port there that was bound.
pub(super) async fn bind(address: &mut SocketAddr) -> Result<UdpSocket, GatewayStartError> {
    let asked = *address;
    let failed = |source| GatewayStartError::Listen {
        address: asked,
        source,
    };
    let socket = UdpSocket::bind(asked).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    Ok(socket)
}

/// Sends and takes in messages until the process ends.
pub(super) async fn exchange(host: Arc<GatewayHost>, socket: UdpSocket) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_BYTES];
    let mut chosen = Chosen::default();
    loop {
        tokio::select! {
            _ = interval.tick() => tell(&host, &socket, &mut chosen).await,
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => hear(&host, &socket, &buf[..length], from, &mut chosen).await,
                Err(error) => {
                    warn!("a message of a peer was not received", kv: { error = error.to_string() });
                    tokio::time::sleep(INTERVAL).await;
                }
            },
        }
    }
}

async fn tell(host: &Arc<GatewayHost>, socket: &UdpSocket, chosen: &mut Chosen) {
    let (standing, addresses) = {
        let peers = locked(&host.peers);
        let members = peers.members.iter();
        let addresses: Vec<(VmId, SocketAddr)> = members.map(|m| (m.vm.clone(), m.peers)).collect();
        (peers.standing.clone(), addresses)
    };
    let address = |vm: &VmId| addresses.iter().find(|(id, _)| id == vm).map(|(_, at)| *at);
    let now = host.now();
    let (from, serves) = (host.settings.node.vm.clone(), host.is_ready());
    let node = host.decide(|g| g.report(now, serves, Audience::Hub));
    match standing {
        Standing::Hub { others, .. } => {
            let Some(bytes) = encode(&Message::Report { from, node }) else {
                return;
            };
            for address in others.iter().filter_map(address) {
                send(socket, &bytes, address).await;
            }
        }
        Standing::Leaf { hubs } => {
            if now.since(chosen.since) >= HUB_PATIENCE {
                chosen.place += 1;
                chosen.since = now;
            }
            let Some(hub) = hubs.get(chosen.place % hubs.len().max(1)) else {
                return;
            };
            let question = Message::Question {
                from,
                node,
                sent: now,
                registry: host.decide(|g| g.registry_end()),
            };
            if let (Some(bytes), Some(address)) = (encode(&question), address(hub)) {
                send(socket, &bytes, address).await;
            }
        }
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) if bytes.len() <= MAX_BYTES => Some(bytes),
        Ok(bytes) => {
            warn!("a message is too large to send", kv: { bytes = bytes.len() });
            None
        }
        Err(error) => {
            error!("a message cannot be encoded", kv: { error = error.to_string() });
            None
        }
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, address).await {
        debug!("a message was not sent", kv: { peer = address.to_string(), error = error.to_string() });
    }
}

async fn hear(
    host: &Arc<GatewayHost>,
    socket: &UdpSocket,
    bytes: &[u8],
    address: SocketAddr,
    chosen: &mut Chosen,
) {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let message: Message = match decoded {
        Ok((message, _)) => message,
        Err(error) => {
            host.metrics.malformed.inc();
            debug!("a message of a peer is malformed", kv: { error = error.to_string() });
            return;
        }
    };
    let now = host.now();
    match message {
        Message::Report { from, node } => host.decide(|g| g.set_peer(now, from, Source::Hub, node)),
        Message::Question {
            from,
            node,
            sent,
            registry,
        } => {
            let answer = answer(host, now, from, node, (sent, registry));
            if let Some(bytes) = encode(&answer) {
                send(socket, &bytes, address).await;
            }
        }
        Message::Answer {
            from,
            node,
            sent,
            view,
        } => {
            if sent > now || now.since(sent) >= LATE_ANSWER {
                return;
            }
            chosen.since = now;
            host.decide(|g| g.set_peer(now, from, Source::Hub, node));
            store_sync::take_view(host, sent, view);
        }
    }
}

/// Takes a leaf's load in and returns what the leaf is told; the pair has the
/// time of its question and up to where it knows the registry.
fn answer(
    host: &GatewayHost,
    now: Timestamp,
    leaf: VmId,
    node: NodeReport,
    (sent, registry): (Timestamp, Option<u64>),
) -> Message {
    let serves = host.is_ready();
    host.decide(|g| {
        g.set_peer(now, leaf.clone(), Source::Leaf, node);
        Message::Answer {
            from: host.settings.node.vm.clone(),
            node: g.report(now, serves, Audience::Leaf(&leaf)),
            sent,
            view: g.store_view(now, registry),
        }
    })
}
