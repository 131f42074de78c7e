//! Takes requests of callers in.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use radishhaven_core::{
    gateway::{
        routes::{RouteError, RouteMatch},
        state::Rejection,
    },
    ids::ServiceId,
};
use radishhaven_platform::{
    answer,
    caller::{self, CallerRequest},
};
use spdlog::prelude::*;

use super::{
    body::{Body, text},
    exchange::Outgoing,
    forward::{forward, set_retry_after},
    host::{GatewayHost, OpenRequest},
    job::Job,
};

/// Answers one request.
pub(super) async fn answer(host: Arc<GatewayHost>, req: Request<Incoming>) -> Response<Body> {
    let open = host.open_request();
    let (head, body) = req.into_parts();
    let asked = caller::decode(&head.headers);
    let mut resp = match accept(&host, &head, &asked) {
        Ok(accepted) => take(&host, head, body, asked, accepted, open).await,
        Err(rejected) => turn_away(&host, &asked.attempt, rejected),
    };
    if host.is_draining() {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
    }
    resp
}

/// Reads the body of a request that the configuration allows, and forwards it.
async fn take(
    host: &Arc<GatewayHost>,
    head: request::Parts,
    body: Incoming,
    asked: CallerRequest,
    (routed, service): (RouteMatch, ServiceId),
    open: OpenRequest,
) -> Response<Body> {
    let refuse = |status, reason| reject(host, &routed.name, &asked.attempt, status, reason);
    if head.method == Method::CONNECT {
        return refuse(StatusCode::METHOD_NOT_ALLOWED, "a tunnel is not forwarded");
    }
    if !host.takes(routed.route.kind) {
        let mut resp = refuse(StatusCode::SERVICE_UNAVAILABLE, "shutting down");
        set_retry_after(&mut resp, host.decide(|g| g.retry_after()));
        return resp;
    }
    let arrived = host.now();
    let timeout = routed.route.timeout;
    let kept = asked.deadline.map_or(timeout, |d| d.min(timeout));
    let body = match tokio::time::timeout(kept, read(host, body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(Unread::TooLarge)) => {
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Ok(Err(Unread::Broken)) => return refuse(StatusCode::BAD_REQUEST, "the body broke off"),
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let outgoing = Outgoing {
        method: head.method,
        uri: path_of(&head.uri),
        headers: head.headers,
        body,
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
        ends: arrived + kept,
        last_event: asked.last_event,
        waited: Duration::ZERO,
        runs: 0,
        not_run: 0,
        avoid: Vec::new(),
        ended: AtomicBool::new(false),
        _open: open,
    };
    forward(job).await
}

/// Why a body was not read.
enum Unread {
    TooLarge,
    Broken,
}

/// Reads a body up to the size that the operators allow.
async fn read(host: &Arc<GatewayHost>, body: Incoming) -> Result<Bytes, Unread> {
    let limit = host.decide(|g| g.configuration().map(|c| c.limits.max_body_bytes));
    let whole = Limited::new(body, limit.unwrap_or_default())
        .collect()
        .await;
    match whole {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Unread::TooLarge),
        Err(_) => Err(Unread::Broken),
    }
}

/// Returns path and query, which are all that a server is asked for.
fn path_of(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn accept(
    host: &Arc<GatewayHost>,
    head: &request::Parts,
    asked: &CallerRequest,
) -> Result<(RouteMatch, ServiceId), Rejection> {
    let named = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let named = named.or_else(|| head.uri.authority().map(|a| a.as_str()));
    let name = named.unwrap_or_default();
    let name = name.split_once(':').map_or(name, |(name, _)| name);
    let now = host.now();
    let path = head.uri.path();
    host.decide(|g| {
        let routed = g.route(now, &name.to_ascii_lowercase(), path, asked.key.as_deref())?;
        let service = g.choose_service(&routed);
        let service = service.ok_or(Rejection::Route(RouteError::NoRoute))?;
        Ok((routed, service))
    })
}

fn turn_away(host: &Arc<GatewayHost>, attempt: &str, rejected: Rejection) -> Response<Body> {
    let status = match rejected {
        Rejection::Route(RouteError::NoRoute) => StatusCode::NOT_FOUND,
        Rejection::Route(RouteError::UnknownKey) => StatusCode::UNAUTHORIZED,
        Rejection::NoConfiguration | Rejection::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut resp = reject(host, "", attempt, status, &rejected.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = host.decide(|g| g.retry_after());
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
        (version, g.confirmation_age(now))
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
