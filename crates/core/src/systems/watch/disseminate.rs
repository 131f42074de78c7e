//! Tells all nodes what changed: a watcher tells one node of each failure
//! domain, and that one tells the others of its own.

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

/// Time between two rounds of messages, for a few nodes.
const PACE: Duration = Duration::from_millis(500);
/// Nodes for which that time grows by as much again, so that the bytes around
/// the messages stay few.
const NODES_PER_PACE: u32 = 90;
/// Rounds of messages whose unused allowance is kept.
const KEPT_ROUNDS: f64 = 2.0;

/// Returns the time between two rounds of messages.
pub(super) fn pace(cx: &Context<'_>) -> Duration {
    PACE + PACE * nodes(cx) / NODES_PER_PACE
}

fn nodes(cx: &Context<'_>) -> u32 {
    cx.tables.members.rows().len() as u32 + 1
}

/// Sends what waits, within the bound on bytes.
pub(super) fn flush(cx: &mut Context<'_>) {
    let (now, pace) = (cx.now, pace(cx));
    if now < cx.tables.watch.flushed + pace {
        return;
    }
    let reports = take(cx, pace);
    cx.tables.watch.flushed = now;
    cx.tables.watch.flushes += 1;
    let own = cx.cfg.identity.failure_domain.clone();
    let domains = live_by_domain(cx);
    if !reports.is_empty() {
        let message = WatchMessage::new(true, now, &reports);
        for (domain, vms) in domains.iter().filter(|(domain, _)| **domain != own) {
            let relay = &vms[turn(cx, domain) % vms.len()];
            send(cx, relay, message.clone());
        }
    }
    relay(cx, reports);
    let relayed = std::mem::take(&mut cx.tables.watch.relayed);
    if relayed.is_empty() {
        return;
    }
    let message = WatchMessage::new(false, now, &relayed);
    for vm in domains.get(&own).into_iter().flatten() {
        send(cx, vm, message.clone());
    }
    cx.tables.watch.relayed = relayed.into_iter().skip(MAX_MESSAGE_REPORTS).collect();
}

/// Takes as many reports as all nodes together can bear to receive.
fn take(cx: &mut Context<'_>, pace: Duration) -> BTreeMap<ServerKey, Report> {
    let rate = f64::from(cx.cfg.watch.bytes_per_s) / f64::from(PACKED_REPORT_BYTES * nodes(cx));
    let watch = &mut cx.tables.watch;
    let elapsed = cx.now.since(watch.flushed).min(pace.mul_f64(KEPT_ROUNDS));
    let most = (rate * pace.as_secs_f64() * KEPT_ROUNDS).max(1.0);
    watch.allowance = (watch.allowance + rate * elapsed.as_secs_f64()).min(most);
    let mut taken = BTreeMap::new();
    let mut again = Vec::new();
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
            again.push(vm);
        }
    }
    for vm in again {
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

/// Chooses who passes reports on; another one each time, so that the loss of
/// one node loses one message.
fn turn(cx: &Context<'_>, domain: &FailureDomain) -> usize {
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

/// Takes in reports of another node.
pub fn apply_message(cx: &mut Context<'_>, message: &WatchMessage) {
    for (key, report) in message.reports(cx.now) {
        learn(cx, key, report);
    }
    if message.relay {
        let now: Timestamp = cx.now;
        relay(cx, message.reports(now).collect());
    }
}

fn learn(cx: &mut Context<'_>, key: ServerKey, report: Report) {
    let vm = cx.tables.watch.by_key.get(&key);
    let row = vm.and_then(|vm| cx.tables.backends.get_mut(vm));
    let counters = &mut cx.tables.watch.counters;
    let Some(row) = row else {
        counters.unknown += 1;
        return;
    };
    let newer = match &mut row.report {
        Some(known) => known.merge(report),
        None => {
            row.report = Some(report);
            true
        }
    };
    match newer {
        true => counters.heard += 1,
        false => counters.old += 1,
    }
    if newer {
        super::recheck::look_again(cx);
    }
}

/// Keeps reports to pass on, the newest one of each life.
fn relay(cx: &mut Context<'_>, reports: BTreeMap<ServerKey, Report>) {
    for (key, report) in reports {
        let relayed = cx.tables.watch.relayed.entry(key).or_insert(report);
        relayed.merge(report);
    }
}
