//! Says which nodes this node probes.
//!
//! All nodes stand on a ring by the hash of their names. A node is probed by
//! a few that stand before it, of unlike failure domains where there are any,
//! so that the loss of a failure domain never takes all of its probers.

use std::collections::BTreeSet;

use super::Context;
use crate::{
    ids::{FailureDomain, VmId},
    peer::MemberStatus,
    rendezvous,
    tables::MemberView,
};

/// Nodes that probe one node.
pub(super) const PROBERS: usize = 3;
/// Steps back on the ring in search of unlike failure domains.
const SEARCH_STEPS: usize = 16;
/// Key of the hash that places nodes on the ring.
const RING: &str = "ring";

#[derive(Debug, Clone, Copy)]
pub(super) struct Seat<'a> {
    pub(super) vm: &'a VmId,
    pub(super) domain: &'a FailureDomain,
}

/// Renews the view if members changed since it was made.
pub(super) fn renew(cx: &mut Context<'_>) {
    let version = cx.tables.members.version();
    if cx.tables.probes.view.version == version {
        return;
    }
    let mut view = MemberView {
        version,
        ..MemberView::default()
    };
    let own = &cx.cfg.identity;
    let mut ring = vec![Seat {
        vm: &own.vm,
        domain: &own.failure_domain,
    }];
    for (vm, row) in cx.tables.members.rows() {
        let Some(domain) = row.failure_domain() else {
            continue;
        };
        let dead = row.status == MemberStatus::Dead;
        if !dead {
            ring.push(Seat { vm, domain });
        }
        let list = if dead || !row.was_heard() {
            &mut view.absent
        } else {
            &mut view.live
        };
        list.push(vm.clone());
    }
    view.targets = targets(ring, &own.vm);
    cx.tables.probes.view = view;
}

/// Returns the nodes of a ring that `own` probes.
pub(super) fn targets(mut ring: Vec<Seat<'_>>, own: &VmId) -> BTreeSet<VmId> {
    ring.sort_by_cached_key(|seat| (rendezvous::score(RING, seat.vm.as_str()), seat.vm.clone()));
    let probed = |at: &usize| ring[*at].vm != own && probers(&ring, *at).contains(&own);
    let found = (0..ring.len()).filter(probed);
    found.map(|at| ring[at].vm.clone()).collect()
}

/// Returns the nodes that probe the one at `at`.
pub(super) fn probers<'a>(ring: &[Seat<'a>], at: usize) -> Vec<&'a VmId> {
    let steps = SEARCH_STEPS.min(ring.len() - 1);
    let before: Vec<Seat<'a>> = (1..=steps)
        .map(|step| ring[(at + ring.len() - step) % ring.len()])
        .collect();
    let mut domains = BTreeSet::new();
    let (mut chosen, rest): (Vec<Seat<'a>>, Vec<Seat<'a>>) = before
        .into_iter()
        .partition(|seat| domains.len() < PROBERS && domains.insert(seat.domain));
    let missing = PROBERS.saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen.into_iter().map(|seat| seat.vm).collect()
}
