//! Failure detection: probes nodes and marks those that do not answer suspect.

use rand::Rng;

use super::{Context, Timer, gossip, set_status, view};
use crate::{
    ids::VmId,
    peer::{GossipKind, MemberStatus},
    platform::VmRole,
    time::Timestamp,
};

/// Minimum number of rounds between two periodic heartbeats, which only refresh the
/// node's reported state.
const MIN_ROUNDS_PER_BEAT: u64 = 4;
/// Number of nodes per round between two periodic heartbeats. With more nodes, each
/// sends them less often, so the facts of all nodes fit into the limited messages.
const NODES_PER_BEAT_ROUND: u64 = 45;
/// Number of rounds between two probes of a node that is dead or was never seen.
const ROUNDS_PER_ABSENT_PROBE: u64 = 2;
/// Number of nodes that are requested to probe an unresponsive node.
const RELAY_HELPERS: usize = 2;
/// Maximum number of requesters that wait for the same relayed probe.
const MAX_RELAY_REQUESTERS: usize = 8;
/// Number of heartbeat intervals without a round after which this process
/// considers itself paused.
const PAUSED_AFTER_INTERVALS: u32 = 3;

/// Runs one probe round: evaluates the previous one, then sends new probes.
pub fn round(cx: &mut Context<'_>) {
    let next = cx.now + cx.cfg.membership.heartbeat_interval;
    cx.tables.timers.subscribe(next, Timer::Heartbeat);
    detect_own_pause(cx);
    cx.tables.probes.rounds += 1;
    cx.tables.probes.last_round = cx.now;
    let rounds = cx.tables.probes.rounds;
    let nodes = cx.tables.members.rows().len() as u64;
    if rounds.is_multiple_of(MIN_ROUNDS_PER_BEAT.max(nodes / NODES_PER_BEAT_ROUND)) {
        cx.tables.probes.beat += 1;
    }
    view::update_nodes(cx);
    view::update_targets(cx);
    evaluate_round(cx);
    check_oldest(cx);
    view::update_nodes(cx);
    view::update_targets(cx);
    probe_targets(cx);
    probe_random(cx);
    if rounds.is_multiple_of(ROUNDS_PER_ABSENT_PROBE) {
        probe_absent(cx);
    }
    gossip::flush(cx);
}

/// Detects that this process was paused. It received no messages meanwhile, so
/// the answers missing from all nodes are not counted as missed.
fn detect_own_pause(cx: &mut Context<'_>) {
    let last = cx.tables.probes.last_round;
    let max_gap = cx.cfg.membership.heartbeat_interval * PAUSED_AFTER_INTERVALS;
    if last == Timestamp::default() || cx.now.since(last) < max_gap {
        return;
    }
    cx.tables.members.reset_timeouts(cx.now);
    let probes = &mut cx.tables.probes;
    probes.own_pauses += 1;
    probes.awaiting_ack.clear();
    probes.beat += 1;
    probes.own_fact_urgent = true;
}

fn evaluate_round(cx: &mut Context<'_>) {
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
            set_status(cx, &vm, MemberStatus::Suspect);
        } else if missed + 1 == suspect_after {
            request_relayed_probes(cx, &vm);
        }
    }
}

fn request_relayed_probes(cx: &mut Context<'_>, target: &VmId) {
    for helper in gossip::random_live(cx, RELAY_HELPERS) {
        if helper != *target {
            let kind = GossipKind::ProbeFor {
                target: target.clone(),
            };
            gossip::send(cx, &helper, kind);
        }
    }
}

/// Checks the member without contact for the longest time: marks it suspect, or
/// removes it if it is long dead. One member per round is enough, because a
/// member without contact stays the oldest.
fn check_oldest(cx: &mut Context<'_>) {
    let Some((last_contact, vm)) = cx.tables.members.oldest() else {
        return;
    };
    let without_contact = cx.now.since(last_contact);
    let Some(row) = cx.tables.members.rows().get(&vm) else {
        return;
    };
    if without_contact < cx.cfg.membership.stale_after {
        return;
    }
    if row.status == MemberStatus::Alive {
        set_status(cx, &vm, MemberStatus::Suspect);
    }
    let listed = cx.tables.vms.get(&vm);
    let listed = listed.is_some_and(|vm| vm.role == VmRole::Node);
    let dead_since = dead_since(cx, &vm);
    let forget_after = cx.cfg.membership.forget_after;
    if !listed && dead_since.is_some_and(|since| cx.now.since(since) >= forget_after) {
        cx.tables.members.remove(&vm);
    } else {
        cx.tables.members.mark_checked(&vm, cx.now);
    }
}

fn dead_since(cx: &Context<'_>, vm: &VmId) -> Option<Timestamp> {
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
        gossip::send(cx, vm, kind);
    }
    cx.tables.probes.awaiting_ack = targets;
}

/// Probes one random live node. Facts that only travelled along the ring would
/// need a time proportional to its length.
fn probe_random(cx: &mut Context<'_>) {
    for vm in gossip::random_live(cx, 1) {
        if !cx.tables.probes.view.targets.contains(&vm) {
            gossip::send(cx, &vm, GossipKind::Probe);
        }
    }
}

/// Probes one node that is dead or was never seen. After a partition both sides
/// consider each other dead; one delivered message ends that.
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

/// Records a message from a node, which counts as an answer to a probe.
pub(super) fn record_contact(cx: &mut Context<'_>, vm: &VmId) {
    cx.tables.probes.awaiting_ack.remove(vm);
    if let Some(row) = cx.tables.members.row_mut(vm) {
        row.missed_rounds = 0;
    }
}

/// Probes a node on behalf of another node.
pub(super) fn relay_probe(cx: &mut Context<'_>, requester: &VmId, target: &VmId) {
    let Some(row) = cx.tables.members.row_mut(target) else {
        return;
    };
    if row.probe_requesters.len() < MAX_RELAY_REQUESTERS {
        row.probe_requesters.insert(requester.clone());
        gossip::send(cx, target, GossipKind::RelayedProbe);
    }
}

/// Relays an answer to the nodes that requested the probe.
pub(super) fn relay_answer(cx: &mut Context<'_>, from: &VmId) {
    let Some(row) = cx.tables.members.row_mut(from) else {
        return;
    };
    for requester in std::mem::take(&mut row.probe_requesters) {
        gossip::send_fact(cx, &requester, from);
    }
}
