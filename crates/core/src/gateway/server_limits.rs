//! Keeps the limits of requests that backend servers name.
//!
//! A limit holds for all nodes together. Each node gets the share of it that its
//! demand has of the demand of all nodes, as credit that grows with time. A request
//! uses credit below one with that probability, so that shares are right also
//! where they are far below one request. See `docs/design/server-limits.md`.

mod credit;
mod fleet;

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};

use self::{credit::Credit, fleet::Fleet};
use super::{
    notices::Incarnation, peers::NodeReport, recent_count::RecentCount, request_rate::RequestRate,
    servers::ServerRow, state::Gateway, ticket::Target,
};
use crate::{
    ids::{ServiceId, VmId},
    time::Timestamp,
};

/// Time over which the requests to a limited server are counted.
const SENT_WINDOW: Duration = Duration::from_secs(4);
/// Time over which the demand for a service is counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Age of a statement at which it ends.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(30);
/// Age of a statement from which requests test whether it still holds. The limit
/// may be so low that no other request is sent.
const TRIAL_AGE: Duration = Duration::from_secs(2);
/// Rate of the requests that test a limit.
const TRIAL_RATE: RequestRate = RequestRate(500);
/// Maximum number of servers whose statements are kept.
const MAX_STATEMENTS: usize = 4_096;
/// Maximum number of limits in a report, which keeps it below the size of a
/// datagram.
pub const MAX_REPORTED_LIMITS: usize = 64;

/// What a server last stated about its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LimitStatement {
    /// The run of the server that stated it.
    pub incarnation: Incarnation,
    /// The requests that it takes from all nodes together, or `None` if it takes
    /// any number again.
    pub limit: Option<RequestRate>,
    /// When the response with the statement arrived.
    pub at: Timestamp,
}

/// A [`LimitStatement`] in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedStatement {
    /// The limit, or `None` if there is none any more.
    pub limit: Option<RequestRate>,
    /// Milliseconds since the response with the statement arrived.
    pub age_ms: u64,
}

/// What the nodes that a report covers know of a limited server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The run of the server.
    pub incarnation: Incarnation,
    /// The newest statement that the server made to one of the nodes. Statements
    /// that they know from other nodes are left out, since the time in transit
    /// would make them appear newer.
    pub statement: Option<ReportedStatement>,
    /// Requests that the nodes sent to the server within the last 4 s.
    pub sent: u32,
}

impl LimitReport {
    /// Adds the report of another node, which is older by `transit`.
    fn add(&mut self, other: &Self, transit: Duration) {
        let transit_ms = transit.as_millis() as u64;
        let statement = other.statement.map(|statement| ReportedStatement {
            age_ms: statement.age_ms + transit_ms,
            ..statement
        });
        let age = |statement: &ReportedStatement| statement.age_ms;
        self.statement = self.statement.into_iter().chain(statement).min_by_key(age);
        self.sent = self.sent.saturating_add(other.sent);
    }
}

/// A change of the limit of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// The server.
    pub server: VmId,
    /// Its new limit.
    pub limit: Option<RequestRate>,
}

/// The limits of all servers, and the demand of this node.
#[derive(Debug, Default)]
pub struct ServerLimits {
    /// The newest statement of each server to this node.
    own: BTreeMap<VmId, LimitStatement>,
    /// The newest statement of each server to any node.
    newest: BTreeMap<VmId, LimitStatement>,
    /// The requests that this node may still send to each limited server.
    credits: BTreeMap<VmId, Credit>,
    /// Requests of this node that looked for a server of the service.
    demand: BTreeMap<ServiceId, RecentCount>,
    changes: Vec<LimitChange>,
}

/// The limited servers of a service, for one request that looks for a server.
#[derive(Debug, Default)]
pub(super) struct LimitDraw {
    /// Those that the request may use.
    open: Vec<VmId>,
    /// Those that it may not use.
    pub(super) closed: Vec<VmId>,
}

/// What one node may send to a limited server.
struct LimitShare {
    server: VmId,
    /// Requests per second.
    rate: f64,
    /// Whether all nodes together have sent what the limit allows.
    is_used_up: bool,
}

/// Keeps a statement, unless there are too many of other servers.
fn keep(statements: &mut BTreeMap<VmId, LimitStatement>, id: &VmId, statement: LimitStatement) {
    if statements.len() < MAX_STATEMENTS || statements.contains_key(id) {
        statements.insert(id.clone(), statement);
    }
}

impl ServerLimits {
    /// Counts a request that looks for a server of a service, and returns the number
    /// of those in the last second.
    fn record_demand(&mut self, now: Timestamp, service: &ServiceId) -> u32 {
        let demand = self.demand.entry(service.clone()).or_default();
        demand.record(now);
        demand.count(now, DEMAND_WINDOW)
    }

    /// Drops the statements that have ended.
    fn expire(&mut self, now: Timestamp) {
        for statements in [&mut self.own, &mut self.newest] {
            statements.retain(|_, statement| now.since(statement.at) < MAX_STATEMENT_AGE);
        }
        let newest = &self.newest;
        self.credits.retain(|id, _| newest.contains_key(id));
    }

    /// Applies a statement unless a newer one is known.
    fn apply(&mut self, id: &VmId, statement: LimitStatement) {
        let known = self.newest.get(id);
        if known.is_some_and(|known| known.at >= statement.at) {
            return;
        }
        let is_same_run = |known: &&LimitStatement| known.incarnation == statement.incarnation;
        let previous = known.filter(is_same_run).and_then(|known| known.limit);
        if previous != statement.limit {
            self.changes.push(LimitChange {
                server: id.clone(),
                limit: statement.limit,
            });
        }
        keep(&mut self.newest, id, statement);
    }

    /// Returns the current statement of a run of a server.
    fn current(&self, now: Timestamp, id: &VmId, row: &ServerRow) -> Option<&LimitStatement> {
        let statement = self.newest.get(id)?;
        let is_current = statement.incarnation == Incarnation::from(&row.entry)
            && now.since(statement.at) < MAX_STATEMENT_AGE;
        is_current.then_some(statement)
    }

    /// Returns the rate to which all nodes together keep at a server.
    fn rate(&self, now: Timestamp, id: &VmId, row: &ServerRow) -> Option<RequestRate> {
        let statement = self.current(now, id, row)?;
        let limit = statement.limit?;
        let is_tested = now.since(statement.at) >= TRIAL_AGE;
        Some(if is_tested {
            limit.max(TRIAL_RATE)
        } else {
            limit
        })
    }
}

impl Gateway {
    /// Records what a server stated about its limit in the response to a request
    /// that was sent at `sent`. A response without a limit ends the limit only if
    /// the request was sent after the limit was last named.
    pub fn record_limit(
        &mut self,
        now: Timestamp,
        id: &VmId,
        sent: Timestamp,
        limit: Option<RequestRate>,
    ) {
        let Some(row) = self.row_unless_restarted(id, sent) else {
            return;
        };
        let incarnation = Incarnation::from(&row.entry);
        if limit.is_none() {
            let known = self.limits.newest.get(id);
            let known = known.filter(|known| known.incarnation == incarnation);
            let ends = known.is_some_and(|known| known.limit.is_some() && known.at < sent);
            if !ends {
                return;
            }
        }
        let statement = LimitStatement {
            incarnation,
            limit,
            at: now,
        };
        keep(&mut self.limits.own, id, statement.clone());
        self.limits.apply(id, statement);
    }

    /// Applies what a peer has reported about limits.
    pub(super) fn apply_limits(&mut self, now: Timestamp, limits: &BTreeMap<VmId, LimitReport>) {
        for (id, report) in limits {
            let Some(statement) = report.statement else {
                continue;
            };
            let statement = LimitStatement {
                incarnation: report.incarnation.clone(),
                limit: statement.limit,
                at: now - Duration::from_millis(statement.age_ms),
            };
            if now.since(statement.at) < MAX_STATEMENT_AGE {
                self.limits.apply(id, statement);
            }
        }
    }

    /// Returns the limits that servers have named, as far as they are in force.
    pub fn server_limits(&self, now: Timestamp) -> BTreeMap<VmId, RequestRate> {
        let ids = self.limits.newest.keys();
        let limits = ids.filter_map(|id| {
            let row = self.servers.get(id)?;
            Some((id.clone(), self.limits.rate(now, id, row)?))
        });
        limits.collect()
    }

    /// Returns whether all servers of a service that take requests of this node have
    /// named a limit. A request that they don't take can't expect one that does.
    pub(super) fn is_limited(&self, now: Timestamp, service: &ServiceId) -> bool {
        let rows = self.servers.of_service(service);
        let mut open = rows.filter(|(_, row)| row.takes_entries() && row.is_entry_open(now));
        let mut is_limited = |(id, row)| self.limits.rate(now, id, row).is_some();
        open.next().is_some_and(&mut is_limited) && open.all(is_limited)
    }

    /// Returns whether a server has named a limit that still holds.
    pub(super) fn has_limit(&self, now: Timestamp, id: &VmId) -> bool {
        let row = self.servers.get(id);
        row.is_some_and(|row| self.limits.rate(now, id, row).is_some())
    }

    /// Returns the changes of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limits.changes)
    }

    /// Returns this node's report about limited servers, with the reports that it
    /// covers and the time at which each was received.
    pub(super) fn limit_report(
        &self,
        now: Timestamp,
        covered: &[(Timestamp, &NodeReport)],
    ) -> BTreeMap<VmId, LimitReport> {
        let current = self.limits.newest.iter().filter_map(|(id, newest)| {
            let row = self.servers.get(id)?;
            self.limits.current(now, id, row)?;
            let own = self.limits.own.get(id);
            let own = own.filter(|own| own.incarnation == newest.incarnation);
            let statement = own.map(|own| ReportedStatement {
                limit: own.limit,
                age_ms: now.since(own.at).as_millis() as u64,
            });
            let mut report = LimitReport {
                incarnation: newest.incarnation.clone(),
                statement,
                sent: row.sent.count(now, SENT_WINDOW),
            };
            for (received_at, other) in covered {
                let of_run = other.limits.get(id);
                if let Some(other) = of_run.filter(|o| o.incarnation == newest.incarnation) {
                    report.add(other, now.since(*received_at));
                }
            }
            Some((id.clone(), report))
        });
        current.take(MAX_REPORTED_LIMITS).collect()
    }

    /// Returns the demand of this node and of the nodes that its report covers, in
    /// requests per second.
    pub(super) fn demand_report(
        &self,
        now: Timestamp,
        covered: &[(Timestamp, &NodeReport)],
    ) -> BTreeMap<ServiceId, u32> {
        let own = self.limits.demand.iter();
        let own = own.map(|(service, count)| (service, count.count(now, DEMAND_WINDOW)));
        let of_peers = covered.iter().flat_map(|(_, report)| &report.demand);
        let mut demand = BTreeMap::new();
        for (service, count) in own.chain(of_peers.map(|(service, count)| (service, *count))) {
            *demand.entry(service.clone()).or_insert(0) += count;
        }
        demand
    }

    /// Counts a request that looks for a server of a service, and decides which
    /// limited servers it may use.
    pub(super) fn draw_limited(&mut self, now: Timestamp, service: &ServiceId) -> LimitDraw {
        let own_demand = self.limits.record_demand(now, service);
        self.limits.expire(now);
        let mut draw = LimitDraw::default();
        if self.limits.newest.is_empty() {
            return draw;
        }
        let nodes = self.node_count(now);
        for share in self.limited_shares(now, service, nodes, own_demand) {
            let credit = self.limits.credits.entry(share.server.clone());
            let credit = credit.or_insert_with(|| Credit::new(now));
            credit.accrue(now, share.rate);
            let may_use = !share.is_used_up && credit.draw(self.rng.random_range(0.0..1.0));
            let servers = match may_use {
                true => &mut draw.open,
                false => &mut draw.closed,
            };
            servers.push(share.server);
        }
        draw
    }

    /// Takes the credit for the limited servers that a request uses.
    pub(super) fn charge_limited(&mut self, draw: &LimitDraw, target: &Target) {
        if draw.open.is_empty() {
            return;
        }
        for reservation in target.reservations() {
            if let Some(credit) = self.limits.credits.get_mut(reservation.server) {
                credit.charge();
            }
        }
    }

    /// Returns this node's share of each limited server of a service. `nodes` is the
    /// number of all nodes, and `own_demand` that of the requests of this node per
    /// second.
    fn limited_shares(
        &self,
        now: Timestamp,
        service: &ServiceId,
        nodes: u32,
        own_demand: u32,
    ) -> Vec<LimitShare> {
        let reports = self.fresh_reports(now).map(|(_, report)| report);
        let fleet = Fleet::new(reports.collect(), nodes);
        let own_part = f64::from(own_demand) / fleet.demand(service, own_demand).max(1.0);
        let shares = self.limits.newest.iter().filter_map(|(id, statement)| {
            let row = self.servers.get(id)?;
            let rate = self.limits.rate(now, id, row)?.per_second();
            if row.entry.service != *service {
                return None;
            }
            let own = row.sent.count(now, SENT_WINDOW);
            let sent = fleet.sent(id, &statement.incarnation, own);
            let max_sent = (rate * SENT_WINDOW.as_secs_f64()).max(1.0);
            Some(LimitShare {
                server: id.clone(),
                rate: rate * own_part,
                is_used_up: sent + 1.0 > max_sent,
            })
        });
        shares.collect()
    }
}
