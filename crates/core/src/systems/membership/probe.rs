//! Probes: which nodes answer, and which are suspect.

use rand::Rng;

use super::{Context, Timer, gossip, set_status, view};
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
    let next = cx.now + cx.cfg.membership.heartbeat;
    cx.tables.timers.subscribe(next, Timer::Heartbeat);
    detect_own_pause(cx);
    cx.tables.probes.rounds += 1;
    cx.tables.probes.last_round = cx.now;
    let rounds = cx.tables.probes.rounds;
    let nodes = cx.tables.members.rows().len() as u64;
    if rounds.is_multiple_of(MIN_ROUNDS_PER_BEAT.max(nodes / NODES_PER_BEAT_ROUND)) {
        cx.tables.probes.beat += 1;
    }
    view::renew(cx);
    view::renew_targets(cx);
    evaluate_round(cx);
    check_oldest(cx);
    view::renew(cx);
    view::renew_targets(cx);
    probe_targets(cx);
    probe_random(cx);
    if rounds.is_multiple_of(ROUNDS_PER_ABSENT) {
        probe_absent(cx);
    }
    gossip::flush(cx);
}

/// A process that was paused has heard nobody; it must not blame the others.
fn detect_own_pause(cx: &mut Context<'_>) {
    let last = cx.tables.probes.last_round;
    let bound = cx.cfg.membership.heartbeat * PAUSED_AFTER_INTERVALS;
    if last == Timestamp::default() || cx.now.since(last) < bound {
        return;
    }
    cx.tables.members.excuse_all(cx.now);
    let probes = &mut cx.tables.probes;
    probes.own_pauses += 1;
    probes.awaiting.clear();
    probes.beat += 1;
    probes.own_urgent = true;
}

fn evaluate_round(cx: &mut Context<'_>) {
    let suspect_after = cx.cfg.membership.suspect_after;
    for vm in std::mem::take(&mut cx.tables.probes.awaiting) {
        let probed = cx.tables.probes.view.targets.contains(&vm);
        let Some(row) = cx.tables.members.row_mut(&vm).filter(|_| probed) else {
            continue;
        };
        row.missed += 1;
        let missed = row.missed;
        if row.status != MemberStatus::Alive {
            continue;
        }
        if missed >= suspect_after {
            set_status(cx, &vm, MemberStatus::Suspect);
        } else if missed + 1 == suspect_after {
            request_relayed_probes(cx, &vm);
        }
    }
}

fn request_relayed_probes(cx: &mut Context<'_>, target: &VmId) {
    for helper in gossip::choose(cx, HELPERS) {
        if helper != *target {
            let kind = GossipKind::ProbeFor {
                target: target.clone(),
            };
            gossip::send(cx, &helper, kind);
        }
    }
}

/// Looks at the row that was not heard for the longest time; one a round is
/// enough, because a row that is not heard stays in front.
fn check_oldest(cx: &mut Context<'_>) {
    let Some((heard, vm)) = cx.tables.members.oldest() else {
        return;
    };
    let silent = cx.now.since(heard);
    let Some(row) = cx.tables.members.rows().get(&vm) else {
        return;
    };
    if silent < cx.cfg.membership.stale {
        return;
    }
    if row.status == MemberStatus::Alive {
        set_status(cx, &vm, MemberStatus::Suspect);
    }
    let listed = cx.tables.vms.get(&vm);
    let listed = listed.is_some_and(|vm| vm.role == VmRole::Node);
    let dead_since = row_dead_since(cx, &vm);
    let forget = cx.cfg.membership.forget;
    if !listed && dead_since.is_some_and(|since| cx.now.since(since) >= forget) {
        cx.tables.members.forget(&vm);
    } else {
        cx.tables.members.checked(&vm, cx.now);
    }
}

fn row_dead_since(cx: &Context<'_>, vm: &VmId) -> Option<Timestamp> {
    let row = cx.tables.members.rows().get(vm)?;
    (row.status == MemberStatus::Dead).then_some(row.changed)
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
        gossip::send(cx, vm, kind);
    }
    cx.tables.probes.awaiting = targets;
}

/// Probes one live node at random, because facts that only went along the
/// ring would need a time in proportion to its length.
fn probe_random(cx: &mut Context<'_>) {
    for vm in gossip::choose(cx, 1) {
        if !cx.tables.probes.view.targets.contains(&vm) {
            gossip::send(cx, &vm, GossipKind::Probe);
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
        gossip::send(cx, &vm, GossipKind::Probe);
    }
}

/// Notes that a node gave a sign of life.
pub(super) fn record_contact(cx: &mut Context<'_>, vm: &VmId) {
    cx.tables.probes.awaiting.remove(vm);
    if let Some(row) = cx.tables.members.row_mut(vm) {
        row.missed = 0;
    }
}

/// Probes a node for another one.
pub(super) fn relay(cx: &mut Context<'_>, requester: &VmId, target: &VmId) {
    let Some(row) = cx.tables.members.row_mut(target) else {
        return;
    };
    if row.relays.len() < MAX_RELAYS {
        row.relays.insert(requester.clone());
        gossip::send(cx, target, GossipKind::RelayedProbe);
    }
}

/// Passes an answer on to the nodes that asked for the probe.
pub(super) fn pass_on(cx: &mut Context<'_>, from: &VmId) {
    let Some(row) = cx.tables.members.row_mut(from) else {
        return;
    };
    for requester in std::mem::take(&mut row.relays) {
        gossip::send_fact(cx, &requester, from);
    }
}
