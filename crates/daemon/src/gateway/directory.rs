//! Tells callers which nodes to use, and the platform whether this one is
//! ready.

use std::{net::SocketAddr, sync::Arc};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use radishhaven_core::rendezvous;
use radishhaven_platform::{
    caller::Directory,
    members::Member,
    names::{READINESS_PATH, RESOLVE_PATH},
};

use super::{
    body::{Body, full, text},
    host::{GatewayHost, locked},
};

/// Most addresses in one answer; callers use no more.
const MAX_NODES: usize = 64;
/// How long callers keep an answer, in seconds. Some keep it three times as
/// long, so that a node that leaves stays in use for six seconds at most.
const KEEP_S: f64 = 2.0;

/// Answers a question for the nodes to use.
pub(super) fn resolve(host: &Arc<GatewayHost>, req: &Request<Incoming>) -> Response<Body> {
    if req.uri().path() != RESOLVE_PATH {
        return text(StatusCode::NOT_FOUND, "no such path");
    }
    let own = host.settings.node.callers;
    let mut members = locked(&host.peers).members.clone();
    // With more nodes than an answer names, each node names others.
    let own_vm = host.settings.node.vm.as_str();
    members.sort_by_cached_key(|member| rendezvous::score(own_vm, member.vm.as_str()));
    let mut addresses = serving(host, &members);
    addresses.retain(|&address| address != own);
    if host.is_ready() {
        addresses.insert(0, own);
    }
    addresses.truncate(MAX_NODES);
    if addresses.is_empty() {
        return text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no node is known to be ready",
        );
    }
    let keep = host.settings.bounds.keep.as_secs_f64();
    let answer = Directory {
        addresses,
        ttl_s: KEEP_S.min(keep),
    };
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut resp = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(header::CONTENT_TYPE, json);
    resp
}

/// Returns the members that have not said that they stopped serving. One that
/// is not heard stays: callers try another address sooner than they come back
/// to one that was left out.
fn serving(host: &Arc<GatewayHost>, members: &[Member]) -> Vec<SocketAddr> {
    let now = host.now();
    host.decide(|g| {
        let serving = members.iter().filter(|m| !g.has_stopped(now, &m.vm));
        serving.map(|member| member.callers).collect()
    })
}

/// Answers whether the node is ready.
pub(super) fn readiness(host: &Arc<GatewayHost>, req: &Request<Incoming>) -> Response<Body> {
    if req.uri().path() != READINESS_PATH {
        return text(StatusCode::NOT_FOUND, "no such path");
    }
    if host.is_ready() {
        return text(StatusCode::OK, "ready");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
