//! Builds and sends membership messages of limited size.

use std::net::SocketAddr;

use super::{Context, own_fact, piggyback, view};
use crate::{
    ids::VmId,
    message::Action,
    peer::{Gossip, GossipKind, MemberFact, MemberStatus, PeerMessage},
};

/// Number of times that a fact is sent, per doubling of the number of nodes.
const SENDS_PER_DOUBLING: u32 = 3;

/// Sends a message with the facts that were sent the fewest times so far.
pub(super) fn send(cx: &mut Context<'_>, to: &VmId, kind: GossipKind) {
    let Some(address) = address(cx, to) else {
        return;
    };
    let nodes = u32::try_from(cx.tables.members.rows().len()).unwrap_or(u32::MAX);
    let doublings = u32::BITS - nodes.leading_zeros();
    let max = cx.cfg.membership.facts_per_message as usize;
    let mut facts = cx
        .tables
        .members
        .take_gossip(max, SENDS_PER_DOUBLING * doublings.max(1));
    facts.extend(correction(cx, to));
    push_message(cx, to, address, kind, facts);
}

/// Returns the fact about the receiver if it is not considered alive, so that
/// the receiver can refute it.
fn correction(cx: &Context<'_>, to: &VmId) -> Option<MemberFact> {
    let fact = cx.tables.members.fact(to, false);
    fact.filter(|fact| fact.status != MemberStatus::Alive)
}

/// Sends all facts to a node that has contact with no other node.
pub(super) fn send_all(cx: &mut Context<'_>, to: &VmId) {
    let Some(address) = address(cx, to) else {
        return;
    };
    let members = &cx.tables.members;
    let others = members.iter().filter(|(vm, _)| *vm != to);
    let mut facts: Vec<MemberFact> = others
        .filter_map(|(vm, _)| members.fact(vm, true))
        .collect();
    facts.extend(correction(cx, to));
    push_message(cx, to, address, GossipKind::Ack, facts);
}

/// Sends a node the fact about another node.
pub(super) fn send_fact(cx: &mut Context<'_>, to: &VmId, about: &VmId) {
    let Some(address) = address(cx, to) else {
        return;
    };
    let facts = cx.tables.members.fact(about, true).into_iter().collect();
    push_message(cx, to, address, GossipKind::Facts, facts);
}

/// Sends the queued changes to a few random nodes at once.
pub(super) fn flush(cx: &mut Context<'_>) {
    let probes = &mut cx.tables.probes;
    if probes.urgent_facts.is_empty() && !probes.own_fact_urgent {
        return;
    }
    probes.own_fact_urgent = false;
    let urgent = std::mem::take(&mut probes.urgent_facts);
    let members = &cx.tables.members;
    let facts = urgent.iter().filter_map(|vm| members.fact(vm, true));
    let facts: Vec<MemberFact> = facts.collect();
    view::update_nodes(cx);
    for vm in random_live(cx, cx.cfg.membership.fanout as usize) {
        if let Some(address) = address(cx, &vm) {
            push_message(cx, &vm, address, GossipKind::Facts, facts.clone());
        }
    }
}

/// Returns up to `count` random live nodes.
pub(super) fn random_live(cx: &mut Context<'_>, count: usize) -> Vec<VmId> {
    let live = &cx.tables.probes.view.live;
    let chosen = rand::seq::index::sample(cx.rng, live.len(), count.min(live.len()));
    chosen.into_iter().map(|at| live[at].clone()).collect()
}

fn address(cx: &Context<'_>, vm: &VmId) -> Option<SocketAddr> {
    let row = cx.tables.members.rows().get(vm)?;
    row.place.as_ref().map(|place| place.peer_address)
}

fn push_message(
    cx: &mut Context<'_>,
    to: &VmId,
    address: SocketAddr,
    kind: GossipKind,
    facts: Vec<MemberFact>,
) {
    let gossip = Gossip {
        kind,
        own: own_fact(cx),
        facts,
        piggyback: piggyback(cx),
    };
    cx.out.push(Action::Peer {
        to: to.clone(),
        address,
        message: PeerMessage::Gossip(gossip),
    });
}
