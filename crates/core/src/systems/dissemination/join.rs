//! Prevents a node from serving an outdated configuration after a start or pause.
//!
//! In each round of a join, the node queries the revisions of its peers. It
//! becomes ready once it has caught up with all peers that responded.

use rand::{Rng, seq::IteratorRandom};

use super::{Context, relay, send};
use crate::{
    ids::{Revision, VmId},
    message::Action,
    peer::ConfigMessage,
    systems::{Timer, membership},
    tables::Join,
};

/// Maximum number of peers that are queried after a round in which no peer had
/// any records. Nodes that start together while the log is unavailable would
/// otherwise all query all others over and over.
const MAX_RETRY_PEERS: usize = 8;

/// Starts a join; the node is not ready until it ends.
pub(super) fn begin(cx: &mut Context<'_>) {
    if let Some(join) = &cx.tables.replication.join {
        if join.queried {
            // The responses from before the pause are outdated.
            start_round(cx);
        }
        return;
    }
    cx.tables.ready = false;
    cx.tables.replication.join = Some(Join {
        began: cx.now,
        rejoin: true,
        ..Join::default()
    });
    membership::announce(cx);
    schedule_overdue_report(cx);
    start_round(cx);
}

/// Schedules the warning about an overdue join when the node starts.
pub fn start(cx: &mut Context<'_>) {
    if let Some(join) = &mut cx.tables.replication.join {
        join.began = cx.now;
        schedule_overdue_report(cx);
    }
}

fn schedule_overdue_report(cx: &mut Context<'_>) {
    let at = cx.now + cx.cfg.dissemination.readiness_report_interval;
    cx.tables.timers.subscribe(at, Timer::JoinOverdue);
}

/// Warns the operators that the node is still not ready. The join continues,
/// because serving an outdated configuration would be worse.
pub fn report_overdue_join(cx: &mut Context<'_>) {
    let Some(join) = &cx.tables.replication.join else {
        return;
    };
    let waited = cx.now.since(join.began);
    // The timer may belong to an earlier join that has ended.
    if waited < cx.cfg.dissemination.readiness_report_interval {
        return;
    }
    let newest = join.revisions.values().max().copied().unwrap_or_default();
    cx.tables.replication.counters.joins_overdue += 1;
    cx.out.push(Action::WarnNotReady { waited, newest });
    schedule_overdue_report(cx);
}

/// Starts the first round of the join once the VM list has arrived.
pub fn vm_list_received(cx: &mut Context<'_>) {
    let join = cx.tables.replication.join.as_ref();
    if join.is_some_and(|join| !join.queried) {
        start_round(cx);
    }
}

/// Stops waiting for peers that did not respond; runs when the round times out.
pub fn end_join_round(cx: &mut Context<'_>) {
    let Some(join) = &mut cx.tables.replication.join else {
        return;
    };
    // After a pause of this process, responses may still be queued; in that case
    // a new round starts.
    let in_time = cx.now.since(join.queried_at) < cx.cfg.dissemination.join_wait * 2;
    if in_time {
        join.pending.clear();
        finish(cx);
    }
    // `finish` may have started the next round already.
    let join = cx.tables.replication.join.as_ref();
    if join.is_some_and(|join| !in_time || join.pending.is_empty()) {
        start_round(cx);
    }
}

fn start_round(cx: &mut Context<'_>) {
    let own = &cx.cfg.identity.vm;
    let nodes = cx.tables.vms.nodes();
    let peers = nodes.filter(|vm| vm.vm != *own && vm.peer_address.is_some());
    let peers = peers.map(|vm| vm.vm.clone());
    let Some(join) = &mut cx.tables.replication.join else {
        return;
    };
    let any_records = join
        .revisions
        .values()
        .any(|revision| *revision > Revision(0));
    join.query_all = !join.queried || join.rejoin || any_records || join.log_read;
    let peers: Vec<VmId> = match join.query_all {
        true => peers.collect(),
        false => peers.choose_multiple(cx.rng, MAX_RETRY_PEERS),
    };
    cx.tables.replication.counters.joins += u64::from(!join.queried);
    join.queried = true;
    join.revisions.clear();
    join.queried_at = cx.now;
    join.round = cx.rng.random();
    let query = ConfigMessage::QueryRevision { round: join.round };
    join.pending = peers.iter().cloned().collect();
    let at = cx.now + cx.cfg.dissemination.join_wait;
    let timers = &mut cx.tables.timers;
    if let Some(timer) = join.timer.take() {
        timers.cancel(timer);
    }
    join.timer = Some(timers.subscribe(at, Timer::JoinRound));
    for peer in &peers {
        send(cx, peer, query.clone());
    }
    finish(cx);
}

/// Records the revision of a peer if it responds to the current round.
pub(super) fn record_revision(cx: &mut Context<'_>, from: &VmId, round: u64, revision: Revision) {
    let join = cx.tables.replication.join.as_mut();
    if let Some(join) = join.filter(|join| join.round == round) {
        join.pending.remove(from);
        join.revisions.insert(from.clone(), revision);
        finish(cx);
    }
}

/// Excludes an unreachable peer from the current round.
pub(super) fn peer_unreachable(cx: &mut Context<'_>, vm: &VmId) {
    if let Some(join) = &mut cx.tables.replication.join {
        join.pending.remove(vm);
        join.revisions.remove(vm);
        finish(cx);
    }
}

/// Ends the join once the node has caught up with all peers that responded, and
/// with the log if the log is available.
pub(super) fn finish(cx: &mut Context<'_>) {
    let Some(join) = &cx.tables.replication.join else {
        return;
    };
    if !join.queried || !join.pending.is_empty() {
        return;
    }
    let newest = join.revisions.values().max().copied().unwrap_or_default();
    let log_read = join.log_read;
    if !join.query_all {
        // A subset of the peers can't rule out that the others have newer records.
        if log_read || newest > Revision(0) {
            start_round(cx);
        }
        return;
    }
    if cx.tables.config.revision() < newest {
        relay::schedule_catch_up(cx);
        return;
    }
    let log_unusable = !matches!(
        cx.tables.replication.log,
        crate::tables::LogState::Following | crate::tables::LogState::Unread
    );
    // A node that has served before becomes ready even if the log is unavailable.
    // A node that has just started must first read the log to its end or, if the
    // log is unusable, catch up with a peer that has records.
    if join.rejoin || log_read || log_unusable && newest > Revision(0) {
        if let Some(timer) = join.timer {
            cx.tables.timers.cancel(timer);
        }
        cx.tables.replication.join = None;
        cx.tables.ready = true;
        membership::announce(cx);
    }
}
