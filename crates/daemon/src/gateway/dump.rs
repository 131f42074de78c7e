//! Dumps what a gateway knows, for people who look into a failure.

use std::{collections::BTreeMap, sync::Arc};

use http::{HeaderValue, Response, StatusCode, header};
use serde_json::json;

use super::{
    body::{Body, full, text},
    host::{GatewayHost, locked},
};

/// Where the dump is read, on the metrics address.
pub(super) const DUMP_PATH: &str = "/state";

/// Answers with the state; keys of organisations are left out.
pub(super) fn render(host: &Arc<GatewayHost>) -> Response<Body> {
    let now = host.now();
    let (members, token) = {
        let peers = locked(&host.peers);
        let members: Vec<String> = peers.members.iter().map(|m| m.name()).collect();
        (members, peers.leads.map(|(token, _)| token))
    };
    let state = host.decide(|g| {
        let servers: BTreeMap<_, _> = g.servers().iter().collect();
        json!({
            "vm": host.settings.node.vm,
            "now": now,
            "draining": host.is_draining(),
            "configuration_version": g.configuration().map(|c| c.version),
            "proof_age_ms": g.confirmation_age(now).map(|age| age.as_millis() as u64),
            "waiting": g.queued(),
            "open_requests": host.open_requests(),
            "members": members,
            "order_token": token,
            "servers": servers,
        })
    });
    match serde_json::to_vec_pretty(&state) {
        Ok(body) => {
            let mut resp = Response::new(full(body));
            let kind = HeaderValue::from_static("application/json");
            resp.headers_mut().insert(header::CONTENT_TYPE, kind);
            resp
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
