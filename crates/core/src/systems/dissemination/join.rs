//! Keeps a node that starts or returns from serving an old configuration.

use rand::{Rng, seq::IteratorRandom};

use super::{Context, relay, send};
use crate::{
    ids::{Revision, VmId},
    message::Action,
    peer::ConfigMessage,
    systems::{Timer, membership},
    tables::Join,
};

/// Peers that are asked in a round after one in which nobody held anything:
/// nodes that start together while the log is out must not all ask all others
/// again and again.
const FEW: usize = 8;

/// Begins to ask the peers; nothing is served until that is over.
pub(super) fn begin(cx: &mut Context<'_>) {
    if let Some(join) = &cx.tables.follow.join {
        if join.asked {
            // What peers answered before the pause is old.
            round(cx);
        }
        return;
    }
    cx.tables.ready = false;
    cx.tables.follow.join = Some(Join {
        began: cx.now,
        again: true,
        ..Join::default()
    });
    membership::announce(cx);
    watch(cx);
    round(cx);
}

/// Bounds the time for which a node that has started says nothing of its
/// wait; runs once.
pub fn start(cx: &mut Context<'_>) {
    if let Some(join) = &mut cx.tables.follow.join {
        join.began = cx.now;
        watch(cx);
    }
}

fn watch(cx: &mut Context<'_>) {
    let at = cx.now + cx.cfg.dissemination.ready_within;
    cx.tables.timers.subscribe(at, Timer::JoinOverdue);
}

/// Tells the operators that the node still does not serve, and goes on
/// waiting: to serve an old configuration would be worse.
pub fn join_overdue(cx: &mut Context<'_>) {
    let Some(join) = &cx.tables.follow.join else {
        return;
    };
    let waited = cx.now.since(join.began);
    // The subscription may be of an earlier wait, which is over.
    if waited < cx.cfg.dissemination.ready_within {
        return;
    }
    let newest = join.heard.values().max().copied().unwrap_or_default();
    cx.tables.follow.counters.joins_overdue += 1;
    cx.out.push(Action::WarnNotReady { waited, newest });
    watch(cx);
}

/// Notes that the VM list is there.
pub fn vms_known(cx: &mut Context<'_>) {
    let join = cx.tables.follow.join.as_ref();
    if join.is_some_and(|join| !join.asked) {
        round(cx);
    }
}

/// Ends the wait for peers that did not answer; runs at the round's end.
pub fn join_round(cx: &mut Context<'_>) {
    let Some(join) = &mut cx.tables.follow.join else {
        return;
    };
    // After a pause of this process, the answers may still wait to be read.
    let in_time = cx.now.since(join.asked_at) < cx.cfg.dissemination.join_wait * 2;
    if in_time {
        join.pending.clear();
        finish(cx);
    }
    // The end of a round may have begun the next one.
    let join = cx.tables.follow.join.as_ref();
    if join.is_some_and(|join| !in_time || join.pending.is_empty()) {
        round(cx);
    }
}

fn round(cx: &mut Context<'_>) {
    let own = &cx.cfg.identity.vm;
    let nodes = cx.tables.vms.nodes();
    let peers = nodes.filter(|vm| vm.vm != *own && vm.peer_address.is_some());
    let peers = peers.map(|vm| vm.vm.clone());
    let Some(join) = &mut cx.tables.follow.join else {
        return;
    };
    let held = join.heard.values().any(|revision| *revision > Revision(0));
    join.all = !join.asked || join.again || held || join.log_read;
    let peers: Vec<VmId> = match join.all {
        true => peers.collect(),
        false => peers.choose_multiple(cx.rng, FEW),
    };
    cx.tables.follow.counters.joins += u64::from(!join.asked);
    join.asked = true;
    join.heard.clear();
    join.asked_at = cx.now;
    join.round = cx.rng.random();
    let question = ConfigMessage::QueryRevision { round: join.round };
    join.pending = peers.iter().cloned().collect();
    let at = cx.now + cx.cfg.dissemination.join_wait;
    let timers = &mut cx.tables.timers;
    if let Some(timer) = join.timer.take() {
        timers.cancel(timer);
    }
    join.timer = Some(timers.subscribe(at, Timer::JoinRound));
    for peer in &peers {
        send(cx, peer, question.clone());
    }
    finish(cx);
}

/// Takes in a peer's revision, if it answers the question that is open.
pub(super) fn answered(cx: &mut Context<'_>, from: &VmId, round: u64, revision: Revision) {
    let join = cx.tables.follow.join.as_mut();
    if let Some(join) = join.filter(|join| join.round == round) {
        join.pending.remove(from);
        join.heard.insert(from.clone(), revision);
        finish(cx);
    }
}

/// Leaves a peer out that can't be reached.
pub(super) fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    if let Some(join) = &mut cx.tables.follow.join {
        join.pending.remove(vm);
        join.heard.remove(vm);
        finish(cx);
    }
}

/// Lets the node serve, once it holds what the peers that answered hold, and
/// what the log holds if that can be read.
pub(super) fn finish(cx: &mut Context<'_>) {
    let Some(join) = &cx.tables.follow.join else {
        return;
    };
    if !join.asked || !join.pending.is_empty() {
        return;
    }
    let newest = join.heard.values().max().copied().unwrap_or_default();
    let log_read = join.log_read;
    if !join.all {
        // A few can't tell what the others hold.
        if log_read || newest > Revision(0) {
            round(cx);
        }
        return;
    }
    if cx.tables.config.revision() < newest {
        relay::catch_up_soon(cx);
        return;
    }
    let log_refused = !matches!(
        cx.tables.follow.log,
        crate::tables::LogState::Following | crate::tables::LogState::Unread
    );
    // A node that has served goes on while the log is out; one that starts
    // knows nothing.
    if join.again || log_read || log_refused && newest > Revision(0) {
        if let Some(timer) = join.timer {
            cx.tables.timers.cancel(timer);
        }
        cx.tables.follow.join = None;
        cx.tables.ready = true;
        membership::announce(cx);
    }
}
