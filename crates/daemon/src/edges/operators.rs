//! Serves operators over HTTP: health, metrics, queries, configuration changes
//! and the state dump.

use std::{convert::Infallible, sync::Arc};

use http::{HeaderMap, Method, StatusCode, header::AUTHORIZATION};
use radishhaven_client::read_body;
use radishhaven_core::{
    language::{MAX_TEXT_BYTES, answer, node_statuses, parse_query},
    node::Node,
};
use radishhaven_proto::operator::{
    APPLY_PATH, CONFIG_PATH, LanguageErrors, NODES_PATH, Nodes, PLAN_PATH, QUERY_PATH, STATE_PATH,
};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use volo::service::Service;
use volo_http::{body::Body, context::ServerContext, request::Request, response::Response};

use super::{
    apply,
    http::{json, serve as serve_http, text},
};
use crate::{host::Host, metrics};

/// Serves operators until the process ends.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener) {
    serve_http("operators", listener, Operators { host }).await;
}

struct Operators {
    host: Arc<Host>,
}

impl Service<ServerContext, Request> for Operators {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let (method, path) = (req.method().clone(), req.uri().path().to_owned());
        if let Some(page) = self.public_page(&method, &path) {
            return Ok(page);
        }
        if !self.is_authorized(req.headers()) {
            let message = json!({ "message": "the operators' token is absent or wrong" });
            return Ok(json(StatusCode::UNAUTHORIZED, &message));
        }
        if method == Method::POST {
            return Ok(self.post(&path, req.into_body()).await);
        }
        Ok(self.get(&method, &path))
    }
}

fn not_found() -> Response {
    json(StatusCode::NOT_FOUND, &json!({ "message": "no such path" }))
}

fn json_result<T: Serialize>(result: Result<T, LanguageErrors>) -> Response {
    match result {
        Ok(value) => json(StatusCode::OK, &value),
        Err(errors) => json(StatusCode::UNPROCESSABLE_ENTITY, &errors),
    }
}

impl Operators {
    /// Returns the page at a path that needs no token.
    fn public_page(&self, method: &Method, path: &str) -> Option<Response> {
        match (method, path) {
            (&Method::GET, "/health") => Some(text(StatusCode::OK, "ok\n".to_owned())),
            (&Method::GET, "/ready") => Some(self.ready()),
            (&Method::GET, "/metrics") => Some(self.metrics()),
            _ => None,
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.host.settings.operators.token else {
            return true;
        };
        let presented = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let presented = presented.and_then(|value| value.strip_prefix("Bearer "));
        presented.is_some_and(|presented| token.matches(presented))
    }

    fn get(&self, method: &Method, path: &str) -> Response {
        match (method, path) {
            (&Method::GET, STATE_PATH) => {
                let now = self.host.now();
                json(StatusCode::OK, &self.host.read(|node| state(node, now)))
            }
            (&Method::GET, CONFIG_PATH) => {
                let snapshot = self.host.read(|node| node.tables().config.snapshot());
                json(StatusCode::OK, &snapshot)
            }
            (&Method::GET, NODES_PATH) => json(StatusCode::OK, &self.nodes()),
            _ => not_found(),
        }
    }

    async fn post(&self, path: &str, body: Body) -> Response {
        let bad_request =
            |message: String| json(StatusCode::BAD_REQUEST, &json!({ "message": message }));
        let body = match read_body(body, MAX_TEXT_BYTES).await {
            Ok(body) => body,
            Err(error) => return bad_request(error.to_string()),
        };
        let body = match std::str::from_utf8(&body) {
            Ok(body) => body,
            Err(error) => return bad_request(error.to_string()),
        };
        match path {
            QUERY_PATH => json_result(self.query(body)),
            PLAN_PATH => json_result(apply::plan(&self.host, body)),
            APPLY_PATH => json_result(apply::run(&self.host, body).await),
            _ => not_found(),
        }
    }

    fn query(&self, body: &str) -> Result<radishhaven_core::language::Answer, LanguageErrors> {
        let now = self.host.now();
        let result = parse_query(body).and_then(|query| {
            self.host
                .read(|node| answer(&node.configs().identity, node.tables(), now, &query))
        });
        result.map_err(|error| LanguageErrors {
            errors: vec![error],
        })
    }

    fn nodes(&self) -> Nodes {
        let now = self.host.now();
        self.host.read(|node| {
            let identity = &node.configs().identity;
            Nodes {
                node: identity.vm.clone(),
                nodes: node_statuses(identity, node.tables(), now),
            }
        })
    }

    fn ready(&self) -> Response {
        let ready = self.host.read(|node| {
            let tables = node.tables();
            tables.ready && tables.draining_since.is_none()
        });
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json(status, &json!({ "ready": ready }))
    }

    fn metrics(&self) -> Response {
        let now = self.host.now();
        match self.host.read(|node| metrics::render(node, now)) {
            Ok(page) => text(StatusCode::OK, page),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn state(node: &Node, now: radishhaven_core::time::Timestamp) -> serde_json::Value {
    let tables = node.tables();
    let identity = &node.configs().identity;
    json!({
        "vm": identity.vm,
        "failure_domain": identity.failure_domain,
        "incarnation": identity.incarnation,
        "ready": tables.ready,
        "draining": tables.draining_since.is_some(),
        "now": now,
        "config": {
            "revision": tables.config.revision(),
            "digest": tables.config.digest(),
            "objects": tables.config.objects().len(),
            "decisions": tables.config.decision_count(),
            "broken_records": tables.config.broken_records(),
        },
        "follow": tables.replication,
        "vm_follow": tables.vm_replication,
        "vms": tables.vms,
        "members": tables.members,
        "probes": tables.probes,
        "orders": tables.orders,
        "backends": tables.backends,
        "requests": tables.requests,
        "once": tables.once,
        "subscriptions": tables.timers.len(),
        "counters": tables.counters,
    })
}
