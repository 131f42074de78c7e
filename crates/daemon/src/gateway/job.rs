//! One request on its way: its sends, what they leave it, and how it ends.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use radishhaven_core::{
    gateway::{TicketOutcome, paths::TokenEstimate, routes::RouteMatch, stall::StallAction},
    ids::{ServiceId, VmId},
    time::Timestamp,
};
use spdlog::prelude::*;

use super::{
    exchange::{Answer, Outgoing, Sent, send},
    host::{GatewayHost, Hold, OpenRequest},
};

/// Sends of one request that were answered with "not run" at most; each of
/// them takes from the retry budget.
const MAX_NOT_RUN: u32 = 4;
/// Pause before room is looked for again after a server had none.
const ROOM_PAUSE: Duration = Duration::from_millis(40);
/// Looks for room after which a request is refused.
const ROOM_LOOKS: u32 = 6;

/// A request on its way.
#[derive(Debug)]
pub(super) struct Job {
    /// The gateway.
    pub(super) host: Arc<GatewayHost>,
    /// What is sent.
    pub(super) outgoing: Outgoing,
    /// Its route.
    pub(super) routed: RouteMatch,
    /// The service that was chosen.
    pub(super) service: ServiceId,
    /// What a generation needs.
    pub(super) need: Option<TokenEstimate>,
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
                hold.settle(TicketOutcome::Abandoned);
                return Attempted::Again;
            }
            Watched::TimeUp => {
                self.note(&hold, "time up", sent_at, "");
                self.runs += 1;
                hold.settle(TicketOutcome::Abandoned);
                return Attempted::TimeUp;
            }
        };
        match sent {
            Sent::Ran(answer) => return Attempted::Answer(answer, hold),
            Sent::NotRun(by) => {
                self.not_run += 1;
                self.avoid_at(&hold, by);
                self.note(&hold, "not run", sent_at, &named(by));
                hold.settle(TicketOutcome::Full { by });
            }
            Sent::Misdirected(by) => {
                self.not_run += 1;
                self.avoid_at(&hold, by);
                self.note(&hold, "misdirected", sent_at, &named(by));
                hold.settle(TicketOutcome::Misdirected { by });
            }
            Sent::Unreachable(reason) => {
                self.not_run += 1;
                self.note(&hold, "unreachable", sent_at, &reason);
                hold.settle(TicketOutcome::Failed);
            }
            Sent::Lost(reason) => {
                self.runs += 1;
                self.note(&hold, "lost", sent_at, &reason);
                hold.settle(TicketOutcome::Failed);
            }
        }
        Attempted::Again
    }

    /// Keeps this request from the server that did not run it.
    fn avoid_at(&mut self, hold: &Hold, by: Option<std::net::SocketAddr>) {
        let named = by.and_then(|at| self.host.decide(|g| g.servers().by_address(at).cloned()));
        let first = || hold.target().first().map(|(id, _)| id.clone());
        self.avoid.extend(named.or_else(first));
    }

    /// Notes that servers did not answer.
    pub(super) fn blame(&mut self, suspects: &[VmId]) {
        let now = self.host.now();
        for id in suspects {
            self.host.decide(|g| g.record_server_failure(now, id));
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

    pub(super) fn note(&self, hold: &Hold, outcome: &str, sent_at: Timestamp, detail: &str) {
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
                StallAction::Failover(suspects)
                    if self.runs + 1 < self.routed.route.max_attempts =>
                {
                    return Watched::Silent(suspects);
                }
                StallAction::Failover(_) => self.left(),
                StallAction::Wait(pause) => pause.min(self.left()),
            };
            tokio::select! {
                sent = &mut sending => return Watched::Sent(sent),
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Decides about silence; requests that must not run twice are waited for.
    pub(super) fn judge(&self, hold: &Hold, silent: Duration, begun: bool) -> StallAction {
        let route = &self.routed.route;
        if !route.kind.repeatable() {
            return StallAction::Wait(self.left());
        }
        let now = self.host.now();
        let target = route.target_latency;
        self.host
            .decide(|g| g.check_stall(now, hold.ticket(), silent, begun, target))
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
