//! Takes requests of callers in.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use radishhaven_core::gateway::{
    routes::{Denied, Routed},
    state::Rejected,
};
use radishhaven_platform::{
    answer,
    caller::{self, CallerRequest},
};
use spdlog::prelude::*;

use super::{
    body::{Body, text},
    exchange::Outgoing,
    forward::{Job, forward, set_retry_after},
    host::GatewayHost,
};

/// Answers one request.
pub(super) async fn answer(host: Arc<GatewayHost>, req: Request<Incoming>) -> Response<Body> {
    let open = host.open_request();
    let (head, body) = req.into_parts();
    let asked = caller::decode(&head.headers);
    let attempt = asked.attempt.clone();
    let mut resp = match accept(&host, &head, &asked) {
        Ok((routed, _)) if !method_fits(&head) => reject(
            &host,
            &routed.name,
            &attempt,
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
        ),
        Ok((routed, _)) if !host.takes(routed.route.kind) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut resp = reject(&host, &routed.name, &attempt, status, "shutting down");
            let after = host.decide(|g| g.return_after());
            set_retry_after(&mut resp, after);
            resp
        }
        Ok((routed, service)) => {
            let arrived = host.now();
            let route = &routed.route;
            let kept = asked
                .deadline
                .map_or(route.timeout, |d| d.min(route.timeout));
            let ends = arrived + kept;
            let limit = host.decide(|g| g.configuration().map(|c| c.limits.max_body_bytes));
            let body = Limited::new(body, limit.unwrap_or_default()).collect();
            match tokio::time::timeout(kept, body).await {
                Ok(Ok(body)) => {
                    let outgoing = Outgoing {
                        method: head.method,
                        uri: head.uri.path_and_query().map_or_else(
                            || http::Uri::from_static("/"),
                            |path| http::Uri::from(path.clone()),
                        ),
                        headers: head.headers,
                        body: body.to_bytes(),
                        attempt: asked.attempt,
                        organisation: routed.organisation.clone(),
                    };
                    let job = Job {
                        host: host.clone(),
                        outgoing,
                        routed,
                        service,
                        need: asked.need,
                        arrived,
                        ends,
                        last_event: asked.last_event,
                        runs: 0,
                        not_run: 0,
                        avoid: Vec::new(),
                        _open: open,
                    };
                    forward(job).await
                }
                Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                    let status = StatusCode::PAYLOAD_TOO_LARGE;
                    reject(
                        &host,
                        &routed.name,
                        &attempt,
                        status,
                        "the body is too large",
                    )
                }
                Ok(Err(_)) => {
                    let status = StatusCode::BAD_REQUEST;
                    reject(&host, &routed.name, &attempt, status, "the body broke off")
                }
                Err(_) => {
                    let status = StatusCode::REQUEST_TIMEOUT;
                    reject(
                        &host,
                        &routed.name,
                        &attempt,
                        status,
                        "the body came too slowly",
                    )
                }
            }
        }
        Err(rejected) => turn_away(&host, &attempt, rejected),
    };
    if host.is_draining() {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
    }
    resp
}

/// A tunnel is no request to forward.
fn method_fits(head: &request::Parts) -> bool {
    head.method != Method::CONNECT
}

fn accept(
    host: &Arc<GatewayHost>,
    head: &request::Parts,
    asked: &CallerRequest,
) -> Result<(Routed, radishhaven_core::ids::ServiceId), Rejected> {
    let named = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let named = named.or_else(|| head.uri.authority().map(|a| a.as_str()));
    let name = named.unwrap_or_default();
    let name = name.split_once(':').map_or(name, |(name, _)| name);
    let now = host.now();
    let path = head.uri.path();
    host.decide(|g| {
        let routed = g.route(now, &name.to_ascii_lowercase(), path, asked.key.as_deref())?;
        let service = g.choose_service(&routed);
        let service = service.ok_or(Rejected::Denied(Denied::NoRoute))?;
        Ok((routed, service))
    })
}

fn turn_away(host: &Arc<GatewayHost>, attempt: &str, rejected: Rejected) -> Response<Body> {
    let status = match rejected {
        Rejected::Denied(Denied::NoRoute) => StatusCode::NOT_FOUND,
        Rejected::Denied(Denied::UnknownKey) => StatusCode::UNAUTHORIZED,
        Rejected::NoConfiguration | Rejected::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut resp = reject(host, "", attempt, status, &rejected.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = host.decide(|g| g.return_after());
        set_retry_after(&mut resp, after);
    }
    resp
}

fn reject(
    host: &Arc<GatewayHost>,
    route: &str,
    attempt: &str,
    status: StatusCode,
    reason: &str,
) -> Response<Body> {
    let now = host.now();
    let (version, proof) = host.decide(|g| {
        let version = g.configuration().map_or(0, |c| c.version);
        (version, g.proof_age(now))
    });
    host.metrics.rejected(status);
    info!("a request was rejected", kv: {
        request = attempt,
        route,
        status = status.as_u16(),
        reason,
        version,
        proof_ms = proof.map_or(0, |age| age.as_millis() as u64),
    });
    let mut resp = text(status, reason);
    answer::name_attempt(resp.headers_mut(), attempt);
    resp
}
