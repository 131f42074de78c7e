//! Sends a request to backend servers until one answers or nothing more may
//! be tried.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Limited};
use radishhaven_core::{
    gateway::{RouteKind, Settled, paths::Need, progress::Verdict, routes::Routed},
    ids::{ServiceId, VmId},
    time::Timestamp,
};
use radishhaven_platform::answer;
use spdlog::prelude::*;

use super::{
    body::{Body, full, text},
    exchange::{Answer, Outgoing, Sent, send},
    host::{Admitted, GatewayHost, Hold, OpenRequest},
    relay,
};

/// Sends of one request that were answered with "not run" at most; each of
/// them takes from the retry budget.
const MAX_NOT_RUN: u32 = 4;
/// Pause before room is looked for again after a server had none.
const ROOM_PAUSE: Duration = Duration::from_millis(40);
/// Looks for room after which a request is refused.
const ROOM_LOOKS: u32 = 6;
/// Largest answer of a plain service that is held whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request on its way.
#[derive(Debug)]
pub(super) struct Job {
    /// The gateway.
    pub(super) host: Arc<GatewayHost>,
    /// What is sent.
    pub(super) outgoing: Outgoing,
    /// Its route.
    pub(super) routed: Routed,
    /// The service that was chosen.
    pub(super) service: ServiceId,
    /// What a generation needs.
    pub(super) need: Option<Need>,
    /// When the request arrived.
    pub(super) arrived: Timestamp,
    /// When the caller's or the route's time is up.
    pub(super) ends: Timestamp,
    /// The last event that the caller has.
    pub(super) last_event: Option<String>,
    /// How long the request waited for room before it was first sent.
    pub(super) waited: Duration,
    /// Sends that may have run.
    pub(super) runs: u32,
    /// Sends that did not run.
    pub(super) not_run: u32,
    /// Servers that this request does not go to again.
    pub(super) avoid: Vec<VmId>,
    /// Whether how it ended was logged.
    pub(super) ended: AtomicBool,
    /// Counts the request as open.
    pub(super) _open: OpenRequest,
}

/// A caller that leaves drops the request wherever it is, and so does the end
/// of the process.
impl Drop for Job {
    fn drop(&mut self) {
        if *self.ended.get_mut() {
            return;
        }
        let what = match self.host.is_stopping() {
            true => "the node stopped before the end",
            false => "the caller left before the end",
        };
        info!("{}", what, kv: {
            request = self.outgoing.attempt.as_str(),
            route = self.routed.name.as_str(),
            waited_ms = self.waited.as_millis() as u64,
            took_ms = self.host.now().since(self.arrived).as_millis() as u64,
            runs = self.runs,
            not_run = self.not_run,
        });
    }
}

/// How one send ended, for the request.
pub(super) enum Attempted {
    /// The server answers.
    Answer(Box<Answer>, Hold),
    /// It may be sent again, within what the route allows.
    Again,
    /// The request's time is up.
    TimeUp,
}

impl Job {
    /// Returns the time that is left.
    pub(super) fn left(&self) -> Duration {
        self.ends.since(self.host.now())
    }

    /// Tells whether the route allows one more send that may run.
    pub(super) fn may_repeat(&self) -> bool {
        let repeatable = self.routed.route.kind.repeatable();
        let runs = self.runs < self.routed.route.max_attempts;
        self.not_run < MAX_NOT_RUN && (self.runs == 0 || (repeatable && runs))
    }

    /// Sends once and settles the hold unless the server answers.
    pub(super) async fn attempt(&mut self, hold: Hold) -> Attempted {
        let sent_at = self.host.now();
        self.note_send(&hold);
        let sent = match self.watch(&hold).await {
            Watched::Sent(sent) => sent,
            Watched::Silent(suspects) => {
                self.note(&hold, "silent", sent_at, &join(&suspects));
                self.runs += 1;
                self.blame(&suspects);
                hold.settle(Settled::Abandoned);
                return Attempted::Again;
            }
            Watched::TimeUp => {
                self.note(&hold, "time up", sent_at, "");
                self.runs += 1;
                hold.settle(Settled::Abandoned);
                return Attempted::TimeUp;
            }
        };
        match sent {
            Sent::Ran(answer) => return Attempted::Answer(answer, hold),
            Sent::NotRun(by) => {
                self.not_run += 1;
                self.avoid_at(&hold, by);
                self.note(&hold, "not run", sent_at, &named(by));
                hold.settle(Settled::Full { by });
            }
            Sent::Misdirected(by) => {
                self.not_run += 1;
                self.avoid_at(&hold, by);
                self.note(&hold, "misdirected", sent_at, &named(by));
                hold.settle(Settled::Misdirected { by });
            }
            Sent::Unreachable(reason) => {
                self.not_run += 1;
                self.note(&hold, "unreachable", sent_at, &reason);
                hold.settle(Settled::Failed);
            }
            Sent::Lost(reason) => {
                self.runs += 1;
                self.note(&hold, "lost", sent_at, &reason);
                hold.settle(Settled::Failed);
            }
        }
        Attempted::Again
    }

    /// Keeps this request from the server that did not run it.
    fn avoid_at(&mut self, hold: &Hold, by: Option<std::net::SocketAddr>) {
        let named = by.and_then(|at| self.host.decide(|g| g.servers().at(at).cloned()));
        let first = || hold.target().first().map(|(id, _)| id.clone());
        self.avoid.extend(named.or_else(first));
    }

    /// Notes that servers did not answer.
    pub(super) fn blame(&mut self, suspects: &[VmId]) {
        let now = self.host.now();
        for id in suspects {
            self.host.decide(|g| g.failed(now, id));
            self.avoid.push(id.clone());
        }
    }

    /// Logs where a request goes, and how old the knowledge is that says so.
    fn note_send(&self, hold: &Hold) {
        let now = self.host.now();
        let (version, registry) = self.host.decide(|g| {
            let version = g.configuration().map_or(0, |c| c.version);
            (version, g.registry_age(now))
        });
        info!("a request is sent", kv: {
            request = self.outgoing.attempt.as_str(),
            route = self.routed.name.as_str(),
            path = hold.target().to_string().as_str(),
            waited_ms = self.waited.as_millis() as u64,
            left_ms = self.left().as_millis() as u64,
            version,
            registry_ms = registry.map_or(0, |age| age.as_millis() as u64),
            runs = self.runs,
            not_run = self.not_run,
        });
    }

    fn note(&self, hold: &Hold, outcome: &str, sent_at: Timestamp, detail: &str) {
        let now = self.host.now();
        info!("a send ended without an answer", kv: {
            request = self.outgoing.attempt.as_str(),
            route = self.routed.name.as_str(),
            server = first_name(hold).as_str(),
            outcome,
            detail,
            took_ms = now.since(sent_at).as_millis() as u64,
            runs = self.runs,
            not_run = self.not_run,
        });
        self.host.metrics.send_failed(outcome);
    }

    async fn watch(&self, hold: &Hold) -> Watched {
        let started = self.host.now();
        let last_event = self.last_event.as_deref();
        let sending = send(&self.outgoing, hold.target(), self.left(), last_event);
        tokio::pin!(sending);
        loop {
            let now = self.host.now();
            if now >= self.ends {
                return Watched::TimeUp;
            }
            let silent = now.since(started);
            let pause = match self.judge(hold, silent, false) {
                Verdict::Move(suspects) if self.runs + 1 < self.routed.route.max_attempts => {
                    return Watched::Silent(suspects);
                }
                Verdict::Move(_) => self.left(),
                Verdict::Wait(pause) => pause.min(self.left()),
            };
            tokio::select! {
                sent = &mut sending => return Watched::Sent(sent),
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Decides about silence; requests that must not run twice are waited for.
    pub(super) fn judge(&self, hold: &Hold, silent: Duration, begun: bool) -> Verdict {
        let route = &self.routed.route;
        if !route.kind.repeatable() {
            return Verdict::Wait(self.left());
        }
        let now = self.host.now();
        let target = route.target_latency;
        self.host
            .decide(|g| g.judge_silence(now, hold.ticket(), silent, begun, target))
    }

    /// Finds room for one more send.
    pub(super) async fn again(&self) -> Option<Hold> {
        for look in 0..ROOM_LOOKS {
            if look > 0 {
                tokio::time::sleep(ROOM_PAUSE).await;
            }
            if self.left().is_zero() {
                return None;
            }
            let hold = self.host.again(&self.service, self.need, &self.avoid);
            if hold.is_some() {
                return hold;
            }
        }
        None
    }
}

enum Watched {
    Sent(Sent),
    Silent(Vec<VmId>),
    TimeUp,
}

fn join(ids: &[VmId]) -> String {
    let ids: Vec<&str> = ids.iter().map(VmId::as_str).collect();
    ids.join(",")
}

fn named(by: Option<std::net::SocketAddr>) -> String {
    by.map(|address| address.to_string()).unwrap_or_default()
}

fn first_name(hold: &Hold) -> String {
    let first = hold.target().first();
    first.map(|(id, _)| id.to_string()).unwrap_or_default()
}

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
    let after = job.host.decide(|g| g.return_after());
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
    let took = job.host.now().since(hold.ticket().since);
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            job.note(&hold, "broke off", hold.ticket().since, &error.to_string());
            hold.settle(Settled::Failed);
            return None;
        }
        Err(_) => {
            hold.settle(Settled::Abandoned);
            return Some(ended(job, StatusCode::GATEWAY_TIMEOUT, "time up"));
        }
    };
    let failed = head.status.is_server_error();
    if failed {
        job.note(&hold, "failed", hold.ticket().since, head.status.as_str());
        hold.settle(Settled::Failed);
        if job.may_repeat() {
            return None;
        }
    } else {
        hold.settle(Settled::Answered { took });
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

/// Notes that a server's answer went to the caller.
pub(super) fn served(job: &Job, status: StatusCode, how: &str) {
    job.ended.store(true, Ordering::Relaxed);
    let took = job.host.now().since(job.arrived);
    job.host.metrics.answered(status, took);
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
    job.ended.store(true, Ordering::Relaxed);
    let took = job.host.now().since(job.arrived);
    job.host.metrics.answered(status, took);
    info!("a request ended without a server's answer", kv: {
        request = job.outgoing.attempt.as_str(),
        route = job.routed.name.as_str(),
        status = status.as_u16(),
        reason,
        waited_ms = job.waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        runs = job.runs,
        not_run = job.not_run,
        proof_ms = job.host.decide(|g| g.proof_age(job.host.now())).map_or(0, |a| a.as_millis() as u64),
    });
    let mut resp = text(status, reason);
    answer::name_attempt(resp.headers_mut(), &job.outgoing.attempt);
    resp
}
