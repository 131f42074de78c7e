//! Forwards a stream of server-sent events to the caller and resumes it on
//! another path when it breaks.
//!
//! Only complete events are forwarded. A stream that another engine resumes
//! therefore has no duplicate and no truncated event. The end of the body alone
//! doesn't show that the stream is complete: a connection that ends a body without
//! a length also ends when its engine fails.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, Response, header, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use radishhaven_client::{BodyFraming, Driver, EventSplitter, ResponseBody};
use radishhaven_core::{
    gateway::{
        RouteKind, TicketOutcome,
        admission::RequestSource,
        response_usage::{ResponseSize, SMALL_RESPONSE_BYTES},
        stall::StallAction,
    },
    ids::VmId,
    time::Timestamp,
};
use radishhaven_platform::backend_response;
use spdlog::prelude::*;

use super::{
    body::{Body, BodyError},
    crash,
    events::{InvalidStream, MAX_EVENT_BYTES, MAX_REPEATED_BYTES, event_id, is_newer},
    exchange::{BackendResponse, is_malformed},
    forward::log_answered,
    host::TicketGuard,
    job::{Attempt, Job},
    response_memory::{NoResponseMemory, ReceivedResponse},
};

/// Interval at which progress of a stream is recorded for its engines. Events
/// arrive more often, but recording each would add no information.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(40);
/// Time without data after which a broken stream fails instead of being resumed;
/// callers disconnect after two seconds.
const MAX_SILENCE: Duration = Duration::from_millis(2_200);
/// Delay before an unresponsive stream that could not be resumed is checked
/// again.
const SILENCE_RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of events that a stream handles before other tasks run.
const MAX_EVENTS_PER_TURN: u32 = 256;

/// Returns the media type of a response in lower case, without its parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next()?;
    Some(essence.trim().to_ascii_lowercase())
}

struct StreamRelay {
    job: Job,
    guard: Option<TicketGuard>,
    body: ResponseBody,
    driver: Option<Driver>,
    status: http::StatusCode,
    /// The media type of the first engine's response.
    media_type: Option<String>,
    /// How the current engine shows the end of the stream.
    framing: BodyFraming,
    splitter: EventSplitter,
    /// Counts the memory of an unfinished event.
    received: ReceivedResponse,
    /// Memory that is counted, in bytes.
    counted_bytes: usize,
    /// When a new event was last received. Other bytes are no progress.
    last_received: Timestamp,
    /// When a comment was last received, with which a server keeps the connection open.
    last_comment: Option<Timestamp>,
    /// Bytes of events since the last new one, which the caller has received already.
    repeated_bytes: usize,
    /// When progress was last recorded.
    last_recorded: Timestamp,
    has_events: bool,
    /// Whether the current engine has sent an event.
    has_events_of_run: bool,
    /// Whether the current engine has sent more than its first events.
    goes_on: bool,
    /// Whether it was recorded that the request can be answered.
    is_answered: bool,
    /// Time from the request's arrival to its first event.
    first_event_after: Duration,
    /// Longest time between two events.
    longest_gap: Duration,
    resumable: bool,
    resume_count: u32,
    event_count: u64,
    /// Whether events may be left that were received, since other tasks are to run first.
    is_turn_over: bool,
    ended: bool,
}

/// Starts to forward a stream, and returns the response that carries it.
pub(super) fn start(mut job: Job, response: BackendResponse, guard: TicketGuard) -> Response<Body> {
    let now = job.host.now();
    let headers = backend_response::caller_headers(&response.head);
    let status = response.head.status;
    let media_type = media_type(&response.head.headers);
    job.runs += 1;
    let received = job.host.responses.open(ResponseSize::Open);
    let resumable = job.routed.route.kind == RouteKind::Streaming { resumable: true };
    let relay = StreamRelay {
        job,
        guard: Some(guard),
        body: response.body,
        driver: response.driver,
        status,
        media_type,
        framing: response.framing,
        splitter: EventSplitter::new(MAX_EVENT_BYTES),
        received,
        counted_bytes: 0,
        last_received: now,
        last_comment: None,
        repeated_bytes: 0,
        last_recorded: now,
        has_events: false,
        has_events_of_run: false,
        goes_on: false,
        is_answered: false,
        first_event_after: Duration::ZERO,
        longest_gap: Duration::ZERO,
        resumable,
        resume_count: 0,
        event_count: 0,
        is_turn_over: false,
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

impl StreamRelay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if self.ended {
                return None;
            }
            if std::mem::take(&mut self.is_turn_over) {
                tokio::task::yield_now().await;
            }
            let host = self.job.host.clone();
            let quarantine_changed = host.quarantine_changed.notified();
            let now = host.now();
            match self.complete_events(now) {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) if self.is_turn_over => continue,
                Ok(None) => {}
                Err(error) => {
                    if let Some(error) = self.handle_invalid(error).await {
                        return Some(Err(error));
                    }
                    continue;
                }
            }
            if now >= self.job.deadline {
                return Some(Err(self.fail("time up", BodyError::DeadlineExceeded)));
            }
            if !self.has_events_of_run && self.job.quarantine_left().is_some() {
                return Some(Err(self.fail("quarantined", BodyError::Quarantined)));
            }
            let wait = match self.check_silence(now) {
                StallAction::Wait(wait) => wait,
                StallAction::Failover(suspects) => {
                    if let (false, Some(guard)) = (self.goes_on, &self.guard) {
                        crash::check_stalled(&self.job, guard, &suspects).await;
                    }
                    if self.job.source == RequestSource::Peer {
                        self.job.record_failures(&suspects);
                        let error = BodyError::Interrupted("silent".to_owned());
                        return Some(Err(self.fail("silent", error)));
                    }
                    if self.resume("silent", suspects).await {
                        continue;
                    }
                    SILENCE_RECHECK_INTERVAL
                }
            };
            let wait = wait.min(self.job.remaining());
            let received = tokio::select! {
                received = tokio::time::timeout(wait, self.body.frame()) => received,
                () = self.received.ended() => {
                    if let Some(error) = self.handle_no_memory().await {
                        return Some(Err(error));
                    }
                    continue;
                }
                () = quarantine_changed, if !self.has_events_of_run => continue,
            };
            match received {
                Err(_) => {}
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                    if self.count_received().is_err()
                        && let Some(error) = self.handle_no_memory().await
                    {
                        return Some(Err(error));
                    }
                }
                Ok(None) => match self.premature_end() {
                    Some(reason) => {
                        if let Some(error) = self.handle_disconnect(reason).await {
                            return Some(Err(error));
                        }
                    }
                    None => return self.finish(),
                },
                Ok(Some(Err(error))) if is_malformed(&error) => {
                    if let Some(error) = self.handle_invalid(InvalidStream::Encoding).await {
                        return Some(Err(error));
                    }
                }
                Ok(Some(Err(error))) => {
                    if let Some(error) = self.handle_disconnect(&error.to_string()).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Counts the memory of events that are not forwarded yet, unless they are of usual size.
    fn count_received(&mut self) -> Result<(), NoResponseMemory> {
        let bytes = self.splitter.capacity();
        let bytes = match bytes as u64 > SMALL_RESPONSE_BYTES {
            true => bytes,
            false => 0,
        };
        if bytes != std::mem::replace(&mut self.counted_bytes, bytes) {
            self.received.resize(bytes)?;
        }
        Ok(())
    }

    fn check_silence(&self, now: Timestamp) -> StallAction {
        match &self.guard {
            Some(guard) if self.resumable => {
                self.job
                    .check_silence(guard, self.silence(now), self.has_events)
            }
            _ => StallAction::Wait(self.job.remaining()),
        }
    }

    /// Returns the time since the server was last heard. Comments count as long as the caller
    /// waits for an event.
    fn silence(&self, now: Timestamp) -> Duration {
        let without_event = now.since(self.last_received);
        match self.last_comment {
            Some(at) if without_event < self.job.routed.route.caller_patience() => {
                without_event.min(now.since(at))
            }
            _ => without_event,
        }
    }

    /// Records once that the request can be answered.
    fn record_answered(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.job.record_answerable(now);
        }
    }

    fn record_events(&mut self, now: Timestamp) {
        if self.has_events {
            self.longest_gap = self.longest_gap.max(now.since(self.last_received));
        } else {
            self.has_events = true;
            self.first_event_after = now.since(self.job.arrived);
            let seconds = self.first_event_after.as_secs_f64();
            self.job.host.metrics.first_event.observe(seconds);
        }
        if let Some(guard) = self
            .guard
            .as_mut()
            .filter(|guard| guard.ticket().unread_tokens > 0)
        {
            guard.record_first_event();
        }
        self.last_received = now;
        if now.since(self.last_recorded) >= PROGRESS_INTERVAL {
            self.last_recorded = now;
            if let Some(guard) = &self.guard {
                self.job
                    .host
                    .with_gateway(|g| g.record_progress(now, guard.ticket()));
            }
        }
    }

    /// Returns complete events that were received and not yet forwarded, as many as one
    /// turn may handle.
    ///
    /// # Errors
    ///
    /// Returns an error if the received bytes are not events.
    fn complete_events(&mut self, now: Timestamp) -> Result<Option<Bytes>, InvalidStream> {
        let mut events = BytesMut::new();
        let mut handled = 0;
        loop {
            if handled == MAX_EVENTS_PER_TURN {
                self.is_turn_over = true;
                break;
            }
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                // The events before the invalid bytes are forwarded first.
                Err(_) if !events.is_empty() => break,
                Err(error) => return Err(error.into()),
            };
            handled += 1;
            let id = event_id(&event);
            if self.resumable && !is_newer(self.job.last_event.as_deref(), id) {
                self.repeated_bytes += event.len();
                if self.repeated_bytes > MAX_REPEATED_BYTES && events.is_empty() {
                    return Err(InvalidStream::Repeated);
                }
                continue;
            }
            self.repeated_bytes = 0;
            if let Some(id) = id {
                self.job.last_event = Some(id.to_owned());
            }
            self.event_count += 1;
            events.extend_from_slice(&event);
        }
        let is_new = !events.is_empty();
        if self.splitter.take_comment() {
            self.last_comment = Some(now);
            if self.job.source == RequestSource::Peer {
                // The sender shall know that the stream goes on.
                events.extend_from_slice(&self.splitter.take_idle_lines());
            }
        }
        if is_new {
            // The first events may precede a crash.
            if self.has_events_of_run {
                self.goes_on = true;
                self.record_answered(now);
            }
            self.has_events_of_run = true;
            self.record_events(now);
        }
        Ok((!events.is_empty()).then(|| events.freeze()))
    }

    /// Returns why a body that ended is not a complete stream, or `None` if it
    /// may be one.
    fn premature_end(&self) -> Option<&'static str> {
        if self.splitter.is_inside_event() {
            return Some("the body ended inside an event");
        }
        let is_empty = self.framing == BodyFraming::UntilClose && !self.has_events_of_run;
        is_empty.then_some("the connection ended before the first event")
    }

    /// Returns whether a response continues the stream. Any other one, such as the text
    /// of an error, must not reach the caller, nor must its end complete the stream.
    fn is_continued_by(&self, head: &response::Parts) -> bool {
        head.status == self.status && media_type(&head.headers) == self.media_type
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.ended = true;
        let now = self.job.host.now();
        self.record_answered(now);
        let mut path = String::new();
        if let Some(guard) = self.guard.take() {
            path = guard.target().to_string();
            let took = now.since(guard.ticket().acquired_at);
            guard.settle(TicketOutcome::Answered { took });
        }
        log_answered(&self.job, self.status, "stream", self.framing);
        let rest = self.splitter.take_rest();
        info!("a stream ended", kv: {
            request = self.job.outgoing.attempt_id.as_str(),
            events = self.event_count,
            resumes = self.resume_count,
            rest_bytes = rest.len(),
            waited_ms = self.job.waited.as_millis() as u64,
            first_ms = self.first_event_after.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            path = path.as_str(),
        });
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, reason: &str, error: BodyError) -> BodyError {
        self.ended = true;
        self.job.end_logged.store(true, Ordering::Relaxed);
        self.guard = None;
        self.driver = None;
        let now = self.job.host.now();
        self.job.host.metrics.streams_cut.inc();
        warn!("a stream was cut", kv: {
            request = self.job.outgoing.attempt_id.as_str(),
            reason,
            events = self.event_count,
            resumes = self.resume_count,
            framing = self.framing.to_string().as_str(),
            silent_ms = now.since(self.last_received).as_millis() as u64,
            took_ms = now.since(self.job.arrived).as_millis() as u64,
        });
        error
    }

    /// Handles bytes that are not events: the connection is closed, the first
    /// server of the path counts as failed, and the stream is resumed elsewhere.
    /// Returns an error if it can't be resumed.
    async fn handle_invalid(&mut self, error: InvalidStream) -> Option<BodyError> {
        let guard = self.guard.take();
        self.driver = None;
        self.splitter.clear();
        if let Some(guard) = guard {
            let sent_at = guard.ticket().acquired_at;
            self.job
                .log_failed_send(&guard, "invalid stream", sent_at, &error.to_string());
            let first = guard.target().first().map(|(id, _)| id.clone());
            self.job.excluded.extend(first);
            guard.settle(TicketOutcome::Failed);
        }
        self.handle_disconnect(&error.to_string()).await
    }

    /// Handles an unfinished event for which there is no memory: the connection is closed,
    /// and the stream is resumed elsewhere. Nothing shows that the server is at fault.
    /// Returns an error if it can't be resumed.
    async fn handle_no_memory(&mut self) -> Option<BodyError> {
        self.driver = None;
        self.splitter.clear();
        self.received = self.job.host.responses.open(ResponseSize::Open);
        self.counted_bytes = 0;
        if let Some(guard) = self.guard.take() {
            let sent_at = guard.ticket().acquired_at;
            self.job.log_failed_send(&guard, "no memory", sent_at, "");
            guard.settle(TicketOutcome::Abandoned);
        }
        self.handle_disconnect("no memory is left for an event")
            .await
    }

    /// Handles an interrupted connection. Returns an error if the stream can't
    /// be resumed.
    async fn handle_disconnect(&mut self, reason: &str) -> Option<BodyError> {
        if let (false, Some(guard)) = (self.goes_on, &self.guard) {
            crash::check_first(&self.job, guard).await;
        }
        if let Some(guard) = &self.guard {
            self.job.exclude_peer(guard);
        }
        while self.resumable {
            let now = self.job.host.now();
            if now.since(self.last_received) >= MAX_SILENCE || now >= self.job.deadline {
                break;
            }
            if self.resume("broken", Vec::new()).await {
                return None;
            }
            if !self.job.may_retry() || self.job.quarantine_left().is_some() {
                break;
            }
        }
        let error = BodyError::Interrupted(reason.to_owned());
        Some(self.fail("broken", error))
    }

    /// Tries to resume the stream on another path, and returns whether that
    /// succeeded.
    async fn resume(&mut self, why: &str, suspects: Vec<VmId>) -> bool {
        self.job.record_failures(&suspects);
        if !self.job.may_retry() || self.job.quarantine_left().is_some() {
            return false;
        }
        let Some(guard) = self.job.acquire_retry().await else {
            return false;
        };
        // The old connection is closed first, to free its engines.
        (self.guard, self.driver) = (None, None);
        let silent = self.job.host.now().since(self.last_received);
        let framing = self.framing.to_string();
        let suspects: Vec<&str> = suspects.iter().map(VmId::as_str).collect();
        let outcome = self.job.send_once(guard).await;
        let resumed = matches!(&outcome, Attempt::Responded(response, _) if self.is_continued_by(&response.head));
        info!("a stream moves to another path", kv: {
            request = self.job.outgoing.attempt_id.as_str(),
            why,
            suspects = suspects.join(",").as_str(),
            framing = framing.as_str(),
            events = self.event_count,
            silent_ms = silent.as_millis() as u64,
            after_event = self.job.last_event.as_deref().unwrap_or_default(),
            resumed,
        });
        // A response that can't continue the stream counts as a run too.
        if matches!(outcome, Attempt::Responded(..)) {
            self.job.runs += 1;
        }
        if let (Attempt::Responded(response, guard), true) = (outcome, resumed) {
            self.resume_count += 1;
            self.splitter.clear();
            (self.has_events_of_run, self.goes_on) = (false, false);
            self.framing = response.framing;
            self.body = response.body;
            self.driver = response.driver;
            let now = self.job.host.now();
            self.longest_gap = self.longest_gap.max(now.since(self.last_received));
            (self.last_received, self.last_comment) = (now, None);
            self.repeated_bytes = 0;
            self.guard = Some(guard);
            self.job.host.metrics.resumed.inc();
        }
        resumed
    }
}
