//! Passes a stream of events on, and resumes it elsewhere when it breaks.
//!
//! Only whole events are passed on, so that a stream that another engine goes
//! on with has no piece twice and none cut.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use radishhaven_client::Driver;
use radishhaven_core::{
    gateway::{RouteKind, TicketOutcome, stall::StallAction},
    ids::VmId,
    time::Timestamp,
};
use radishhaven_platform::answer;
use spdlog::prelude::*;

use super::{
    body::{Body, BodyError},
    exchange::Answer,
    forward::served,
    host::Hold,
    job::{Attempted, Job},
};

/// Time between two notes of progress at the engines of a stream; events come
/// more often than that tells anything.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(40);
/// Silence after which a stream is given up while it can't be resumed; callers
/// leave after two seconds.
const GIVE_UP: Duration = Duration::from_millis(2_200);
/// Pause between two decisions about a silent stream that can't move.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

/// Splits bytes into events.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Takes bytes in.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event with its blank line.
    pub(super) fn next(&mut self) -> Option<Bytes> {
        let unix = find(&self.buf, b"\n\n").map(|at| at + 2);
        let dos = find(&self.buf, b"\r\n\r\n").map(|at| at + 4);
        let end = match (unix, dos) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(self.buf.split_to(end).freeze())
    }

    /// Returns what is left after the end.
    pub(super) fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Drops what belongs to an event that was cut.
    pub(super) fn clear(&mut self) {
        self.buf.clear();
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|part| part == pattern)
}

/// Returns the id of an event.
pub(super) fn event_id(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(line.trim())
}

/// Tells whether an event comes after the last one that was passed on.
pub(super) fn follows(last: Option<&str>, event: Option<&str>) -> bool {
    let number = |id: Option<&str>| id.and_then(|id| id.parse::<u64>().ok());
    match (number(last), number(event)) {
        (Some(last), Some(event)) => event > last,
        _ => true,
    }
}

struct Relay {
    job: Job,
    hold: Option<Hold>,
    body: Incoming,
    driver: Option<Driver>,
    status: http::StatusCode,
    splitter: Splitter,
    /// When the last bytes came.
    heard: Timestamp,
    /// When progress was last noted.
    noted: Timestamp,
    begun: bool,
    /// Time from the request's arrival to its first event.
    first: Duration,
    /// Longest time between two events.
    longest_gap: Duration,
    resumable: bool,
    resumes: u32,
    events: u64,
    ended: bool,
}

/// Starts to pass a stream on.
pub(super) fn start(mut job: Job, answer: Answer, hold: Hold) -> Response<Body> {
    let now = job.host.now();
    let headers = answer::headers(&answer.head);
    let status = answer.head.status;
    job.runs += 1;
    let resumable = job.routed.route.kind == RouteKind::Streaming { resumable: true };
    let relay = Relay {
        job,
        hold: Some(hold),
        body: answer.body,
        driver: Some(answer.driver),
        status,
        splitter: Splitter::default(),
        heard: now,
        noted: now,
        begun: false,
        first: Duration::ZERO,
        longest_gap: Duration::ZERO,
        resumable,
        resumes: 0,
        events: 0,
        ended: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let mut resp = Response::new(StreamBody::new(frames).boxed_unsync());
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if self.ended {
                return None;
            }
            if let Some(events) = self.whole_events() {
                return Some(Ok(events));
            }
            let now = self.job.host.now();
            if now >= self.job.ends {
                return Some(Err(self.fail("time up", BodyError::TimeUp)));
            }
            let pause = match self.judge(now) {
                StallAction::Wait(pause) => pause,
                StallAction::Failover(suspects) => {
                    if self.resume("silent", suspects).await {
                        continue;
                    }
                    LOOK_AGAIN
                }
            };
            let pause = pause.min(self.job.left());
            match tokio::time::timeout(pause, self.body.frame()).await {
                Err(_) => {}
                Ok(Some(Ok(frame))) => self.take(frame),
                Ok(None) => return self.finish(),
                Ok(Some(Err(error))) => {
                    if let Some(error) = self.broken(&error.to_string()).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    fn judge(&self, now: Timestamp) -> StallAction {
        match &self.hold {
            Some(hold) if self.resumable => self.job.judge(hold, now.since(self.heard), self.begun),
            _ => StallAction::Wait(self.job.left()),
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) {
        let Ok(data) = frame.into_data() else {
            return;
        };
        self.splitter.push(&data);
        let now = self.job.host.now();
        if self.begun {
            self.longest_gap = self.longest_gap.max(now.since(self.heard));
        } else {
            self.begun = true;
            self.first = now.since(self.job.arrived);
            let first = self.first.as_secs_f64();
            self.job.host.metrics.first_event.observe(first);
        }
        if let Some(hold) = self.hold.as_mut().filter(|h| h.ticket().unread_tokens > 0) {
            hold.begun();
        }
        self.heard = now;
        if now.since(self.noted) >= PROGRESS_INTERVAL {
            self.noted = now;
            if let Some(hold) = &self.hold {
                self.job
                    .host
                    .decide(|g| g.record_progress(now, hold.ticket()));
            }
        }
    }

    /// Returns all whole events that are there and not yet passed on.
    fn whole_events(&mut self) -> Option<Bytes> {
        if !self.resumable {
            return Some(self.splitter.rest()).filter(|rest| !rest.is_empty());
        }
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next() {
            let id = event_id(&event);
            if !follows(self.job.last_event.as_deref(), id) {
                continue;
            }
            if let Some(id) = id {
                self.job.last_event = Some(id.to_owned());
            }
            self.events += 1;
            events.extend_from_slice(&event);
        }
        (!events.is_empty()).then(|| events.freeze())
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.ended = true;
        let now = self.job.host.now();
        let mut path = String::new();
        if let Some(hold) = self.hold.take() {
            path = hold.target().to_string();
            let took = now.since(hold.ticket().acquired_at);
            hold.settle(TicketOutcome::Answered { took });
        }
        served(&self.job, self.status, "stream");
        info!("a stream ended", kv: {
            request = self.job.outgoing.attempt.as_str(),
            events = self.events,
            resumes = self.resumes,
            waited_ms = self.job.waited.as_millis() as u64,
            first_ms = self.first.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            path = path.as_str(),
        });
        let rest = self.splitter.rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, reason: &str, error: BodyError) -> BodyError {
        self.ended = true;
        self.job.ended.store(true, Ordering::Relaxed);
        self.hold = None;
        self.driver = None;
        let now = self.job.host.now();
        self.job.host.metrics.streams_cut.inc();
        warn!("a stream was cut", kv: {
            request = self.job.outgoing.attempt.as_str(),
            reason,
            events = self.events,
            resumes = self.resumes,
            silent_ms = now.since(self.heard).as_millis() as u64,
            took_ms = now.since(self.job.arrived).as_millis() as u64,
        });
        error
    }

    /// Handles a connection that broke; returns an error if nothing can go on
    /// in its place.
    async fn broken(&mut self, reason: &str) -> Option<BodyError> {
        while self.resumable {
            let now = self.job.host.now();
            if now.since(self.heard) >= GIVE_UP || now >= self.job.ends {
                break;
            }
            if self.resume("broken", Vec::new()).await {
                return None;
            }
            if !self.job.may_repeat() {
                break;
            }
        }
        let error = BodyError::Broken(reason.to_owned());
        Some(self.fail("broken", error))
    }

    /// Lets another path go on with the stream; tells whether one does.
    async fn resume(&mut self, why: &str, suspects: Vec<VmId>) -> bool {
        self.job.blame(&suspects);
        if !self.job.may_repeat() {
            return false;
        }
        let Some(hold) = self.job.again().await else {
            return false;
        };
        // The old run is ended first, so that its engines are free.
        (self.hold, self.driver) = (None, None);
        let silent = self.job.host.now().since(self.heard);
        let suspects: Vec<&str> = suspects.iter().map(VmId::as_str).collect();
        let attempted = self.job.attempt(hold).await;
        let resumed =
            matches!(&attempted, Attempted::Answer(answer, _) if answer.head.status == self.status);
        info!("a stream moves to another path", kv: {
            request = self.job.outgoing.attempt.as_str(),
            why,
            suspects = suspects.join(",").as_str(),
            silent_ms = silent.as_millis() as u64,
            after_event = self.job.last_event.as_deref().unwrap_or_default(),
            resumed,
        });
        if let (Attempted::Answer(answer, hold), true) = (attempted, resumed) {
            self.job.runs += 1;
            self.resumes += 1;
            self.splitter.clear();
            self.body = answer.body;
            self.driver = Some(answer.driver);
            let now = self.job.host.now();
            self.longest_gap = self.longest_gap.max(now.since(self.heard));
            self.heard = now;
            self.hold = Some(hold);
            self.job.host.metrics.resumed.inc();
        }
        resumed
    }
}
