//! Probes the links to backend servers, and logs which are lost.

use std::{future, net::SocketAddr, sync::Arc};

use radishhaven_core::{
    gateway::{Gateway, links::PROBE_TIMEOUT},
    ids::VmId,
};
use spdlog::prelude::*;
use tokio::net::TcpStream;

use super::host::GatewayHost;

/// Probes links until the process ends.
pub(super) async fn run(host: Arc<GatewayHost>) {
    loop {
        let probes_changed = host.probes_changed.notified();
        let now = host.now();
        for (server, address) in host.with_gateway(|g| g.begin_probes(now)) {
            tokio::spawn(probe(host.clone(), server, address));
        }
        let next = host.with_gateway(|g| g.next_probe());
        let due = async {
            match next {
                Some(next) => tokio::time::sleep(next.since(host.now())).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = probes_changed => {}
        }
    }
}

/// Opens a connection and closes it.
async fn probe(host: Arc<GatewayHost>, server: VmId, address: SocketAddr) {
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let reached = matches!(connected, Ok(Ok(_)));
    let now = host.now();
    host.with_gateway(|g| g.record_probe(now, &server, address, reached));
    host.publish_links();
    host.publish_quarantine();
    host.start_waiting_requests();
}

impl GatewayHost {
    /// Logs the latest changes of links, reports them to the peers, and wakes the task
    /// that probes them.
    pub(super) fn publish_links(&self) {
        let changes = self.with_gateway(Gateway::take_link_changes);
        if !changes.is_empty() {
            self.report_soon.notify_one();
        }
        for change in changes {
            let server = change.server.as_str();
            let age = change.peer_progress_age;
            let peer_progress_ms = age.map_or(-1, |age| age.as_millis() as i64);
            let lost = self.with_gateway(|g| g.lost_links());
            match change.lost {
                true => {
                    warn!("the link to a server is lost", kv: { server, peer_progress_ms, lost })
                }
                false => {
                    info!("the link to a server is back", kv: { server, peer_progress_ms, lost })
                }
            }
        }
        self.probes_changed.notify_one();
    }
}
