//! Finds out whether an engine that lost a request has crashed.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use radishhaven_core::gateway::Target;
use spdlog::prelude::*;
use tokio::net::TcpStream;

use super::{
    host::TicketGuard,
    job::{Job, join_parts},
};

/// Time within which a machine refuses a connection to a process that has ended.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Reports a request whose connection ended before its first event, if its engine
/// has crashed. A connection also breaks for other reasons, but only a process that
/// has ended refuses new ones.
pub(super) async fn check(job: &Job, guard: &TicketGuard) {
    let Target::Engines(path) = guard.target() else {
        return;
    };
    let Some(first) = path.stages.first().filter(|_| !job.shared_parts.is_empty()) else {
        return;
    };
    let host = &job.host;
    let is_known = host.with_gateway(|g| g.has_crashed(&first.server));
    if !is_known && !refuses_connections(first.address).await {
        return;
    }
    info!("an engine crashed before a request's first event", kv: {
        request = job.outgoing.attempt_id.as_str(),
        server = first.server.as_str(),
        parts = join_parts(&job.shared_parts).as_str(),
    });
    let now = host.now();
    host.with_gateway(|g| g.record_prompt_crash(now, &first.server, &job.shared_parts));
    host.publish_quarantine();
    host.report_soon.notify_one();
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
