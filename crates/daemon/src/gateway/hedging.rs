//! Sends a request, and sends it to a second server if the first one is slow.
//!
//! The first usable response is taken. The other exchange is dropped, which closes its
//! connection, so that its server stops. See `docs/design/hedging.md`.

use std::time::Duration;

use futures_util::future::select_all;
use radishhaven_core::{
    gateway::{RouteKind, TicketOutcome, hedging::HedgeRequest, stall::StallAction},
    time::Timestamp,
};
use spdlog::prelude::*;

use super::{
    exchange::{BackendResponse, SendOutcome},
    host::TicketGuard,
    job::{Attempt, Job, Sending, WatchedSend, first_server},
};

/// A send that is not answered yet.
struct InFlight {
    guard: TicketGuard,
    sent_at: Timestamp,
    sending: Sending,
    is_hedge: bool,
}

/// When a request is hedged.
#[derive(Debug, Clone, Copy)]
struct HedgeTime {
    at: Timestamp,
    delay: Duration,
}

/// The first send of a request that was hedged.
struct HedgedSend {
    server: String,
    sent_at: Timestamp,
    delay: Duration,
}

/// What ended a wait for the sends of a request.
enum Event {
    /// The send with this index ended.
    Ended(usize, WatchedSend),
    /// The delay of the hedge has passed.
    HedgeDue(HedgeTime),
}

/// Returns whether a response is no answer while another send goes on.
fn is_failure(response: &BackendResponse) -> bool {
    response.head.status.is_server_error()
}

impl Job {
    /// Sends the request once, or twice if it is hedged. Settles the tickets but that of
    /// the response that is taken.
    pub(super) async fn send_once(&mut self, guard: TicketGuard) -> Attempt {
        let mut hedge_time = self.hedge_time(&guard);
        let mut hedged = None;
        let mut sends = vec![self.begin_send(guard, false)];
        loop {
            let (index, outcome) = match self.wait_for_sends(&mut sends, hedge_time).await {
                Event::HedgeDue(due) => {
                    hedge_time = None;
                    if let Some(hedge) = self.hedge(&sends[0], due) {
                        hedged = Some(HedgedSend {
                            server: first_server(&sends[0].guard),
                            sent_at: sends[0].sent_at,
                            delay: due.delay,
                        });
                        sends.push(hedge);
                    }
                    continue;
                }
                Event::Ended(index, outcome) => (index, outcome),
            };
            let InFlight {
                guard,
                sent_at,
                sending,
                is_hedge,
            } = sends.remove(index);
            // Closes the connection of a send that is given up.
            drop(sending);
            self.record_response_time(&guard, sent_at, &outcome);
            match self.conclude(guard, sent_at, outcome).await {
                Attempt::Retry if !sends.is_empty() => {}
                Attempt::Responded(response, guard)
                    if !sends.is_empty() && is_failure(&response) =>
                {
                    self.runs += 1;
                    let status = response.head.status;
                    self.log_failed_send(&guard, "failed", sent_at, status.as_str());
                    guard.settle(TicketOutcome::Failed);
                }
                Attempt::Responded(response, guard) => {
                    if let (true, false, Some(first)) = (is_hedge, is_failure(&response), &hedged) {
                        self.log_won(&guard, sent_at, first);
                    }
                    self.abandon(sends);
                    return Attempt::Responded(response, guard);
                }
                ended => {
                    for send in &sends {
                        self.log_failed_send(&send.guard, "given up", send.sent_at, "");
                    }
                    self.abandon(sends);
                    return ended;
                }
            }
        }
    }

    fn begin_send(&self, guard: TicketGuard, is_hedge: bool) -> InFlight {
        let sent_at = self.host.now();
        self.log_send(&guard);
        InFlight {
            sending: self.send_to(guard.target()),
            guard,
            sent_at,
            is_hedge,
        }
    }

    /// Waits until a send ends, a server is found unresponsive or the hedge is due.
    async fn wait_for_sends(&self, sends: &mut [InFlight], hedge: Option<HedgeTime>) -> Event {
        let in_flight = sends.len() as u32;
        loop {
            let quarantine_changed = self.host.quarantine_changed.notified();
            let now = self.host.now();
            if now >= self.deadline {
                return Event::Ended(0, WatchedSend::TimedOut);
            }
            if self.quarantine_left().is_some() {
                return Event::Ended(0, WatchedSend::Quarantined);
            }
            let mut wait = self.remaining();
            for (index, send) in sends.iter().enumerate() {
                let silence = now.since(send.sent_at);
                match self.check_silence(&send.guard, silence, false) {
                    StallAction::Failover(suspects) if self.may_fail_over(in_flight) => {
                        return Event::Ended(index, WatchedSend::Unresponsive(suspects));
                    }
                    StallAction::Failover(_) => {}
                    StallAction::Wait(recheck) => wait = wait.min(recheck),
                }
            }
            if let Some(hedge) = hedge {
                if now >= hedge.at {
                    return Event::HedgeDue(hedge);
                }
                wait = wait.min(hedge.at.since(now));
            }
            let ended = select_all(sends.iter_mut().map(|send| &mut send.sending));
            tokio::select! {
                (outcome, index, _) = ended => {
                    return Event::Ended(index, WatchedSend::Completed(outcome));
                }
                () = tokio::time::sleep(wait) => {}
                () = quarantine_changed => {}
                () = self.host.answers_due() => {
                    return Event::Ended(0, WatchedSend::TimedOut);
                }
            }
        }
    }

    fn hedge_request<'a>(&'a self, first: &'a TicketGuard) -> HedgeRequest<'a> {
        HedgeRequest {
            service: &self.service,
            estimate: self.demand,
            kind: self.routed.route.kind,
            max_attempts: self.routed.route.max_attempts,
            attempts: self.runs + 1,
            source: self.source,
            first: first.target(),
            excluded: &self.excluded,
            is_quarantined: self.quarantine_left().is_some(),
            is_shutting_down: self.host.is_draining(),
        }
    }

    /// Counts the first send of a request, and returns when it is hedged. Later sends
    /// follow a failure and have drawn on the retry budget, so they are not hedged.
    fn hedge_time(&self, guard: &TicketGuard) -> Option<HedgeTime> {
        if self.runs + self.not_run > 0 {
            return None;
        }
        let now = self.host.now();
        let (request, is_plain) = (self.hedge_request(guard), self.is_plain());
        let delay = self.host.with_gateway(|g| {
            g.hedging().record_request(now, &self.service);
            is_plain.then(|| g.hedging().delay(now, &request))?
        })?;
        Some(HedgeTime {
            at: now + delay,
            delay,
        })
    }

    /// Returns whether the response is whole when it reaches the caller.
    fn is_plain(&self) -> bool {
        !matches!(self.routed.route.kind, RouteKind::Streaming { .. })
    }

    /// Sends the request to a second server, unless there is a reason against it.
    fn hedge(&self, first: &InFlight, due: HedgeTime) -> Option<InFlight> {
        let request = self.hedge_request(&first.guard);
        let guard = match self.host.hedge(&request) {
            Ok(guard) => guard,
            Err(refusal) => {
                debug!("a hedge is refused", kv: {
                    request = self.outgoing.attempt_id.as_str(),
                    reason = refusal.as_str(),
                });
                return None;
            }
        };
        info!("a hedge is sent", kv: {
            request = self.outgoing.attempt_id.as_str(),
            service = self.service.as_str(),
            server = first_server(&guard).as_str(),
            first = first_server(&first.guard).as_str(),
            delay_ms = due.delay.as_millis() as u64,
            first_age_ms = self.host.now().since(first.sent_at).as_millis() as u64,
            left_ms = self.remaining().as_millis() as u64,
        });
        Some(self.begin_send(guard, true))
    }

    /// Records the time in which a send that could have been hedged was answered, or
    /// until it was given up.
    fn record_response_time(&self, guard: &TicketGuard, sent_at: Timestamp, outcome: &WatchedSend) {
        let is_known = match outcome {
            WatchedSend::Completed(SendOutcome::Responded(response)) => !is_failure(response),
            WatchedSend::Unresponsive(_) | WatchedSend::TimedOut => true,
            WatchedSend::Completed(_) | WatchedSend::Quarantined => false,
        };
        if is_known {
            self.record_time_of(guard, sent_at);
        }
    }

    fn record_time_of(&self, guard: &TicketGuard, sent_at: Timestamp) {
        let is_hedgeable = self.is_plain()
            && self.routed.route.kind.repeatable()
            && guard.target().peer().is_none();
        if is_hedgeable {
            let now = self.host.now();
            let took = now.since(sent_at);
            self.host
                .with_gateway(|g| g.hedging().record_response(now, &self.service, took));
        }
    }

    fn log_won(&self, guard: &TicketGuard, sent_at: Timestamp, first: &HedgedSend) {
        let now = self.host.now();
        info!("a hedge won", kv: {
            request = self.outgoing.attempt_id.as_str(),
            service = self.service.as_str(),
            server = first_server(guard).as_str(),
            first = first.server.as_str(),
            delay_ms = first.delay.as_millis() as u64,
            took_ms = now.since(sent_at).as_millis() as u64,
            first_age_ms = now.since(first.sent_at).as_millis() as u64,
        });
        self.host.metrics.record_hedge("won");
    }

    /// Ends sends whose answers are not needed any more. They may have run.
    fn abandon(&mut self, sends: Vec<InFlight>) {
        for send in sends {
            self.runs += 1;
            self.has_arrived = true;
            if !send.is_hedge {
                self.record_time_of(&send.guard, send.sent_at);
            }
            drop(send.sending);
            send.guard.settle(TicketOutcome::Abandoned);
        }
    }
}
