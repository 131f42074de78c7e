//! Finds out whether a server that lost a request has crashed.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use futures_util::future;
use radishhaven_core::{
    gateway::{Target, links::ConnectFailure},
    ids::VmId,
};
use spdlog::prelude::*;
use tokio::net::TcpStream;

use super::{host::TicketGuard, job::Job};

/// Time within which a machine refuses a connection to a process that has ended.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Reports a request whose connection ended before its answer, if its first server
/// has crashed.
pub(super) async fn check_first(job: &Job, guard: &TicketGuard) {
    let first = guard.target().first().map(|(id, _)| id);
    check(job, guard, first.as_slice()).await;
}

/// Reports a request that stalled before its answer, if one of the `suspects` on its
/// path has crashed.
pub(super) async fn check_stalled(job: &Job, guard: &TicketGuard, suspects: &[VmId]) {
    check(job, guard, &suspects.iter().collect::<Vec<_>>()).await;
}

/// Returns the servers of a target with their addresses.
fn servers(target: &Target) -> Vec<(&VmId, SocketAddr)> {
    match target {
        Target::Engines(path) => {
            let stages = path.stages.iter();
            stages.map(|stage| (&stage.server, stage.address)).collect()
        }
        Target::Plain { server, address } => vec![(server, *address)],
        // The peer checks its servers itself.
        Target::Peer(_) => Vec::new(),
    }
}

/// Reports the request for each of the `suspects` that has crashed. A connection or
/// a path also breaks for other reasons, but only a process that has ended refuses
/// connections.
async fn check(job: &Job, guard: &TicketGuard, suspects: &[&VmId]) {
    let servers = servers(guard.target()).into_iter();
    let checked = servers.filter(|(server, _)| suspects.contains(server));
    let crashed = future::join_all(checked.map(async |(server, address)| {
        let is_known = job.host.with_gateway(|g| g.has_crashed(server));
        let has_crashed = is_known || refuses_connections(address).await;
        if has_crashed && !is_known {
            let now = job.host.now();
            let refused = ConnectFailure::Refused;
            job.host
                .with_gateway(|g| g.record_unreachable(now, server, refused));
            job.host.publish_links();
        }
        has_crashed.then_some(server)
    }));
    for server in crashed.await.into_iter().flatten() {
        report(job, server);
    }
}

fn report(job: &Job, server: &VmId) {
    info!("a server crashed before a request's answer", kv: {
        request = job.outgoing.attempt_id.as_str(),
        server = server.as_str(),
        digest = job.digest.to_string(),
        parts = job.parts_text(),
    });
    let host = &job.host;
    let now = host.now();
    host.with_gateway(|g| g.record_crash(now, server, &job.causes));
    host.publish_quarantine();
    host.report_soon.notify_one();
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
