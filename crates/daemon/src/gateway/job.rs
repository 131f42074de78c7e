//! One request of a caller: its attempts, whether it may be sent again, and
//! how it ends.

use std::{
    pin::Pin,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use radishhaven_core::{
    gateway::{
        CrashCause, PeerChoice, RequestDigest, Target, TicketOutcome, admission::RequestSource,
        links::SILENT_LINK, paths::TokenEstimate, routes::RouteMatch, stall::StallAction,
    },
    ids::{ServiceId, VmId},
    time::Timestamp,
};
use radishhaven_platform::backend_response::{self, ServerNotices};
use spdlog::prelude::*;

use super::{
    crash,
    exchange::{BackendResponse, OutgoingRequest, SendOutcome, send},
    host::{GatewayHost, OpenRequestGuard, TicketGuard},
    peer_forwarding::{self, NodeOutcome, PeerContext},
};

/// Largest number of sends of one request that end without having run. Each
/// retry draws on the retry budget.
const MAX_NOT_RUN_SENDS: u32 = 4;
/// Delay before capacity is checked again.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Largest number of the parts of a prompt in a line of the log.
const MAX_LOGGED_PARTS: usize = 32;
/// Number of capacity checks after which a request is refused.
const MAX_CAPACITY_CHECKS: u32 = 6;

/// A request that is being forwarded.
#[derive(Debug)]
pub(super) struct Job {
    /// The gateway.
    pub(super) host: Arc<GatewayHost>,
    /// The request to send.
    pub(super) outgoing: Arc<OutgoingRequest>,
    /// The route of the request.
    pub(super) routed: RouteMatch,
    /// The service chosen from the route.
    pub(super) service: ServiceId,
    /// The token estimate of a generation.
    pub(super) demand: Option<TokenEstimate>,
    /// What a repetition of the request shares with it.
    pub(super) digest: RequestDigest,
    /// What the request shares with others, the parts of its prompt first.
    pub(super) causes: Vec<CrashCause>,
    /// When the request arrived.
    pub(super) arrived: Timestamp,
    /// When the time limit of the caller or of the route is reached.
    pub(super) deadline: Timestamp,
    /// The id of the last event that was sent to the caller.
    pub(super) last_event: Option<String>,
    /// How long the request waited for capacity before it was first sent.
    pub(super) waited: Duration,
    /// Number of sends that may have run.
    pub(super) runs: u32,
    /// Number of sends that did not run.
    pub(super) not_run: u32,
    /// From where the request came.
    pub(super) source: RequestSource,
    /// Whether the node that forwarded the request can send it elsewhere.
    pub(super) sender_may_fail_over: bool,
    /// Whether a server may have seen the request.
    pub(super) has_arrived: bool,
    /// Whether other nodes would refuse the request too.
    pub(super) is_refused: bool,
    /// Servers and peers to which this request is not sent again.
    pub(super) excluded: Vec<VmId>,
    /// Whether the end of the request was logged.
    pub(super) end_logged: AtomicBool,
    /// Counts the request as open.
    pub(super) _open: OpenRequestGuard,
}

/// A job is dropped before its end when the caller disconnects or the process
/// stops.
impl Drop for Job {
    fn drop(&mut self) {
        if *self.end_logged.get_mut() {
            return;
        }
        let end = match self.host.is_stopping() {
            true => "the node stopped before the end",
            false => "the caller left before the end",
        };
        info!("{}", end, kv: {
            request = self.outgoing.attempt_id.as_str(),
            route = self.routed.name.as_str(),
            waited_ms = self.waited.as_millis() as u64,
            took_ms = self.host.now().since(self.arrived).as_millis() as u64,
            runs = self.runs,
            not_run = self.not_run,
        });
    }
}

/// Outcome of one send, reduced to what the next step depends on.
pub(super) enum Attempt {
    /// A server responded.
    Responded(Box<BackendResponse>, TicketGuard),
    /// The request may be sent again, within the limits of the route.
    Retry,
    /// A peer refused the request, as other nodes would. The caller should retry
    /// after the given delay.
    Refused(Duration),
    /// The deadline of the request has passed.
    TimedOut,
    /// The request was quarantined before the response began.
    Quarantined,
}

impl Job {
    /// Returns the shared parts of the prompt for the log, the first and the last ones
    /// of many.
    pub(super) fn parts_text(&self) -> String {
        let parts = self.causes.split_last().map_or(&[][..], |(_, parts)| parts);
        let left_out = parts.len().saturating_sub(MAX_LOGGED_PARTS);
        let start = (parts.len() - left_out).div_ceil(2);
        let mut texts: Vec<String> = parts[..start].iter().map(CrashCause::to_string).collect();
        if left_out > 0 {
            texts.push(format!("({left_out} more)"));
        }
        let rest = parts[start + left_out..].iter();
        texts.extend(rest.map(CrashCause::to_string));
        texts.join(",")
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.since(self.host.now())
    }

    /// Returns whether the request ends before a shutdown of the node does, as far as
    /// is known, if it is sent now.
    pub(super) fn ends_before_exit(&self, guard: &TicketGuard) -> bool {
        let schedule = self.host.drain_schedule();
        let predicted = guard.target().predicted_time();
        self.host
            .drain_elapsed()
            .is_none_or(|elapsed| schedule.allows_send(elapsed, self.remaining(), predicted))
    }

    /// Returns whether the route allows one more send that may run.
    pub(super) fn may_retry(&self) -> bool {
        if self.source == RequestSource::Peer {
            return false;
        }
        let is_repeatable = self.routed.route.kind.repeatable();
        let runs_left = self.runs < self.routed.route.max_attempts;
        self.not_run < MAX_NOT_RUN_SENDS && (self.runs == 0 || (is_repeatable && runs_left))
    }

    /// Returns whether the request may be sent elsewhere when a server is silent, by
    /// this node or the one that forwarded it.
    ///
    /// `in_flight` is the number of its sends that are not answered yet.
    pub(super) fn may_fail_over(&self, in_flight: u32) -> bool {
        match self.source {
            RequestSource::Caller => self.runs + in_flight < self.routed.route.max_attempts,
            RequestSource::Peer => self.sender_may_fail_over,
        }
    }

    /// Returns what is certain about the request if this node answers it.
    pub(super) fn node_outcome(&self) -> NodeOutcome {
        match (self.runs, self.has_arrived) {
            (0, _) if self.is_refused => NodeOutcome::Refused,
            (0, false) => NodeOutcome::NotSent,
            (0, true) => NodeOutcome::NotRun,
            _ => NodeOutcome::Unknown,
        }
    }

    /// Returns the time until the request may reach servers, if it or a part of its
    /// prompt is quarantined.
    pub(super) fn quarantine_left(&self) -> Option<Duration> {
        let now = self.host.now();
        self.host
            .with_gateway(|g| g.quarantine_left(now, &self.causes))
    }

    /// Records that the request can be answered, and releases it and its parts from a
    /// quarantine for which another one accounts.
    pub(super) fn record_answerable(&self, now: Timestamp) {
        self.host
            .with_gateway(|g| g.record_request_answered(now, &self.causes));
        self.host.publish_quarantine();
    }

    /// Records how one send ended, and settles its ticket unless a server responded.
    pub(super) async fn conclude(
        &mut self,
        guard: TicketGuard,
        sent_at: Timestamp,
        outcome: WatchedSend,
    ) -> Attempt {
        self.record_arrival(&outcome);
        let outcome = match outcome {
            WatchedSend::Completed(outcome) => outcome,
            WatchedSend::Unresponsive(suspects) => {
                self.log_failed_send(&guard, "silent", sent_at, &join_ids(&suspects));
                self.runs += 1;
                crash::check_stalled(self, &guard, &suspects).await;
                self.record_failures(&suspects);
                guard.settle(TicketOutcome::Abandoned);
                return Attempt::Retry;
            }
            WatchedSend::TimedOut => {
                self.log_failed_send(&guard, "time up", sent_at, "");
                self.runs += 1;
                guard.settle(TicketOutcome::Abandoned);
                return Attempt::TimedOut;
            }
            WatchedSend::Quarantined => {
                self.log_failed_send(&guard, "quarantined", sent_at, "");
                self.runs += 1;
                guard.settle(TicketOutcome::Abandoned);
                return Attempt::Quarantined;
            }
        };
        match outcome {
            SendOutcome::Responded(response) => {
                let notices = backend_response::decode_notices(&response.head);
                self.record_notices(&guard, sent_at, None, notices);
                return Attempt::Responded(response, guard);
            }
            SendOutcome::NotRun(by, notices) => {
                self.not_run += 1;
                self.exclude_server(&guard, by);
                self.record_notices(&guard, sent_at, by, notices);
                self.log_failed_send(&guard, "not run", sent_at, &address_text(by));
                guard.settle(TicketOutcome::Full { by });
            }
            SendOutcome::Rejected(by, status, notices) => {
                self.not_run += 1;
                self.exclude_server(&guard, by);
                self.record_notices(&guard, sent_at, by, notices);
                self.log_failed_send(&guard, "rejected", sent_at, status.as_str());
                // The server would have taken another request.
                guard.settle(TicketOutcome::Abandoned);
            }
            SendOutcome::Misdirected(by) => {
                self.not_run += 1;
                self.exclude_server(&guard, by);
                self.log_failed_send(&guard, "misdirected", sent_at, &address_text(by));
                guard.settle(TicketOutcome::Misdirected { by });
            }
            SendOutcome::Unreachable(failure, reason) => {
                self.not_run += 1;
                self.exclude_peer(&guard);
                self.log_failed_send(&guard, "unreachable", sent_at, &reason);
                guard.settle(TicketOutcome::Unreachable(failure));
                self.host.publish_links();
            }
            SendOutcome::RefusedByPeer {
                outcome,
                retry_after,
            } => {
                self.not_run += 1;
                self.log_failed_send(&guard, "refused by peer", sent_at, outcome.as_str());
                if outcome == NodeOutcome::Older {
                    // The peer may soon read the newer configuration.
                    guard.settle(TicketOutcome::PeerIsOlder);
                    return Attempt::Retry;
                }
                self.exclude_peer(&guard);
                if outcome == NodeOutcome::Refused {
                    guard.settle(TicketOutcome::Abandoned);
                    return Attempt::Refused(retry_after.unwrap_or_default());
                }
                guard.settle(TicketOutcome::RefusedByPeer);
            }
            SendOutcome::Unknown(reason) => {
                self.runs += 1;
                self.exclude_peer(&guard);
                self.log_failed_send(&guard, "lost", sent_at, &reason);
                crash::check_first(self, &guard).await;
                guard.settle(TicketOutcome::Failed);
            }
        }
        Attempt::Retry
    }

    /// Records whether a server may have seen the request.
    fn record_arrival(&mut self, outcome: &WatchedSend) {
        self.has_arrived |= match outcome {
            WatchedSend::Completed(SendOutcome::Unreachable(..)) => false,
            WatchedSend::Completed(SendOutcome::RefusedByPeer { outcome, .. }) => {
                *outcome == NodeOutcome::NotRun
            }
            _ => true,
        };
    }

    /// Excludes the peer to which the request was sent from further sends.
    pub(super) fn exclude_peer(&mut self, guard: &TicketGuard) {
        let peer = guard.target().peer();
        self.excluded.extend(peer.map(|peer| peer.vm.clone()));
    }

    /// Excludes the server that did not run the request from further sends.
    fn exclude_server(&mut self, guard: &TicketGuard, by: Option<std::net::SocketAddr>) {
        let reporter = by.and_then(|at| {
            self.host
                .with_gateway(|g| g.servers().by_address(at).cloned())
        });
        let first = || guard.target().first().map(|(id, _)| id.clone());
        self.excluded.extend(reporter.or_else(first));
    }

    /// Records what the first server of the target stated about itself in the
    /// response to a request that was sent at `sent_at`. `at_fault` is the engine that caused a refusal, if it was named.
    fn record_notices(
        &self,
        guard: &TicketGuard,
        sent_at: Timestamp,
        at_fault: Option<std::net::SocketAddr>,
        notices: ServerNotices,
    ) {
        let Some((id, _)) = guard.target().first() else {
            return;
        };
        let now = self.host.now();
        if let Some(pause) = notices.pause {
            self.host
                .with_gateway(|g| g.record_pause(now, id, at_fault, pause));
            info!("a server asked for a pause", kv: {
                request = self.outgoing.attempt_id.as_str(),
                server = id.as_str(),
                at_fault = address_text(at_fault),
                pause_ms = pause.as_millis() as u64,
            });
        }
        self.host.record_limit(id, sent_at, notices.limit);
        if notices.leaving {
            self.host.record_leaving(id);
        }
    }

    /// Records failures of unresponsive servers and excludes them from further
    /// sends.
    pub(super) fn record_failures(&mut self, suspects: &[VmId]) {
        let now = self.host.now();
        for id in suspects {
            self.host.with_gateway(|g| {
                g.record_server_failure(now, id);
                g.record_fault(now, id);
            });
            self.excluded.push(id.clone());
        }
        self.host.publish_faults();
    }

    /// Logs the target of a send, and how old the data is that the choice was
    /// based on.
    pub(super) fn log_send(&self, guard: &TicketGuard) {
        if let Some(peer) = guard.target().peer() {
            self.log_forwarded(peer);
        }
        let now = self.host.now();
        let (version, registry) = self.host.with_gateway(|g| {
            let version = g.configuration().map_or(0, |c| c.version);
            (version, g.registry_age(now))
        });
        info!("a request is sent", kv: {
            request = self.outgoing.attempt_id.as_str(),
            route = self.routed.name.as_str(),
            path = guard.target().to_string().as_str(),
            digest = self.digest.to_string().as_str(),
            parts = self.parts_text().as_str(),
            waited_ms = self.waited.as_millis() as u64,
            left_ms = self.remaining().as_millis() as u64,
            version,
            registry_ms = registry.map_or(0, |age| age.as_millis() as u64),
            runs = self.runs,
            not_run = self.not_run,
        });
    }

    /// Logs why a request is sent to a peer.
    fn log_forwarded(&self, peer: &PeerChoice) {
        self.host.metrics.forwarded_to_peers.inc();
        info!("a request is forwarded by a peer", kv: {
            request = self.outgoing.attempt_id.as_str(),
            peer = peer.vm.as_str(),
            service = self.service.as_str(),
            reachable_here = peer.own.reachable,
            reachable_there = peer.reachable,
            servers = peer.own.total,
            report_age_ms = peer.report_age.as_millis() as u64,
        });
    }

    pub(super) fn log_failed_send(
        &self,
        guard: &TicketGuard,
        outcome: &str,
        sent_at: Timestamp,
        detail: &str,
    ) {
        let now = self.host.now();
        let (own_progress_ms, peer_progress_ms) = self.progress_ages_ms(guard);
        info!("a send ended without an answer", kv: {
            request = self.outgoing.attempt_id.as_str(),
            route = self.routed.name.as_str(),
            server = first_server(guard).as_str(),
            outcome,
            detail,
            took_ms = now.since(sent_at).as_millis() as u64,
            own_progress_ms,
            peer_progress_ms,
            runs = self.runs,
            not_run = self.not_run,
        });
        self.host.metrics.record_failed_send(outcome);
    }

    /// Returns the milliseconds since the target's first server made progress on a
    /// request of this node, and on one of another node, or -1 if it never did.
    fn progress_ages_ms(&self, guard: &TicketGuard) -> (i64, i64) {
        let now = self.host.now();
        let Some((first, _)) = guard.target().first() else {
            return (-1, -1);
        };
        let age = |at| now.since(at).as_millis() as i64;
        self.host.with_gateway(|g| match g.servers().get(first) {
            Some(row) => (
                age(row.last_local_progress),
                row.last_peer_progress.map_or(-1, age),
            ),
            None => (-1, -1),
        })
    }

    /// Sends the request to a target. The returned future does not borrow the job, so
    /// that the job can record the end of one send while another one goes on.
    pub(super) fn send_to(&self, target: &Target) -> Sending {
        let (host, outgoing) = (self.host.clone(), self.outgoing.clone());
        let (target, last_event) = (target.clone(), self.last_event.clone());
        let (remaining, may_fail_over) = (self.remaining(), self.may_fail_over(1));
        let configuration_version = self.routed.configuration_version;
        let now = host.now();
        let priority =
            host.with_gateway(|g| g.engine_priority(now, &self.service, self.routed.priority));
        Box::pin(async move {
            let last_event = last_event.as_deref();
            let Target::Peer(peer) = &target else {
                return send(&outgoing, &target, remaining, last_event, priority).await;
            };
            let context = PeerContext {
                own: &host.settings.node.vm,
                configuration_version,
                time_left: remaining,
                last_event,
                may_fail_over,
            };
            peer_forwarding::send(&host.peer_connections, &outgoing, peer, &context).await
        })
    }

    /// Decides whether to keep waiting for an unresponsive target. A request
    /// that must not run twice always waits.
    pub(super) fn check_silence(
        &self,
        guard: &TicketGuard,
        silence: Duration,
        has_events: bool,
    ) -> StallAction {
        let route = &self.routed.route;
        if !route.kind.repeatable() {
            return StallAction::Wait(self.remaining());
        }
        let now = self.host.now();
        let target = route.target_latency;
        let action = self
            .host
            .with_gateway(|g| g.check_stall(now, guard.ticket(), silence, has_events, target));
        if silence >= SILENT_LINK {
            self.host.publish_links();
        }
        action
    }

    /// Returns whether this node has just lost its links, and a peer may soon be found.
    fn is_searching_peer(&self) -> bool {
        let now = self.host.now();
        self.source == RequestSource::Caller
            && self
                .host
                .with_gateway(|g| g.is_searching_peer(now, &self.service))
    }

    /// Reserves capacity for one more send, with a few retries.
    pub(super) async fn acquire_retry(&self) -> Option<TicketGuard> {
        let mut checks = 0;
        loop {
            if checks > 0 {
                tokio::time::sleep(CAPACITY_RETRY_DELAY).await;
            }
            let may_check = checks < MAX_CAPACITY_CHECKS || self.is_searching_peer();
            if !may_check || self.remaining().is_zero() {
                return None;
            }
            checks += 1;
            let (service, excluded) = (&self.service, &self.excluded);
            let guard = match self.has_arrived {
                true => self.host.retry(service, self.demand, excluded),
                false => self.host.retry_unseen(service, self.demand, excluded),
            };
            if guard.is_some() {
                return guard;
            }
        }
    }
}

/// A send that is not answered yet. Dropping it closes its connection.
pub(super) type Sending = Pin<Box<dyn Future<Output = SendOutcome> + Send>>;

/// How the wait for one send ended.
pub(super) enum WatchedSend {
    /// The send ended.
    Completed(SendOutcome),
    /// These servers are silent.
    Unresponsive(Vec<VmId>),
    /// The deadline of the request has passed.
    TimedOut,
    /// The request was quarantined.
    Quarantined,
}

fn join_ids(ids: &[VmId]) -> String {
    let ids: Vec<&str> = ids.iter().map(VmId::as_str).collect();
    ids.join(",")
}

fn address_text(by: Option<std::net::SocketAddr>) -> String {
    by.map(|address| address.to_string()).unwrap_or_default()
}

/// Returns the server or the peer to which a request was sent.
pub(super) fn first_server(guard: &TicketGuard) -> String {
    let first = guard.target().first().map(|(id, _)| id);
    let id = first.or(guard.target().peer().map(|peer| &peer.vm));
    id.map(VmId::to_string).unwrap_or_default()
}
