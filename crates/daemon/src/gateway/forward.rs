//! Forwards a request to backend servers, with retries until one responds or no
//! attempt is left.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header, response};
use radishhaven_client::BodyFraming;
use radishhaven_core::gateway::{Gateway, RouteKind, TicketOutcome};
use radishhaven_platform::backend_response;
use spdlog::prelude::*;

use super::{
    body::{Body, full, text_response},
    crash,
    exchange::{BackendResponse, is_malformed},
    host::{AdmissionOutcome, TicketGuard},
    job::{Attempt, Job},
    relay,
    response_memory::ReadResponseError,
};

/// Reason of a response to a request that may have run without a result.
const NO_ANSWER: &str = "no answer to rely on";
/// Reason of a refusal because the request, or a part of its prompt, crashes servers.
const QUARANTINED: &str = "quarantined after crashes";
/// Reason of a refusal because the request may not end before the process.
pub(super) const SHUTTING_DOWN: &str = "shutting down";

/// Forwards a request and returns the response for the caller.
pub(super) async fn forward(mut job: Job) -> Response<Body> {
    if let Some(left) = job.quarantine_left() {
        job.is_refused = true;
        return refuse(&job, left, QUARANTINED);
    }
    let admission = job
        .host
        .admit(
            &job.routed,
            &job.service,
            job.demand,
            job.source,
            job.deadline,
        )
        .await;
    job.waited = job.host.now().since(job.arrived);
    let mut guard = match admission {
        AdmissionOutcome::Admitted(guard) => guard,
        AdmissionOutcome::Refused {
            retry_after,
            waited,
        } => {
            let reason = if waited { "no room in time" } else { "no room" };
            let now = job.host.now();
            let has_lost_all_links = |g: &mut Gateway| g.has_lost_all_links(now, &job.service);
            job.is_refused = !job.host.with_gateway(has_lost_all_links);
            return refuse(&job, retry_after, reason);
        }
    };
    loop {
        if let Some(left) = job.quarantine_left() {
            return end_quarantined(&job, left);
        }
        if job.runs == 0 && !job.ends_before_exit(&guard) {
            drop(guard);
            let retry_after = job.host.with_gateway(|g| g.retry_elsewhere_after());
            return refuse(&job, retry_after, SHUTTING_DOWN);
        }
        match job.send_once(guard).await {
            Attempt::Responded(response, guard) if is_stream(&job, &response) => {
                return relay::start(job, *response, guard);
            }
            Attempt::Responded(response, guard) => {
                if let Some(resp) = read_full_response(&mut job, *response, guard).await {
                    return resp;
                }
            }
            Attempt::Retry => {}
            Attempt::Refused(_) if job.runs > 0 => break,
            Attempt::Refused(retry_after) => {
                return refuse(&job, retry_after, "no room at a peer");
            }
            Attempt::Quarantined => {
                return end_quarantined(&job, job.quarantine_left().unwrap_or_default());
            }
            Attempt::TimedOut => return own_response(&job, StatusCode::GATEWAY_TIMEOUT, "time up"),
        }
        if !job.may_retry() {
            break;
        }
        match job.acquire_retry().await {
            Some(retry_guard) => guard = retry_guard,
            None => break,
        }
    }
    if job.runs > 0 {
        return own_response(&job, StatusCode::BAD_GATEWAY, NO_ANSWER);
    }
    let now = job.host.now();
    let retry_after = job.host.with_gateway(|g| {
        g.hedging().record_refusal(now, &job.service);
        g.retry_after_refusal(now, &job.service)
    });
    refuse(&job, retry_after, "no server took it")
}

/// Ends a request that is quarantined, for the time `left`. If it was
/// sent before, it may have run.
fn end_quarantined(job: &Job, left: Duration) -> Response<Body> {
    match job.runs {
        0 => refuse(job, left, QUARANTINED),
        _ => own_response(job, StatusCode::BAD_GATEWAY, QUARANTINED),
    }
}

fn is_stream(job: &Job, response: &BackendResponse) -> bool {
    let streaming = matches!(job.routed.route.kind, RouteKind::Streaming { .. });
    streaming && response.head.status.is_success()
}

/// Reads a response to its end. Returns `None` if the request may be retried.
async fn read_full_response(
    job: &mut Job,
    response: BackendResponse,
    guard: TicketGuard,
) -> Option<Response<Body>> {
    let BackendResponse {
        head,
        body,
        framing,
        driver,
    } = response;
    let responses = job.host.responses.clone();
    let body = responses.read(body);
    let body = tokio::select! {
        body = tokio::time::timeout(job.remaining(), body) => body.ok(),
        () = job.host.answers_due() => None,
    };
    drop(driver);
    job.runs += 1;
    let took = job.host.now().since(guard.ticket().acquired_at);
    let body = match body.map(|body| whole_body(job, &head, framing, body)) {
        Some(Ok(body)) => body,
        Some(Err(InvalidBody::NoMemory)) => {
            let sent_at = guard.ticket().acquired_at;
            job.log_failed_send(&guard, "no memory", sent_at, "");
            // Nothing shows that this server is at fault.
            guard.settle(TicketOutcome::Abandoned);
            return None;
        }
        Some(Err(InvalidBody::Malformed(reason))) => {
            let sent_at = guard.ticket().acquired_at;
            job.log_failed_send(&guard, "malformed", sent_at, &reason);
            guard.settle(TicketOutcome::Failed);
            return None;
        }
        Some(Err(InvalidBody::BrokenOff(reason))) => {
            let sent_at = guard.ticket().acquired_at;
            job.log_failed_send(&guard, "broke off", sent_at, &reason);
            crash::check_first(job, &guard).await;
            guard.settle(TicketOutcome::Failed);
            return None;
        }
        None => {
            let sent_at = guard.ticket().acquired_at;
            job.log_failed_send(&guard, "unfinished", sent_at, "");
            guard.settle(TicketOutcome::Failed);
            return Some(own_response(job, StatusCode::GATEWAY_TIMEOUT, "time up"));
        }
    };
    let failed = head.status.is_server_error();
    if failed {
        job.log_failed_send(
            &guard,
            "failed",
            guard.ticket().acquired_at,
            head.status.as_str(),
        );
        guard.settle(TicketOutcome::Failed);
        if job.may_retry() {
            return None;
        }
    } else {
        guard.settle(TicketOutcome::Answered { took });
        job.record_answerable(job.host.now());
    }
    log_answered(job, head.status, "whole", framing);
    Some(caller_response(&head, body))
}

/// Why the body of a response can't be passed on.
enum InvalidBody {
    /// The connection ended before the body did.
    BrokenOff(String),
    /// The server sent bytes that are no response, or too many. It has not crashed.
    Malformed(String),
    /// The memory for responses is used up.
    NoMemory,
}

/// Returns the bytes of a body, or why it is not whole. Without a length, a server that stops
/// after the head can't be told from one that has sent an empty body, which servers state.
fn whole_body(
    job: &Job,
    head: &response::Parts,
    framing: BodyFraming,
    body: Result<Bytes, ReadResponseError>,
) -> Result<Bytes, InvalidBody> {
    let body = body.map_err(|error| match error {
        ReadResponseError::Broken(error) if is_malformed(&error) => {
            InvalidBody::Malformed(error.to_string())
        }
        ReadResponseError::Broken(error) => InvalidBody::BrokenOff(error.to_string()),
        ReadResponseError::TooLarge(error) => InvalidBody::Malformed(error.to_string()),
        ReadResponseError::NoMemory(_) => InvalidBody::NoMemory,
    })?;
    let has_body = job.outgoing.method != Method::HEAD
        && ![StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    if body.is_empty() && has_body && framing == BodyFraming::UntilClose {
        let reason = "the connection ended after the head".to_owned();
        return Err(InvalidBody::BrokenOff(reason));
    }
    Ok(body)
}

fn caller_response(head: &response::Parts, body: Bytes) -> Response<Body> {
    let mut resp = Response::new(full(body));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = backend_response::caller_headers(head);
    resp
}

/// Records the end of a request; returns the time since its arrival.
fn record_end(job: &Job, status: StatusCode) -> Duration {
    job.end_logged.store(true, Ordering::Relaxed);
    let took = job.host.now().since(job.arrived);
    job.host.metrics.record_answer(status, took);
    took
}

/// Logs and counts a request that a backend server answered.
pub(super) fn log_answered(job: &Job, status: StatusCode, how: &str, framing: BodyFraming) {
    let took = record_end(job, status);
    info!("a request was answered", kv: {
        request = job.outgoing.attempt_id.as_str(),
        route = job.routed.name.as_str(),
        status = status.as_u16(),
        how,
        framing = framing.to_string().as_str(),
        waited_ms = job.waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        runs = job.runs,
        not_run = job.not_run,
    });
}

/// Returns a response for a request that has not run and never will.
fn refuse(job: &Job, retry_after: Duration, reason: &'static str) -> Response<Body> {
    let priority = job.routed.priority;
    job.host.metrics.record_refusal(reason, priority);
    let mut resp = own_response(job, StatusCode::SERVICE_UNAVAILABLE, reason);
    set_retry_after(&mut resp, retry_after);
    resp
}

/// Sets the time after which the caller should retry.
pub(super) fn set_retry_after(resp: &mut Response<Body>, retry_after: Duration) {
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        resp.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Ends a request without a response of a backend server, and returns the
/// node's own response.
fn own_response(job: &Job, status: StatusCode, reason: &str) -> Response<Body> {
    let took = record_end(job, status);
    info!("a request ended without a server's answer", kv: {
        request = job.outgoing.attempt_id.as_str(),
        route = job.routed.name.as_str(),
        organisation = job.routed.organisation.as_ref().map_or("", |id| id.as_str()),
        priority = job.routed.priority.0,
        status = status.as_u16(),
        reason,
        waited_ms = job.waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        runs = job.runs,
        not_run = job.not_run,
        proof_ms = job.host.with_gateway(|g| g.confirmation_age(job.host.now())).map_or(0, |a| a.as_millis() as u64),
    });
    let mut resp = text_response(status, reason);
    backend_response::set_attempt_id(resp.headers_mut(), &job.outgoing.attempt_id);
    resp.extensions_mut().insert(job.node_outcome());
    resp
}
