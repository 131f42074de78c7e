//! Records what becomes of requests, and what that says about their servers.

use std::time::Duration;

use super::{
    Gateway,
    links::SILENT_LINK,
    servers::{ServerRow, Servers},
    stall::{self, StallAction},
    ticket::{Target, Ticket, TicketOutcome},
};
use crate::{ids::VmId, time::Timestamp};

/// Backoff of a server after its first failure. It doubles with each
/// consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff of a server.
const MAX_BACKOFF: Duration = Duration::from_millis(3_200);
/// Backoff of a server that was full. It doubles with each consecutive refusal,
/// because a server that is shutting down unnoticed refuses all requests.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Backoff of a server that does not match its registry entry. The registry is
/// updated within one heartbeat.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(1_000);
/// Weight of one answer in the moving average of a plain server's latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// Latency that a failure of a plain server counts as, in milliseconds.
const FAILURE_LATENCY_MS: f64 = 400.0;

impl Gateway {
    pub(super) fn release(&mut self, ticket: &Ticket) {
        for reservation in ticket.target.reservations() {
            if let Some(row) = self.row_unless_restarted(reservation.server, ticket.acquired_at) {
                row.requests = row.requests.saturating_sub(1);
                row.tokens = row.tokens.saturating_sub(reservation.tokens);
                row.remove_unread(ticket.unread_tokens, reservation.crosses);
            }
        }
    }

    /// Returns a server unless it has restarted since `since`. A restarted
    /// server has new counters, from which earlier tickets must not be
    /// subtracted.
    pub(super) fn row_unless_restarted(
        &mut self,
        id: &VmId,
        since: Timestamp,
    ) -> Option<&mut ServerRow> {
        self.servers
            .get_mut(id)
            .filter(|row| row.first_seen <= since)
    }

    /// Records a stream's first event, which shows that its prompt was
    /// processed.
    pub fn record_first_event(&mut self, ticket: &mut Ticket) {
        let unread_tokens = std::mem::take(&mut ticket.unread_tokens);
        for reservation in ticket.target.reservations() {
            if let Some(row) = self.row_unless_restarted(reservation.server, ticket.acquired_at) {
                row.remove_unread(unread_tokens, reservation.crosses);
            }
        }
    }

    /// Releases a ticket's servers and updates their health from the outcome.
    pub fn finish(&mut self, now: Timestamp, ticket: &Ticket, outcome: TicketOutcome) {
        self.release(ticket);
        self.queue.record_end(now);
        let first = ticket.target.first().map(|(id, _)| id.clone());
        let server_at_fault = |servers: &Servers, by: Option<std::net::SocketAddr>| {
            let named = by.and_then(|address| servers.by_address(address).cloned());
            named.or(first.clone())
        };
        let has_failed = matches!(
            outcome,
            TicketOutcome::Unreachable(_) | TicketOutcome::RefusedByPeer | TicketOutcome::Failed
        );
        if let (true, Some(peer)) = (has_failed, ticket.target.peer()) {
            self.back_off_peer(now, &peer.vm);
        }
        match outcome {
            TicketOutcome::Answered { took } => {
                self.record_heard(now, ticket);
                for reservation in ticket.target.reservations() {
                    self.record_server_success(now, reservation.server, ticket.acquired_at, took);
                }
            }
            TicketOutcome::Full { by } => {
                if let Some(id) = server_at_fault(&self.servers, by) {
                    self.record_refusal(now, &id, FULL_BACKOFF);
                    if by.is_some() && !self.makes_progress(now, &id) {
                        self.record_fault(now, &id);
                    }
                }
            }
            TicketOutcome::Misdirected { by } => {
                if let Some(id) = server_at_fault(&self.servers, by) {
                    self.record_refusal(now, &id, MISDIRECTED_BACKOFF);
                }
            }
            TicketOutcome::Unreachable(failure) => {
                if let Some(id) = server_at_fault(&self.servers, None) {
                    self.record_server_failure(now, &id);
                    self.record_unreachable(now, &id, failure);
                }
            }
            TicketOutcome::RefusedByPeer => {}
            TicketOutcome::PeerIsOlder => {
                if let Some(peer) = ticket.target.peer() {
                    self.back_off_older_peer(now, &peer.vm);
                }
            }
            TicketOutcome::Failed => {
                if let Some(id) = server_at_fault(&self.servers, None) {
                    self.record_server_failure(now, &id);
                }
            }
            TicketOutcome::Abandoned => {}
        }
    }

    fn record_server_success(
        &mut self,
        now: Timestamp,
        id: &VmId,
        sent: Timestamp,
        took: Duration,
    ) {
        if let Some(row) = self.servers.get_mut(id) {
            row.record_success(now, sent);
            row.latency_ms += (took.as_secs_f64() * 1e3 - row.latency_ms) * LATENCY_EWMA_WEIGHT;
        }
    }

    /// Starts the backoff of a server that refused new work.
    fn record_refusal(&mut self, now: Timestamp, id: &VmId, first: Duration) {
        self.back_off(now, id, first);
        if let Some(row) = self.servers.get_mut(id) {
            row.refused_at = Some(now);
        }
    }

    /// Starts a server's backoff, which is `first` after one failure and
    /// doubles with each consecutive failure.
    fn back_off(&mut self, now: Timestamp, id: &VmId, first: Duration) {
        if let Some(row) = self.servers.get_mut(id) {
            let backoff = first * 2_u32.saturating_pow(row.failures.min(8));
            row.failures = row.failures.saturating_add(1);
            row.backoff_until = row.backoff_until.max(now + backoff.min(MAX_BACKOFF));
        }
    }

    /// Records that a server failed a request and starts its backoff.
    pub fn record_server_failure(&mut self, now: Timestamp, id: &VmId) {
        self.back_off(now, id, INITIAL_BACKOFF);
        if let Some(row) = self.servers.get_mut(id) {
            row.latency_ms += (FAILURE_LATENCY_MS - row.latency_ms) * LATENCY_EWMA_WEIGHT;
        }
    }

    /// Records an event of a stream, which shows progress at every engine on
    /// its path.
    pub fn record_progress(&mut self, now: Timestamp, ticket: &Ticket) {
        self.record_heard(now, ticket);
        for reservation in ticket.target.reservations() {
            if let Some(row) = self.servers.get_mut(reservation.server) {
                row.record_success(now, ticket.acquired_at);
            }
        }
    }

    /// Decides whether a request that made no progress for `stalled_for` fails
    /// over. `begun` is whether its first event has arrived, and `target` is
    /// the time within which it should be answered.
    pub fn check_stall(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        stalled_for: Duration,
        begun: bool,
        target: Duration,
    ) -> StallAction {
        if self.is_link_lost(now, ticket, stalled_for) {
            return StallAction::Failover(Vec::new());
        }
        let action = match &ticket.target {
            Target::Engines(path) => {
                stall::check_path(&self.servers, now, path, stalled_for, begun)
            }
            Target::Plain { server, .. } => stall::check_plain(server, stalled_for, target),
            Target::Peer(peer) => {
                let report_age = self.paths_age(now, &peer.vm);
                stall::check_peer(&peer.vm, report_age, stalled_for, begun)
            }
        };
        match action {
            StallAction::Wait(wait) => StallAction::Wait(wait.min(SILENT_LINK)),
            failover @ StallAction::Failover(_) => failover,
        }
    }
}
