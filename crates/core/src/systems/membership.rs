//! Membership: lets nodes hear of each other.
//!
//! Each node probes a few others at an interval; facts travel along with the
//! probes, and deaths, starts and shutdowns are told on at once. The ways
//! weighed and the bounds are in `docs/design/membership.md`.

mod probe;
mod spread;
#[cfg(test)]
mod tests;
mod view;

pub use probe::round;

use super::{Context, Timer};
use crate::{
    ids::{Incarnation, VmId},
    peer::{Gossip, GossipKind, Heartbeat, MemberFact, MemberStatus, Piggyback, Place, Sender},
    tables::MergeOutcome,
};

/// Tells whether a message comes from the newest known life of its sender.
///
/// A message of an older one is counted and must be ignored.
pub fn admits(cx: &mut Context<'_>, from: &Sender) -> bool {
    let known = cx.tables.members.rows().get(&from.vm);
    let old = known.is_some_and(|row| row.incarnation > from.incarnation);
    let admitted = !old && from.vm != cx.cfg.identity.vm && from.incarnation > Incarnation(0);
    cx.tables.probes.stale_messages += u64::from(!admitted);
    admitted
}

/// Takes in a message of an admitted sender.
pub fn heard(cx: &mut Context<'_>, from: &Sender, gossip: Gossip) {
    let Gossip {
        kind,
        own,
        facts,
        piggyback,
    } = gossip;
    if own.vm != from.vm || own.incarnation != from.incarnation {
        cx.tables.probes.stale_messages += 1;
        return;
    }
    learn(cx, own);
    probe::answered(cx, &from.vm);
    for fact in facts {
        learn(cx, fact);
    }
    take_piggyback(cx, from, piggyback);
    answer(cx, &from.vm, kind);
    spread::flush(cx);
}

fn answer(cx: &mut Context<'_>, from: &VmId, kind: GossipKind) {
    match kind {
        GossipKind::Probe => spread::send(cx, from, GossipKind::Ack),
        GossipKind::RelayedProbe => {
            cx.tables.probes.beat += 1;
            spread::send(cx, from, GossipKind::Ack);
        }
        GossipKind::Join => spread::send_all(cx, from),
        GossipKind::ProbeFor { target } => probe::relay(cx, from, &target),
        GossipKind::Ack => probe::pass_on(cx, from),
        GossipKind::News => {
            // A node that is wrongly held for dead must hear of it to object.
            let row = cx.tables.members.rows().get(from);
            if row.is_some_and(|row| row.status != MemberStatus::Alive) {
                spread::send(cx, from, GossipKind::News);
            }
        }
    }
}

/// Takes in one fact; what changed is told on at once.
pub(super) fn learn(cx: &mut Context<'_>, fact: MemberFact) {
    if fact.vm == cx.cfg.identity.vm {
        return object(cx, &fact);
    }
    let (vm, status) = (fact.vm.clone(), fact.status);
    if cx.tables.members.merge(fact, cx.now) != MergeOutcome::Changed {
        return;
    }
    cx.tables.probes.urgent_facts.insert(vm.clone());
    if status == MemberStatus::Suspect {
        let at = cx.now + cx.cfg.membership.suspicion_timeout;
        cx.tables.timers.subscribe(at, Timer::Suspicion(vm));
    }
}

/// Answers what others say of this node: it lives.
fn object(cx: &mut Context<'_>, fact: &MemberFact) {
    let probes = &mut cx.tables.probes;
    let own = cx.cfg.identity.incarnation;
    if fact.incarnation > own {
        probes.superseded += 1;
    }
    let wrong = fact.incarnation == own && fact.status != MemberStatus::Alive;
    if wrong && fact.beat >= probes.beat {
        probes.beat = fact.beat.saturating_add(1);
        probes.own_fact_urgent = true;
    }
}

/// Counts a node as dead that was suspect for too long.
pub fn suspicion_over(cx: &mut Context<'_>, vm: &VmId) {
    let Some(row) = cx.tables.members.rows().get(vm) else {
        return;
    };
    if row.status != MemberStatus::Suspect {
        return;
    }
    let due = row.status_changed_at + cx.cfg.membership.suspicion_timeout;
    if due > cx.now {
        cx.tables
            .timers
            .subscribe(due, Timer::Suspicion(vm.clone()));
        return;
    }
    judge(cx, vm, MemberStatus::Dead);
    spread::flush(cx);
}

/// Says that a node is suspect or dead as of its last beat.
fn judge(cx: &mut Context<'_>, vm: &VmId, status: MemberStatus) {
    if let Some(fact) = cx.tables.members.fact(vm, true) {
        learn(cx, MemberFact { status, ..fact });
    }
}

/// Tells the others at once what this node says of itself.
pub fn announce(cx: &mut Context<'_>) {
    cx.tables.probes.beat += 1;
    cx.tables.probes.own_fact_urgent = true;
    spread::flush(cx);
}

/// Takes the VM list's nodes into the members; runs when the list changed.
pub fn listed(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    for vm in tables.vms.nodes() {
        if vm.vm == cx.cfg.identity.vm {
            continue;
        }
        let place = vm.peer_address.map(|peer_address| Place {
            address: vm.address,
            peer_address,
            failure_domain: vm.failure_domain.clone(),
        });
        tables.members.add_listed(&vm.vm, place, cx.now);
    }
    let gone = |vm: &VmId| tables.vms.get(vm).is_none();
    let rows = tables.members.rows().iter();
    let unheard: Vec<VmId> = rows
        .filter(|(vm, row)| !row.was_seen() && gone(vm))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in unheard {
        tables.members.remove(&vm);
    }
}

fn own_fact(cx: &Context<'_>) -> MemberFact {
    let identity = &cx.cfg.identity;
    let peer_address = cx.cfg.membership.peer_address;
    MemberFact {
        vm: identity.vm.clone(),
        incarnation: identity.incarnation,
        beat: cx.tables.probes.beat,
        status: MemberStatus::Alive,
        said: Heartbeat {
            revision: cx.tables.config.revision(),
            digest: cx.tables.config.digest().short(),
            draining: cx.tables.draining_since.is_some(),
            ready: cx.tables.ready,
            open_requests: u32::try_from(cx.tables.requests.len()).unwrap_or(u32::MAX),
        },
        place: peer_address.map(|peer_address| Place {
            address: identity.address,
            peer_address,
            failure_domain: identity.failure_domain.clone(),
        }),
    }
}

/// Collects what other parts send along with a message.
fn piggyback(_cx: &Context<'_>) -> Vec<Piggyback> {
    Vec::new()
}

/// Hands what came along to the parts that it is for.
fn take_piggyback(_cx: &mut Context<'_>, _from: &Sender, piggyback: Vec<Piggyback>) {
    if let Some(part) = piggyback.into_iter().next() {
        match part {}
    }
}
