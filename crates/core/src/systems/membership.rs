//! Membership: nodes discover each other and detect failures by gossip.
//!
//! Each node probes a few others at a fixed interval. Facts about nodes are
//! attached to the probes; deaths, starts and shutdowns are sent at once. The
//! alternatives and bounds are described in `docs/design/membership.md`.

mod gossip;
mod probe;
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

/// Returns whether a message comes from the newest observed incarnation of its
/// sender.
///
/// A message from an older incarnation is counted and must be ignored.
pub fn accepts(cx: &mut Context<'_>, from: &Sender) -> bool {
    let row = cx.tables.members.rows().get(&from.vm);
    let old = row.is_some_and(|row| row.incarnation > from.incarnation);
    let accepted = !old && from.vm != cx.cfg.identity.vm && from.incarnation > Incarnation(0);
    cx.tables.probes.stale_messages += u64::from(!accepted);
    accepted
}

/// Applies a message from a sender that [`accepts`] has accepted.
pub fn apply_gossip(cx: &mut Context<'_>, from: &Sender, gossip: Gossip) {
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
    apply_fact(cx, own);
    probe::record_contact(cx, &from.vm);
    for fact in facts {
        apply_fact(cx, fact);
    }
    apply_piggyback(cx, from, piggyback);
    respond(cx, &from.vm, kind);
    gossip::flush(cx);
}

fn respond(cx: &mut Context<'_>, from: &VmId, kind: GossipKind) {
    match kind {
        GossipKind::Probe => gossip::send(cx, from, GossipKind::Ack),
        GossipKind::RelayedProbe => {
            cx.tables.probes.beat += 1;
            gossip::send(cx, from, GossipKind::Ack);
        }
        GossipKind::Join => gossip::send_all(cx, from),
        GossipKind::ProbeFor { target } => probe::relay_probe(cx, from, &target),
        GossipKind::Ack => probe::relay_answer(cx, from),
        GossipKind::Facts => {
            // A node that is wrongly considered dead must receive that fact to refute it.
            let row = cx.tables.members.rows().get(from);
            if row.is_some_and(|row| row.status != MemberStatus::Alive) {
                gossip::send(cx, from, GossipKind::Facts);
            }
        }
    }
}

/// Applies one fact; if it changes a member, it is queued for immediate
/// dissemination.
pub(super) fn apply_fact(cx: &mut Context<'_>, fact: MemberFact) {
    if fact.vm == cx.cfg.identity.vm {
        return refute(cx, &fact);
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

/// Refutes a fact that marks this node suspect or dead, by a greater beat.
fn refute(cx: &mut Context<'_>, fact: &MemberFact) {
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

/// Marks a node dead if it stayed suspect for the full suspicion timeout.
pub fn suspicion_expired(cx: &mut Context<'_>, vm: &VmId) {
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
    set_status(cx, vm, MemberStatus::Dead);
    gossip::flush(cx);
}

/// Marks a node suspect or dead as of its last beat.
fn set_status(cx: &mut Context<'_>, vm: &VmId, status: MemberStatus) {
    if let Some(fact) = cx.tables.members.fact(vm, true) {
        apply_fact(cx, MemberFact { status, ..fact });
    }
}

/// Sends this node's own state to others at once, with a new beat.
pub fn announce(cx: &mut Context<'_>) {
    cx.tables.probes.beat += 1;
    cx.tables.probes.own_fact_urgent = true;
    gossip::flush(cx);
}

/// Adds the nodes of the VM list to the members and removes members that were
/// never seen and are no longer listed. Called when the list changed.
pub fn apply_vm_list(cx: &mut Context<'_>) {
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
    let unlisted = |vm: &VmId| tables.vms.get(vm).is_none();
    let rows = tables.members.rows().iter();
    let obsolete: Vec<VmId> = rows
        .filter(|(vm, row)| !row.was_seen() && unlisted(vm))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in obsolete {
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
        heartbeat: Heartbeat {
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

/// Collects the data that other components attach to a message.
fn piggyback(_cx: &Context<'_>) -> Vec<Piggyback> {
    Vec::new()
}

/// Passes attached data to the components that it is for.
fn apply_piggyback(_cx: &mut Context<'_>, _from: &Sender, piggyback: Vec<Piggyback>) {
    if let Some(item) = piggyback.into_iter().next() {
        match item {}
    }
}
