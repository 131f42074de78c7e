//! Accepts requests of callers.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header, request};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use radishhaven_client::{BodyBuffer, BodyTooLarge};
use radishhaven_core::{
    gateway::{
        CrashCause, PromptPart, RequestDigest,
        admission::RequestSource,
        routes::{RouteError, RouteMatch},
        state::Rejection,
    },
    ids::{ServiceId, VmId},
};
use radishhaven_platform::{
    backend_response,
    caller::{self, CallerRequest},
};
use spdlog::prelude::*;

use super::{
    body::{Body, text_response},
    caller_account::{Holder, NoMemory},
    exchange::OutgoingRequest,
    forward::{SHUTTING_DOWN, forward, set_retry_after},
    host::{GatewayHost, OpenRequestGuard},
    job::Job,
    peer_forwarding::NodeOutcome,
};

/// Memory that one part of a prompt takes while its request is handled, in bytes: its
/// place among the parts and among the causes of crashes. 13 were measured before the
/// causes are made.
const PART_BYTES: usize = 64;

/// What a node states about a request that it forwards for its caller.
#[derive(Debug)]
pub(super) struct Forwarded {
    /// The node.
    pub(super) from: Option<VmId>,
    /// The version of the configuration that it has decided by, if it states one.
    pub(super) configuration_version: Option<u64>,
    /// Whether it can still send the request elsewhere.
    pub(super) may_fail_over: bool,
}

/// Handles one request of a caller and returns its response.
pub(super) async fn handle(host: Arc<GatewayHost>, req: Request<Incoming>) -> Response<Body> {
    let mut resp = handle_request(&host, req, None).await;
    if host.is_draining() {
        set_close(&mut resp);
    }
    resp
}

/// Closes the caller's connection after a response.
fn set_close(resp: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    resp.headers_mut().insert(header::CONNECTION, close);
}

/// Handles one request that a peer forwards and returns its response.
pub(super) async fn handle_from_peer(
    host: Arc<GatewayHost>,
    req: Request<Incoming>,
    forwarded: Forwarded,
) -> Response<Body> {
    let Some(taken) = host.take_peer_request() else {
        let attempt_id = caller::decode(req.headers()).attempt_id;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut resp = reject(&host, "", &attempt_id, status, "no room for peers");
        set_retry_after(&mut resp, host.with_gateway(|g| g.retry_after()));
        return resp;
    };
    let resp = handle_request(&host, req, Some(forwarded)).await;
    // The request runs until its body has ended.
    resp.map(|body| {
        let body = body.map_frame(move |frame| {
            let _running = &taken;
            frame
        });
        body.boxed_unsync()
    })
}

async fn handle_request(
    host: &Arc<GatewayHost>,
    req: Request<Incoming>,
    forwarded: Option<Forwarded>,
) -> Response<Body> {
    let open = host.track_request();
    let (head, body) = req.into_parts();
    let caller_request = caller::decode(&head.headers);
    let min_version = forwarded.as_ref().and_then(|f| f.configuration_version);
    match authorize(host, &head, &caller_request, min_version) {
        Ok(authorized) => {
            let parts = (head, body, open);
            accept(host, parts, caller_request, authorized, forwarded).await
        }
        Err(rejected) => reject_unauthorized(host, &caller_request.attempt_id, rejected),
    }
}

/// Reads the body of a request that the configuration allows, and forwards the
/// request.
async fn accept(
    host: &Arc<GatewayHost>,
    (head, body, open): (request::Parts, Incoming, OpenRequestGuard),
    caller_request: CallerRequest,
    (routed, service): (RouteMatch, ServiceId),
    forwarded: Option<Forwarded>,
) -> Response<Body> {
    let refuse = |status, reason| {
        reject(
            host,
            &routed.name,
            &caller_request.attempt_id,
            status,
            reason,
        )
    };
    if caller_request.attempt_id.is_empty() {
        return refuse(StatusCode::BAD_REQUEST, "the id of the attempt is missing");
    }
    if head.method == Method::CONNECT {
        return refuse(StatusCode::METHOD_NOT_ALLOWED, "a tunnel is not forwarded");
    }
    let arrived = host.now();
    let timeout = routed.route.timeout;
    let time_limit = caller_request.deadline.map_or(timeout, |d| d.min(timeout));
    if !host.accepts(routed.route.kind, time_limit) {
        let mut resp = refuse(StatusCode::SERVICE_UNAVAILABLE, SHUTTING_DOWN);
        set_retry_after(&mut resp, host.with_gateway(|g| g.retry_elsewhere_after()));
        return resp;
    }
    let holder = head.extensions.get::<Arc<Holder>>().cloned();
    let reading = read_body(host, holder.as_deref(), &caller_request, body);
    let body = tokio::select! {
        body = tokio::time::timeout(time_limit, reading) => body,
        () = host.answers_due() => {
            let mut resp = refuse(StatusCode::SERVICE_UNAVAILABLE, SHUTTING_DOWN);
            set_retry_after(&mut resp, host.with_gateway(|g| g.retry_elsewhere_after()));
            set_close(&mut resp);
            return resp;
        }
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::TooLarge)) => {
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Ok(Err(ReadError::NoMemory)) => {
            let mut resp = refuse(StatusCode::SERVICE_UNAVAILABLE, "no memory for the body");
            set_retry_after(&mut resp, host.with_gateway(|g| g.retry_after()));
            set_close(&mut resp);
            return resp;
        }
        Ok(Err(ReadError::Broken)) => return refuse(StatusCode::BAD_REQUEST, "the body broke off"),
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let digest = digest(&head, &body, &caller_request, &routed);
    let outgoing = OutgoingRequest {
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body,
        attempt_id: caller_request.attempt_id,
        organisation: routed.organisation.clone(),
    };
    if let Some(forwarded) = &forwarded {
        host.metrics.taken_from_peers.inc();
        log_forwarded(forwarded, &outgoing.attempt_id);
    }
    let source = match forwarded {
        Some(_) => RequestSource::Peer,
        None => RequestSource::Caller,
    };
    let job = Job {
        host: host.clone(),
        outgoing: Arc::new(outgoing),
        routed,
        service,
        demand: caller_request.token_estimate,
        digest,
        causes: causes(caller_request.shared_parts, digest),
        arrived,
        deadline: arrived + time_limit,
        last_event: caller_request.last_event,
        waited: Duration::ZERO,
        runs: 0,
        not_run: 0,
        source,
        sender_may_fail_over: forwarded.is_some_and(|forwarded| forwarded.may_fail_over),
        has_arrived: false,
        is_refused: false,
        excluded: Vec::new(),
        end_logged: AtomicBool::new(false),
        _open: open,
    };
    forward(job).await
}

/// Returns what a request shares with others: the parts of its prompt, and last the
/// request itself.
fn causes(parts: Vec<PromptPart>, digest: RequestDigest) -> Vec<CrashCause> {
    let parts = parts.into_iter().map(CrashCause::Part);
    parts.chain([CrashCause::Request(digest)]).collect()
}

fn log_forwarded(forwarded: &Forwarded, attempt_id: &str) {
    info!("a request of a peer is taken", kv: {
        request = attempt_id,
        from = forwarded.from.as_ref().map_or("", |vm| vm.as_str()),
        may_fail_over = forwarded.may_fail_over,
    });
}

/// Returns the digest of a request, which a repetition by the same organisation
/// shares, at whatever node.
fn digest(
    head: &request::Parts,
    body: &Bytes,
    caller_request: &CallerRequest,
    routed: &RouteMatch,
) -> RequestDigest {
    let organisation = routed.organisation.as_ref().map(|id| id.as_str());
    let uri = origin_form(&head.uri);
    let target = uri.path_and_query().map(|target| target.as_str());
    RequestDigest::of(&[
        head.method.as_str().as_bytes(),
        routed.route.host.as_bytes(),
        target.unwrap_or_default().as_bytes(),
        organisation.unwrap_or_default().as_bytes(),
        caller_request.prompt.as_bytes(),
        body,
    ])
}

/// Why a body could not be read.
enum ReadError {
    TooLarge,
    NoMemory,
    Broken,
}

impl From<NoMemory> for ReadError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

impl From<BodyTooLarge> for ReadError {
    fn from(_: BodyTooLarge) -> Self {
        Self::TooLarge
    }
}

/// Reads a body up to the size limit of the configuration. Its bytes are counted before
/// they are read.
async fn read_body(
    host: &Arc<GatewayHost>,
    holder: Option<&Holder>,
    caller_request: &CallerRequest,
    mut body: Incoming,
) -> Result<Bytes, ReadError> {
    let limit = host.with_gateway(|g| g.configuration().map(|c| c.limits.max_body_bytes));
    let limit = limit.unwrap_or_default();
    let hold = |bytes| holder.map_or(Ok(()), |h| h.hold(bytes));
    let parts = caller_request.shared_parts.len();
    if parts > 0 {
        hold(parts * PART_BYTES)?;
    }
    let stated = body.size_hint();
    if stated.lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let length = stated.exact().map_or(0, |length| length as usize);
    if length > 0 {
        hold(length)?;
    }
    let receiving = holder.map(Holder::receive_body);
    let mut read = BodyBuffer::new(length, limit);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = refused(holder) => return Err(ReadError::NoMemory),
        };
        let Some(frame) = frame else {
            return Ok(read.into_bytes());
        };
        let frame = frame.map_err(|_| ReadError::Broken)?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let growth = read.growth(data.len())?;
        if growth > 0 {
            hold(growth)?;
        }
        read.push(&data)?;
        if let Some(receiving) = &receiving {
            receiving.record(data.len());
        }
    }
}

async fn refused(holder: Option<&Holder>) {
    match holder {
        Some(holder) => holder.body_refused().await,
        None => std::future::pending().await,
    }
}

/// Returns the path and query alone, which is the form of a URI in a request to
/// a backend server.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn authorize(
    host: &Arc<GatewayHost>,
    head: &request::Parts,
    caller_request: &CallerRequest,
    min_version: Option<u64>,
) -> Result<(RouteMatch, ServiceId), Rejection> {
    let authority = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let authority = authority.or_else(|| head.uri.authority().map(|a| a.as_str()));
    let name = authority.unwrap_or_default();
    let name = name.split_once(':').map_or(name, |(name, _)| name);
    let now = host.now();
    let path = head.uri.path();
    host.with_gateway(|g| {
        if min_version > g.configuration().map(|c| c.version) {
            return Err(Rejection::Older);
        }
        let routed = g.route(
            now,
            &name.to_ascii_lowercase(),
            path,
            caller_request.key.as_deref(),
        )?;
        let service = g.choose_service(&routed);
        let service = service.ok_or(Rejection::Route(RouteError::NoRoute))?;
        Ok((routed, service))
    })
}

fn reject_unauthorized(
    host: &Arc<GatewayHost>,
    attempt_id: &str,
    rejected: Rejection,
) -> Response<Body> {
    let status = match rejected {
        Rejection::Route(RouteError::NoRoute) => StatusCode::NOT_FOUND,
        Rejection::Route(RouteError::UnknownKey) => StatusCode::UNAUTHORIZED,
        Rejection::NoConfiguration
        | Rejection::Unconfirmed
        | Rejection::Outdated
        | Rejection::Older => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut resp = reject(host, "", attempt_id, status, &rejected.to_string());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = host.with_gateway(|g| g.retry_after_unconfirmed(host.now()));
        set_retry_after(&mut resp, after);
    }
    if rejected == Rejection::Older {
        resp.extensions_mut().insert(NodeOutcome::Older);
    }
    resp
}

fn reject(
    host: &Arc<GatewayHost>,
    route: &str,
    attempt_id: &str,
    status: StatusCode,
    reason: &str,
) -> Response<Body> {
    let now = host.now();
    let (version, proof) = host.with_gateway(|g| {
        let version = g.configuration().map_or(0, |c| c.version);
        (version, g.confirmation_age(now))
    });
    host.metrics.record_rejection(status);
    info!("a request was rejected", kv: {
        request = attempt_id,
        route,
        status = status.as_u16(),
        reason,
        version,
        proof_ms = proof.map_or(0, |age| age.as_millis() as u64),
    });
    let mut resp = text_response(status, reason);
    backend_response::set_attempt_id(resp.headers_mut(), attempt_id);
    resp.extensions_mut().insert(NodeOutcome::NotSent);
    resp
}
