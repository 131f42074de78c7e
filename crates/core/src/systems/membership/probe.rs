//! Probes: which nodes answer, and which are suspect.

use rand::Rng;

use super::{Context, Timer, judge, spread, view};
use crate::{
    ids::VmId,
    peer::{GossipKind, MemberStatus},
    platform::VmRole,
    time::Timestamp,
};

/// Fewest rounds between two beats that carry nothing but fresh figures.
const MIN_ROUNDS_PER_BEAT: u64 = 4;
/// Nodes for each round between two beats, so that the facts of all nodes fit
/// into the bounded messages.
const NODES_PER_BEAT_ROUND: u64 = 45;
/// Rounds between two tries to reach a node that is dead or was never heard.
const ROUNDS_PER_ABSENT: u64 = 2;
/// Nodes that are asked to probe a node which does not answer.
const HELPERS: usize = 2;
/// Nodes for which one probe is relayed at the same time.
const MAX_RELAYS: usize = 8;
/// Intervals between two rounds from which on this process counts as paused.
const PAUSED_AFTER_INTERVALS: u32 = 3;

/// Runs a round: judges the last one, and probes again.
pub fn round(cx: &mut Context<'_>) {
    let next = cx.now + cx.cfg.membership.heartbeat_interval;
    cx.tables.timers.subscribe(next, Timer::Heartbeat);
    notice_own_pause(cx);
    cx.tables.probes.rounds += 1;
    cx.tables.probes.last_round = cx.now;
    let rounds = cx.tables.probes.rounds;
    let nodes = cx.tables.members.rows().len() as u64;
    if rounds.is_multiple_of(MIN_ROUNDS_PER_BEAT.max(nodes / NODES_PER_BEAT_ROUND)) {
        cx.tables.probes.beat += 1;
    }
    view::renew(cx);
    view::renew_targets(cx);
    judge_round(cx);
    search_old(cx);
    view::renew(cx);
    view::renew_targets(cx);
    probe_targets(cx);
    probe_random(cx);
    if rounds.is_multiple_of(ROUNDS_PER_ABSENT) {
        probe_absent(cx);
    }
    spread::flush(cx);
}

/// A process that was paused has heard nobody; it must not blame the others.
fn notice_own_pause(cx: &mut Context<'_>) {
    let last = cx.tables.probes.last_round;
    let bound = cx.cfg.membership.heartbeat_interval * PAUSED_AFTER_INTERVALS;
    if last == Timestamp::default() || cx.now.since(last) < bound {
        return;
    }
    cx.tables.members.reset_timeouts(cx.now);
    let probes = &mut cx.tables.probes;
    probes.own_pauses += 1;
    probes.awaiting_ack.clear();
    probes.beat += 1;
    probes.own_fact_urgent = true;
}

fn judge_round(cx: &mut Context<'_>) {
    let suspect_after = cx.cfg.membership.suspect_after;
    for vm in std::mem::take(&mut cx.tables.probes.awaiting_ack) {
        let probed = cx.tables.probes.view.targets.contains(&vm);
        let Some(row) = cx.tables.members.row_mut(&vm).filter(|_| probed) else {
            continue;
        };
        row.missed_rounds += 1;
        let missed = row.missed_rounds;
        if row.status != MemberStatus::Alive {
            continue;
        }
        if missed >= suspect_after {
            judge(cx, &vm, MemberStatus::Suspect);
        } else if missed + 1 == suspect_after {
            ask_helpers(cx, &vm);
        }
    }
}

fn ask_helpers(cx: &mut Context<'_>, target: &VmId) {
    for helper in spread::choose(cx, HELPERS) {
        if helper != *target {
            let kind = GossipKind::ProbeFor {
                target: target.clone(),
            };
            spread::send(cx, &helper, kind);
        }
    }
}

/// Looks at the row that was not heard for the longest time; one a round is
/// enough, because a row that is not heard stays in front.
fn search_old(cx: &mut Context<'_>) {
    let Some((heard, vm)) = cx.tables.members.oldest() else {
        return;
    };
    let silent = cx.now.since(heard);
    let Some(row) = cx.tables.members.rows().get(&vm) else {
        return;
    };
    if silent < cx.cfg.membership.stale_after {
        return;
    }
    if row.status == MemberStatus::Alive {
        judge(cx, &vm, MemberStatus::Suspect);
    }
    let listed = cx.tables.vms.get(&vm);
    let listed = listed.is_some_and(|vm| vm.role == VmRole::Node);
    let dead_since = row_dead_since(cx, &vm);
    let forget = cx.cfg.membership.forget_after;
    if !listed && dead_since.is_some_and(|since| cx.now.since(since) >= forget) {
        cx.tables.members.remove(&vm);
    } else {
        cx.tables.members.mark_checked(&vm, cx.now);
    }
}

fn row_dead_since(cx: &Context<'_>, vm: &VmId) -> Option<Timestamp> {
    let row = cx.tables.members.rows().get(vm)?;
    (row.status == MemberStatus::Dead).then_some(row.status_changed_at)
}

fn probe_targets(cx: &mut Context<'_>) {
    let alone = cx.tables.probes.view.live.is_empty();
    let targets = cx.tables.probes.view.targets.clone();
    for vm in &targets {
        let kind = if alone {
            GossipKind::Join
        } else {
            GossipKind::Probe
        };
        spread::send(cx, vm, kind);
    }
    cx.tables.probes.awaiting_ack = targets;
}

/// Probes one live node at random, because facts that only went along the
/// ring would need a time in proportion to its length.
fn probe_random(cx: &mut Context<'_>) {
    for vm in spread::choose(cx, 1) {
        if !cx.tables.probes.view.targets.contains(&vm) {
            spread::send(cx, &vm, GossipKind::Probe);
        }
    }
}

/// Tries one node that is dead or was never heard: after a partition both
/// sides hold each other for dead, and one message that gets through ends that.
fn probe_absent(cx: &mut Context<'_>) {
    let absent = &cx.tables.probes.view.absent;
    if absent.is_empty() {
        return;
    }
    let vm = absent[cx.rng.random_range(0..absent.len())].clone();
    if !cx.tables.probes.view.targets.contains(&vm) {
        spread::send(cx, &vm, GossipKind::Probe);
    }
}

/// Notes that a node gave a sign of life.
pub(super) fn answered(cx: &mut Context<'_>, vm: &VmId) {
    cx.tables.probes.awaiting_ack.remove(vm);
    if let Some(row) = cx.tables.members.row_mut(vm) {
        row.missed_rounds = 0;
    }
}

/// Probes a node for another one.
pub(super) fn relay(cx: &mut Context<'_>, requester: &VmId, target: &VmId) {
    let Some(row) = cx.tables.members.row_mut(target) else {
        return;
    };
    if row.probe_requesters.len() < MAX_RELAYS {
        row.probe_requesters.insert(requester.clone());
        spread::send(cx, target, GossipKind::RelayedProbe);
    }
}

/// Passes an answer on to the nodes that asked for the probe.
pub(super) fn pass_on(cx: &mut Context<'_>, from: &VmId) {
    let Some(row) = cx.tables.members.row_mut(from) else {
        return;
    };
    for requester in std::mem::take(&mut row.probe_requesters) {
        spread::send_fact(cx, &requester, from);
    }
}
