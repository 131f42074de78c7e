//! Answers callers that ask which address to use.
//!
//! Each caller gets an order of its own: nodes are ranked by weighted
//! rendezvous hashing of the caller, so that callers spread over the nodes in
//! proportion to how little runs on them, and a caller keeps its node while
//! nothing changes. The ranking goes round the failure domains, so that the
//! second address of an answer survives the loss of the first one's.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    configs::{DirectoryConfig, Identity},
    ids::{FailureDomain, VmId},
    platform::VmState,
    rendezvous,
    tables::Tables,
};

#[cfg(test)]
mod tests;

/// Open requests at which a node is worth half as much as an idle one.
const HALF_WEIGHT_REQUESTS: f64 = 256.0;

/// A node of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The node's VM.
    pub vm: VmId,
    /// Where it serves callers.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Candidate<'a> {
    vm: &'a VmId,
    address: SocketAddr,
    domain: &'a FailureDomain,
    open_requests: u32,
}

impl Candidate<'_> {
    fn score(&self, caller: &str) -> f64 {
        let load = f64::from(self.open_requests) / HALF_WEIGHT_REQUESTS;
        rendezvous::weighted_score(caller, self.vm.as_str(), 1.0 / (1.0 + load))
    }
}

/// Returns the entry nodes that a caller should use, the best first.
///
/// A node that has heard of no other answers from the VM list.
pub fn rank_nodes(
    tables: &Tables,
    own: &Identity,
    cfg: &DirectoryConfig,
    caller: &str,
) -> Vec<DirectoryEntry> {
    let mut candidates = heard(tables);
    if tables.members.iter().next().is_none() {
        candidates = listed(tables, own);
    }
    candidates.extend(own_candidate(tables, own));
    let order = spread(candidates, caller).into_iter();
    let entry = |c: Candidate<'_>| DirectoryEntry {
        vm: c.vm.clone(),
        address: c.address,
    };
    order.take(cfg.max_nodes as usize).map(entry).collect()
}

fn leaves(tables: &Tables, vm: &VmId) -> bool {
    let listed = tables.vms.get(vm);
    listed.is_some_and(|vm| vm.state == VmState::Leaving)
}

fn own_candidate<'a>(tables: &'a Tables, own: &'a Identity) -> Option<Candidate<'a>> {
    let serves = tables.ready && tables.draining.is_none() && !leaves(tables, &own.vm);
    serves.then(|| Candidate {
        vm: &own.vm,
        address: own.address,
        domain: &own.failure_domain,
        open_requests: u32::try_from(tables.requests.len()).unwrap_or(u32::MAX),
    })
}

fn heard(tables: &Tables) -> Vec<Candidate<'_>> {
    let serving = tables.members.iter().filter(|(_, row)| row.serves());
    let staying = serving.filter(|(vm, _)| !leaves(tables, vm));
    staying
        .filter_map(|(vm, row)| {
            let place = row.place.as_ref()?;
            Some(Candidate {
                vm,
                address: place.address,
                domain: &place.failure_domain,
                open_requests: row.said.open_requests,
            })
        })
        .collect()
}

fn listed<'a>(tables: &'a Tables, own: &Identity) -> Vec<Candidate<'a>> {
    let live = |vm: &&crate::platform::Vm| vm.state == VmState::Live && vm.vm != own.vm;
    let nodes = tables.vms.nodes().filter(live);
    nodes
        .map(|vm| Candidate {
            vm: &vm.vm,
            address: vm.address,
            domain: &vm.failure_domain,
            open_requests: 0,
        })
        .collect()
}

/// Orders candidates by score, with each next one from the failure domain
/// that was named least so far.
fn spread<'a>(candidates: Vec<Candidate<'a>>, caller: &str) -> Vec<Candidate<'a>> {
    let mut scored: Vec<(f64, Candidate<'a>)> = candidates
        .into_iter()
        .map(|c| (c.score(caller), c))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.vm.cmp(b.1.vm)));
    let mut named: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, Candidate<'a>)> = scored
        .into_iter()
        .map(|(_, c)| {
            let turn = named.entry(c.domain).or_default();
            *turn += 1;
            (*turn, c)
        })
        .collect();
    // The sort is stable: within a turn, the order by score stays.
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, c)| c).collect()
}
