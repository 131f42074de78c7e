//! Renders the state of a gateway as JSON, for debugging.

use std::{collections::BTreeMap, sync::Arc};

use http::{HeaderValue, Response, StatusCode, header};
use radishhaven_platform::members::encode_name;
use serde_json::json;

use super::{
    body::{Body, full, text_response},
    host::{GatewayHost, lock},
};

/// Path of the state dump on the metrics address.
pub(super) const DUMP_PATH: &str = "/state";

/// Returns the state as JSON. API keys of organisations are left out.
pub(super) fn render(host: &Arc<GatewayHost>) -> Response<Body> {
    let now = host.now();
    let (members, token, role) = {
        let peers = lock(&host.peers);
        let members: Vec<String> = peers.members.members().iter().map(encode_name).collect();
        let token = peers.order_lease.map(|lease| lease.token);
        (members, token, peers.role.as_str())
    };
    let state = host.with_gateway(|g| {
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
            "role": role,
            "order_token": token,
            "store_era": host.store.era(),
            "quarantined_parts": g.quarantined_causes().iter().map(|(cause, quarantined)| {
                (cause.to_string(), quarantined)
            }).collect::<BTreeMap<_, _>>(),
            "peer_requests": g.peer_requests(),
            "peer_paths": g.peer_paths(now),
            "servers": servers,
        })
    });
    match serde_json::to_vec_pretty(&state) {
        Ok(body) => {
            let mut resp = Response::new(full(body));
            let content_type = HeaderValue::from_static("application/json");
            resp.headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            resp
        }
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
