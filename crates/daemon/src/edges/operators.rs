//! Serves operators: health, metrics, the state dump and what is in force.

use std::{convert::Infallible, sync::Arc};

use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use radishhaven_core::{config::Batch, node::Node};
use radishhaven_proto::operator::{APPLY_PATH, CONFIG_PATH, STATE_PATH};
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

/// Largest batch that is read, in bytes.
const MAX_BATCH_BYTES: usize = 8 * 1024 * 1024;

struct Operators {
    host: Arc<Host>,
}

impl Service<ServerContext, Request> for Operators {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        if req.method() == Method::POST && req.uri().path() == APPLY_PATH {
            return Ok(self.apply(req.into_body()).await);
        }
        Ok(self.answer(req.method(), req.uri().path()))
    }
}

impl Operators {
    fn answer(&self, method: &Method, path: &str) -> Response {
        match (method, path) {
            (&Method::GET, "/health") => text(StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, STATE_PATH) => json(StatusCode::OK, &self.host.read(state)),
            (&Method::GET, CONFIG_PATH) => {
                let parts = self.host.read(|node| node.tables().config.snapshot());
                json(StatusCode::OK, &parts)
            }
            _ => json(StatusCode::NOT_FOUND, &json!({ "message": "no such path" })),
        }
    }

    async fn apply(&self, body: Body) -> Response {
        let bad = |message: String| json(StatusCode::BAD_REQUEST, &json!({ "message": message }));
        let body = match Limited::new(body, MAX_BATCH_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return bad(error.to_string()),
        };
        match serde_json::from_slice::<Batch>(&body) {
            Ok(batch) => json(StatusCode::OK, &apply::run(&self.host, batch).await),
            Err(error) => bad(error.to_string()),
        }
    }

    fn ready(&self) -> Response {
        let ready = self.host.read(|node| {
            let tables = node.tables();
            tables.ready && tables.draining.is_none()
        });
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json(status, &json!({ "ready": ready }))
    }

    fn metrics(&self) -> Response {
        match self.host.read(metrics::render) {
            Ok(page) => text(StatusCode::OK, page),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn state(node: &Node) -> serde_json::Value {
    let tables = node.tables();
    let identity = &node.configs().identity;
    json!({
        "vm": identity.vm,
        "failure_domain": identity.failure_domain,
        "incarnation": identity.incarnation,
        "ready": tables.ready,
        "draining": tables.draining.is_some(),
        "config": {
            "revision": tables.config.revision(),
            "digest": tables.config.digest(),
            "objects": tables.config.objects().len(),
            "broken_records": tables.config.broken_records(),
        },
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
