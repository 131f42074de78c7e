//! Responds to callers with the nodes to use, and to the platform with the
//! readiness of this node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use radishhaven_core::{gateway::members::Member, rendezvous};
use radishhaven_platform::{
    caller::DirectoryResponse,
    names::{READINESS_PATH, RESOLVE_PATH},
};

use super::{
    body::{Body, full, text_response},
    host::{GatewayHost, lock},
    settings::Bounds,
};

/// Largest number of addresses in one response; callers use no more.
const MAX_NODES: usize = 64;
/// TTL of a response.
const TTL: Duration = Duration::from_secs(2);
/// Multiple of its TTL for which some callers keep a response.
const MAX_CACHED_TTLS: u32 = 3;

/// Returns the TTL of a response under these bounds.
fn ttl(bounds: &Bounds) -> Duration {
    TTL.min(bounds.max_directory_ttl)
}

/// Returns the longest time for which callers use a node that a directory has
/// left out.
pub(super) fn max_cache_time(bounds: &Bounds) -> Duration {
    ttl(bounds) * MAX_CACHED_TTLS
}

/// Responds with the addresses of the nodes to use.
pub(super) fn resolve(host: &Arc<GatewayHost>, req: &Request<Incoming>) -> Response<Body> {
    if req.uri().path() != RESOLVE_PATH {
        return text_response(StatusCode::NOT_FOUND, "no such path");
    }
    let own = host.settings.node.callers;
    let mut members = lock(&host.peers).members.members().to_vec();
    members.extend(host.with_gateway(|g| g.unlisted_nodes(host.now())).members);
    members.sort();
    members.dedup();
    // If there are more nodes than a response lists, each node lists a
    // different selection.
    let own_vm = host.settings.node.vm.as_str();
    members.sort_by_cached_key(|member| rendezvous::score(own_vm, member.vm.as_str()));
    let mut addresses = serving_addresses(host, &members);
    addresses.retain(|&address| address != own);
    if host.accepts_callers() {
        addresses.insert(0, own);
    }
    addresses.truncate(MAX_NODES);
    if addresses.is_empty() {
        return text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no node is known to be ready",
        );
    }
    let directory = DirectoryResponse {
        addresses,
        ttl_s: ttl(&host.settings.bounds).as_secs_f64(),
    };
    let body = serde_json::to_vec(&directory).unwrap_or_default();
    let mut resp = Response::new(full(body));
    let content_type = HeaderValue::from_static("application/json");
    resp.headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    resp
}

/// Returns the addresses of the members that have not reported that they
/// stopped serving. An unresponsive member stays in the list: callers try
/// another address sooner than they return to one that was left out.
fn serving_addresses(host: &Arc<GatewayHost>, members: &[Member]) -> Vec<SocketAddr> {
    let now = host.now();
    host.with_gateway(|g| {
        let serving = members.iter().filter(|m| !g.has_stopped(now, &m.vm));
        serving.map(|member| member.caller_address).collect()
    })
}

/// Responds with the readiness of the node.
pub(super) fn readiness(host: &Arc<GatewayHost>, req: &Request<Incoming>) -> Response<Body> {
    if req.uri().path() != READINESS_PATH {
        return text_response(StatusCode::NOT_FOUND, "no such path");
    }
    if host.is_ready() {
        return text_response(StatusCode::OK, "ready");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
