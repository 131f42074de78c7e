//! Tells peers this node's load at each backend server, and hears theirs.
//!
//! A report says all there is, so that a lost one is made good by the next.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_core::{gateway::peers::NodeReport, ids::VmId};
use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use super::{
    GatewayStartError,
    host::{GatewayHost, locked},
};

/// Time between two reports; a request runs for one second or more.
const INTERVAL: Duration = Duration::from_millis(200);
/// Largest report in bytes, below what one datagram carries.
const MAX_BYTES: usize = 32 * 1024;

#[derive(Debug, Serialize, Deserialize)]
struct Report {
    from: VmId,
    node: NodeReport,
}

/// Binds the socket for reports, and puts the port there that was bound.
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

/// Sends and takes in reports until the process ends.
pub(super) async fn exchange(host: Arc<GatewayHost>, socket: UdpSocket) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_BYTES];
    loop {
        tokio::select! {
            _ = interval.tick() => tell(&host, &socket).await,
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, _)) => hear(&host, &buf[..length]),
                Err(error) => {
                    warn!("a report of a peer was not received", kv: { error = error.to_string() });
                    tokio::time::sleep(INTERVAL).await;
                }
            },
        }
    }
}

async fn tell(host: &Arc<GatewayHost>, socket: &UdpSocket) {
    let serves = host.is_ready();
    let now = host.now();
    let report = Report {
        from: host.settings.node.vm.clone(),
        node: host.decide(|g| g.report(now, serves)),
    };
    let encoded = bincode::serde::encode_to_vec(&report, bincode::config::standard());
    let bytes = match encoded {
        Ok(bytes) if bytes.len() <= MAX_BYTES => bytes,
        Ok(bytes) => {
            warn!("the load report is too large to send", kv: { bytes = bytes.len() });
            return;
        }
        Err(error) => {
            error!("the load report cannot be encoded", kv: { error = error.to_string() });
            return;
        }
    };
    let own = host.settings.node.peers;
    let members: Vec<SocketAddr> = locked(&host.peers)
        .members
        .iter()
        .map(|member| member.peers)
        .filter(|&address| address != own)
        .collect();
    for address in members {
        if let Err(error) = socket.send_to(&bytes, address).await {
            debug!("a load report was not sent", kv: { peer = address.to_string(), error = error.to_string() });
        }
    }
}

fn hear(host: &Arc<GatewayHost>, bytes: &[u8]) {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    match decoded {
        Ok((Report { from, node }, _)) => {
            let now = host.now();
            host.decide(|g| g.set_peer(now, from, node));
        }
        Err(error) => {
            host.metrics.malformed.inc();
            debug!("a report of a peer is malformed", kv: { error = error.to_string() });
        }
    }
}
