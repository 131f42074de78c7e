//! Disseminates reports to all nodes: a watcher sends them to one node of each
//! failure domain, which relays them to the other nodes of its domain.

use std::{collections::BTreeMap, time::Duration};

use super::Context;
use crate::{
    ids::{FailureDomain, VmId},
    message::Action,
    peer::{MemberStatus, PeerMessage},
    rendezvous,
    tables::Urgency,
    time::Timestamp,
    watch::{MAX_MESSAGE_REPORTS, PACKED_REPORT_BYTES, Report, ServerKey, WatchMessage},
};

/// Base time between two rounds of messages.
const BASE_PACE: Duration = Duration::from_millis(500);
/// The time between rounds grows by [`BASE_PACE`] per this many nodes, which
/// limits the per-message overhead in large deployments.
const NODES_PER_PACE: u32 = 90;
/// Number of rounds for which unused allowance is retained.
const ALLOWANCE_ROUNDS: f64 = 2.0;

/// Returns the time between two rounds of messages.
pub(super) fn pace(cx: &Context<'_>) -> Duration {
    BASE_PACE + BASE_PACE * node_count(cx) / NODES_PER_PACE
}

fn node_count(cx: &Context<'_>) -> u32 {
    cx.tables.members.rows().len() as u32 + 1
}

/// Sends pending reports, within the limit on bytes.
pub(super) fn flush(cx: &mut Context<'_>) {
    let (now, pace) = (cx.now, pace(cx));
    if now < cx.tables.watch.last_flush + pace {
        return;
    }
    let reports = take_reports(cx, pace);
    cx.tables.watch.last_flush = now;
    cx.tables.watch.flushes += 1;
    let own = cx.cfg.identity.failure_domain.clone();
    let domains = live_by_domain(cx);
    if !reports.is_empty() {
        let message = WatchMessage::new(true, now, &reports);
        for (domain, vms) in domains.iter().filter(|(domain, _)| **domain != own) {
            let relay = &vms[relay_index(cx, domain) % vms.len()];
            send(cx, relay, message.clone());
        }
    }
    queue_relay(cx, reports);
    let relayed = std::mem::take(&mut cx.tables.watch.relay_queue);
    if relayed.is_empty() {
        return;
    }
    let message = WatchMessage::new(false, now, &relayed);
    for vm in domains.get(&own).into_iter().flatten() {
        send(cx, vm, message.clone());
    }
    cx.tables.watch.relay_queue = relayed.into_iter().skip(MAX_MESSAGE_REPORTS).collect();
}

/// Removes reports from the outbox, as many as the byte limit allows if every
/// node receives them.
fn take_reports(cx: &mut Context<'_>, pace: Duration) -> BTreeMap<ServerKey, Report> {
    let rate =
        f64::from(cx.cfg.watch.bytes_per_s) / f64::from(PACKED_REPORT_BYTES * node_count(cx));
    let watch = &mut cx.tables.watch;
    let elapsed = cx
        .now
        .since(watch.last_flush)
        .min(pace.mul_f64(ALLOWANCE_ROUNDS));
    let max_allowance = (rate * pace.as_secs_f64() * ALLOWANCE_ROUNDS).max(1.0);
    watch.allowance = (watch.allowance + rate * elapsed.as_secs_f64()).min(max_allowance);
    let mut taken = BTreeMap::new();
    let mut repeats = Vec::new();
    while watch.allowance >= 1.0 && taken.len() < MAX_MESSAGE_REPORTS {
        let Some((urgency, vm)) = watch.outbox.pop() else {
            break;
        };
        let report = cx.tables.backends.get(&vm).and_then(|row| row.report);
        let (Some(key), Some(report)) = (watch.keys.get(&vm), report) else {
            continue;
        };
        watch.allowance -= 1.0;
        taken.insert(*key, report);
        if urgency == Urgency::Holds {
            repeats.push(vm);
        }
    }
    for vm in repeats {
        watch.outbox.push(&vm, Urgency::Again);
    }
    taken
}

fn live_by_domain(cx: &Context<'_>) -> BTreeMap<FailureDomain, Vec<VmId>> {
    let mut domains: BTreeMap<FailureDomain, Vec<VmId>> = BTreeMap::new();
    let members = cx.tables.members.iter();
    for (vm, row) in members.filter(|(_, row)| row.status == MemberStatus::Alive) {
        if let Some(domain) = row.failure_domain() {
            domains.entry(domain.clone()).or_default().push(vm.clone());
        }
    }
    domains
}

/// Returns the index of the node that relays reports in a failure domain. It
/// changes with each round, so the loss of one node loses only one message.
fn relay_index(cx: &Context<'_>, domain: &FailureDomain) -> usize {
    let start = rendezvous::score(cx.cfg.identity.vm.as_str(), domain.as_str());
    (start % u64::from(u32::MAX) + cx.tables.watch.flushes) as usize
}

fn send(cx: &mut Context<'_>, to: &VmId, message: WatchMessage) {
    let row = cx.tables.members.get(to);
    if let Some(place) = row.and_then(|row| row.place.as_ref()) {
        cx.out.push(Action::Peer {
            to: to.clone(),
            address: place.peer_address,
            message: PeerMessage::Watch(message),
        });
    }
}

/// Applies reports from another node, and queues them if they are to be relayed.
pub fn apply_message(cx: &mut Context<'_>, message: &WatchMessage) {
    for (key, report) in message.reports(cx.now) {
        apply_report(cx, key, report);
    }
    if message.relay {
        let now: Timestamp = cx.now;
        queue_relay(cx, message.reports(now).collect());
    }
}

fn apply_report(cx: &mut Context<'_>, key: ServerKey, report: Report) {
    let vm = cx.tables.watch.by_key.get(&key);
    let row = vm.and_then(|vm| cx.tables.backends.get_mut(vm));
    let counters = &mut cx.tables.watch.counters;
    let Some(row) = row else {
        counters.unknown += 1;
        return;
    };
    let newer = match &mut row.report {
        Some(stored) => stored.merge(report),
        None => {
            row.report = Some(report);
            true
        }
    };
    match newer {
        true => counters.reports_applied += 1,
        false => counters.stale_reports += 1,
    }
    if newer {
        super::recheck::release_held_back(cx);
    }
}

/// Queues reports to be relayed, only the newest one for each server key.
fn queue_relay(cx: &mut Context<'_>, reports: BTreeMap<ServerKey, Report>) {
    for (key, report) in reports {
        let relayed = cx.tables.watch.relay_queue.entry(key).or_insert(report);
        relayed.merge(report);
    }
}
