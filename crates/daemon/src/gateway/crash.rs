//! Finds out whether an engine that lost a request has crashed.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use futures_util::future;
use radishhaven_core::{
    gateway::{Stage, Target},
    ids::VmId,
};
use spdlog::prelude::*;
use tokio::net::TcpStream;

use super::{
    host::TicketGuard,
    job::{Job, join_parts},
};

/// Time within which a machine refuses a connection to a process that has ended.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Reports a request whose connection ended before its first event, if its first
/// engine has crashed.
pub(super) async fn check_first(job: &Job, guard: &TicketGuard) {
    let first = stages(guard).first().map(|stage| &stage.server);
    check(job, guard, first.as_slice()).await;
}

/// Reports a request that stalled before its first event, if one of the `suspects`
/// on its path has crashed.
pub(super) async fn check_stalled(job: &Job, guard: &TicketGuard, suspects: &[VmId]) {
    check(job, guard, &suspects.iter().collect::<Vec<_>>()).await;
}

fn stages(guard: &TicketGuard) -> &[Stage] {
    match guard.target() {
        Target::Engines(path) => &path.stages,
        Target::Plain { .. } => &[],
    }
}

/// Reports the request for each of the engines that has crashed. A connection or a
/// path also breaks for other reasons, but only a process that has ended refuses
/// connections.
async fn check(job: &Job, guard: &TicketGuard, engines: &[&VmId]) {
    if job.shared_parts.is_empty() {
        return;
    }
    let checked = stages(guard)
        .iter()
        .filter(|stage| engines.contains(&&stage.server));
    let crashed = future::join_all(checked.map(async |stage| {
        let is_known = job.host.with_gateway(|g| g.has_crashed(&stage.server));
        let has_crashed = is_known || refuses_connections(stage.address).await;
        has_crashed.then_some(&stage.server)
    }));
    for engine in crashed.await.into_iter().flatten() {
        report(job, engine);
    }
}

fn report(job: &Job, engine: &VmId) {
    info!("an engine crashed before a request's first event", kv: {
        request = job.outgoing.attempt_id.as_str(),
        server = engine.as_str(),
        parts = join_parts(&job.shared_parts).as_str(),
    });
    let host = &job.host;
    let now = host.now();
    host.with_gateway(|g| g.record_prompt_crash(now, engine, &job.shared_parts));
    host.publish_quarantine();
    host.report_soon.notify_one();
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
