//! Selects the nodes that this node probes.
//!
//! All nodes are placed on a ring by the hash of their names. A node is probed
//! by a few of its predecessors, in different failure domains if possible, so
//! the loss of one failure domain never removes all of its probers.

use std::collections::BTreeSet;

use super::Context;
use crate::{
    ids::{FailureDomain, VmId},
    peer::MemberStatus,
    rendezvous,
};

/// Number of nodes that probe one node.
pub(super) const PROBERS: usize = 3;
/// Number of predecessors on the ring that are searched for different failure
/// domains.
const SEARCH_STEPS: usize = 16;
/// Hash key that places nodes on the ring.
const RING_HASH_KEY: &str = "ring";

#[derive(Debug, Clone, Copy)]
pub(super) struct RingMember<'a> {
    pub(super) vm: &'a VmId,
    pub(super) domain: &'a FailureDomain,
}

/// Updates the lists of live and absent nodes if members have changed.
pub(super) fn update_nodes(cx: &mut Context<'_>) {
    let version = cx.tables.members.version();
    let view = &mut cx.tables.probes.view;
    if view.version == version {
        return;
    }
    view.version = version;
    view.live.clear();
    view.absent.clear();
    for (vm, row) in cx.tables.members.rows() {
        if row.place.is_none() {
            continue;
        }
        let absent = row.status == MemberStatus::Dead || !row.was_seen();
        let list = if absent {
            &mut view.absent
        } else {
            &mut view.live
        };
        list.push(vm.clone());
    }
}

/// Updates the nodes that this node probes if members have changed. This sorts
/// the ring, so it runs once per round and not for each message.
pub(super) fn update_targets(cx: &mut Context<'_>) {
    let version = cx.tables.members.version();
    if cx.tables.probes.view.targets_version == version {
        return;
    }
    let own = &cx.cfg.identity;
    let mut ring = vec![RingMember {
        vm: &own.vm,
        domain: &own.failure_domain,
    }];
    let rows = cx.tables.members.rows().iter();
    let alive = rows.filter(|(_, row)| row.status != MemberStatus::Dead);
    ring.extend(alive.filter_map(|(vm, row)| {
        let domain = row.failure_domain()?;
        Some(RingMember { vm, domain })
    }));
    let targets = targets(ring, &own.vm);
    let view = &mut cx.tables.probes.view;
    view.targets = targets;
    view.targets_version = version;
}

/// Returns the nodes of a ring that `own` probes. They are among its next
/// [`SEARCH_STEPS`] successors.
pub(super) fn targets(mut ring: Vec<RingMember<'_>>, own: &VmId) -> BTreeSet<VmId> {
    ring.sort_by_cached_key(|member| {
        (
            rendezvous::score(RING_HASH_KEY, member.vm.as_str()),
            member.vm,
        )
    });
    let Some(index) = ring.iter().position(|member| member.vm == own) else {
        return BTreeSet::new();
    };
    let reach = SEARCH_STEPS.min(ring.len() - 1);
    let after = (1..=reach).map(|step| (index + step) % ring.len());
    let found = after.filter(|at| probers(&ring, *at).contains(&own));
    found.map(|at| ring[at].vm.clone()).collect()
}

/// Returns the nodes that probe the node at index `at` of the ring.
pub(super) fn probers<'a>(ring: &[RingMember<'a>], at: usize) -> Vec<&'a VmId> {
    let steps = SEARCH_STEPS.min(ring.len() - 1);
    let before: Vec<RingMember<'a>> = (1..=steps)
        .map(|step| ring[(at + ring.len() - step) % ring.len()])
        .collect();
    let mut domains = BTreeSet::new();
    let (mut chosen, rest): (Vec<RingMember<'a>>, Vec<RingMember<'a>>) = before
        .into_iter()
        .partition(|member| domains.len() < PROBERS && domains.insert(member.domain));
    let missing = PROBERS.saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen.into_iter().map(|member| member.vm).collect()
}
