//! Sends a request to backend servers until one answers or nothing more may
//! be tried.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Limited};
use radishhaven_core::gateway::{RouteKind, TicketOutcome};
use radishhaven_platform::answer;
use spdlog::prelude::*;

use super::{
    body::{Body, full, text},
    exchange::Answer,
    host::{Admitted, Hold},
    job::{Attempted, Job},
    relay,
};

/// Largest answer of a plain service that is held whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Forwards a request and returns its answer.
pub(super) async fn forward(mut job: Job) -> Response<Body> {
    let admitted = job.host.admit(&job.routed, &job.service, job.need).await;
    job.waited = job.host.now().since(job.arrived);
    let mut hold = match admitted {
        Admitted::Go(hold) => hold,
        Admitted::Refused { after, waited } => {
            let reason = if waited { "no room in time" } else { "no room" };
            return refuse(&job, after, reason);
        }
    };
    loop {
        match job.attempt(hold).await {
            Attempted::Answer(answer, hold) if is_stream(&job, &answer) => {
                return relay::start(job, *answer, hold);
            }
            Attempted::Answer(answer, hold) => {
                if let Some(resp) = whole(&mut job, *answer, hold).await {
                    return resp;
                }
            }
            Attempted::Again => {}
            Attempted::TimeUp => return ended(&job, StatusCode::GATEWAY_TIMEOUT, "time up"),
        }
        if !job.may_repeat() {
            break;
        }
        match job.again().await {
            Some(next) => hold = next,
            None => break,
        }
    }
    if job.runs > 0 {
        return ended(&job, StatusCode::BAD_GATEWAY, "no answer to rely on");
    }
    let after = job.host.decide(|g| g.retry_after());
    refuse(&job, after, "no server took it")
}

fn is_stream(job: &Job, answer: &Answer) -> bool {
    let streaming = matches!(job.routed.route.kind, RouteKind::Streaming { .. });
    streaming && answer.head.status.is_success()
}

/// Reads an answer to its end; `None` says that the request may be sent again.
async fn whole(job: &mut Job, answer: Answer, hold: Hold) -> Option<Response<Body>> {
    let Answer { head, body, driver } = answer;
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = tokio::time::timeout(job.left(), body).await;
    drop(driver);
    job.runs += 1;
    let took = job.host.now().since(hold.ticket().acquired_at);
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            job.note(
                &hold,
                "broke off",
                hold.ticket().acquired_at,
                &error.to_string(),
            );
            hold.settle(TicketOutcome::Failed);
            return None;
        }
        Err(_) => {
            hold.settle(TicketOutcome::Abandoned);
            return Some(ended(job, StatusCode::GATEWAY_TIMEOUT, "time up"));
        }
    };
    let failed = head.status.is_server_error();
    if failed {
        job.note(
            &hold,
            "failed",
            hold.ticket().acquired_at,
            head.status.as_str(),
        );
        hold.settle(TicketOutcome::Failed);
        if job.may_repeat() {
            return None;
        }
    } else {
        hold.settle(TicketOutcome::Answered { took });
    }
    served(job, head.status, "whole");
    Some(respond(&head, body))
}

fn respond(head: &response::Parts, body: Bytes) -> Response<Body> {
    let mut resp = Response::new(full(body));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = answer::headers(head);
    resp
}

/// Counts a request as ended; returns the time since its arrival.
fn end(job: &Job, status: StatusCode) -> Duration {
    job.ended.store(true, Ordering::Relaxed);
    let took = job.host.now().since(job.arrived);
    job.host.metrics.answered(status, took);
    took
}

/// Notes that a server's answer went to the caller.
pub(super) fn served(job: &Job, status: StatusCode, how: &str) {
    let took = end(job, status);
    info!("a request was answered", kv: {
        request = job.outgoing.attempt.as_str(),
        route = job.routed.name.as_str(),
        status = status.as_u16(),
        how,
        waited_ms = job.waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        runs = job.runs,
        not_run = job.not_run,
    });
}

/// Answers that a request has not run and never will.
fn refuse(job: &Job, after: Duration, reason: &str) -> Response<Body> {
    let mut resp = ended(job, StatusCode::SERVICE_UNAVAILABLE, reason);
    set_retry_after(&mut resp, after);
    resp
}

/// Tells a caller when to come back.
pub(super) fn set_retry_after(resp: &mut Response<Body>, after: Duration) {
    let seconds = format!("{:.2}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        resp.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Ends a request with an answer of the node's own.
fn ended(job: &Job, status: StatusCode, reason: &str) -> Response<Body> {
    let took = end(job, status);
    info!("a request ended without a server's answer", kv: {
        request = job.outgoing.attempt.as_str(),
        route = job.routed.name.as_str(),
        status = status.as_u16(),
        reason,
        waited_ms = job.waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        runs = job.runs,
        not_run = job.not_run,
        proof_ms = job.host.decide(|g| g.confirmation_age(job.host.now())).map_or(0, |a| a.as_millis() as u64),
    });
    let mut resp = text(status, reason);
    answer::name_attempt(resp.headers_mut(), &job.outgoing.attempt);
    resp
}
