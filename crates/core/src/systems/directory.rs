//! Ranks the entry nodes for callers that look up which address to use.
//!
//! Each caller gets its own order: nodes are ranked by rendezvous hashing of
//! the caller, weighted by how few requests they run. This balances callers
//! over the nodes, and a caller keeps its node while nothing changes. The
//! ranking alternates between failure domains, so the second address stays
//! reachable if the failure domain of the first one fails.

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

/// Number of open requests at which a node's weight is half that of an idle node.
const HALF_WEIGHT_REQUESTS: f64 = 256.0;

/// One node of a directory response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The node's VM.
    pub vm: VmId,
    /// Address at which the node serves callers.
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

/// Returns the entry nodes that a caller should use, the best first, at most
/// `max_nodes`.
///
/// A node without members uses the nodes of the VM list instead.
pub fn rank_nodes(
    tables: &Tables,
    own: &Identity,
    cfg: &DirectoryConfig,
    caller: &str,
) -> Vec<DirectoryEntry> {
    let mut candidates = member_candidates(tables);
    if tables.members.iter().next().is_none() {
        candidates = listed_candidates(tables, own);
    }
    candidates.extend(own_candidate(tables, own));
    let order = alternate_domains(candidates, caller).into_iter();
    let entry = |c: Candidate<'_>| DirectoryEntry {
        vm: c.vm.clone(),
        address: c.address,
    };
    order.take(cfg.max_nodes as usize).map(entry).collect()
}

fn is_leaving(tables: &Tables, vm: &VmId) -> bool {
    let listed = tables.vms.get(vm);
    listed.is_some_and(|vm| vm.state == VmState::Leaving)
}

fn own_candidate<'a>(tables: &'a Tables, own: &'a Identity) -> Option<Candidate<'a>> {
    let serves = tables.ready && tables.draining_since.is_none() && !is_leaving(tables, &own.vm);
    serves.then(|| Candidate {
        vm: &own.vm,
        address: own.address,
        domain: &own.failure_domain,
        open_requests: u32::try_from(tables.requests.len()).unwrap_or(u32::MAX),
    })
}

fn member_candidates(tables: &Tables) -> Vec<Candidate<'_>> {
    let serving = tables.members.iter().filter(|(_, row)| row.is_serving());
    let staying = serving.filter(|(vm, _)| !is_leaving(tables, vm));
    staying
        .filter_map(|(vm, row)| {
            let place = row.place.as_ref()?;
            Some(Candidate {
                vm,
                address: place.address,
                domain: &place.failure_domain,
                open_requests: row.heartbeat.open_requests,
            })
        })
        .collect()
}

fn listed_candidates<'a>(tables: &'a Tables, own: &Identity) -> Vec<Candidate<'a>> {
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

/// Orders candidates by score and alternates between failure domains: the best
/// candidate of each domain comes before the second best of any.
fn alternate_domains<'a>(candidates: Vec<Candidate<'a>>, caller: &str) -> Vec<Candidate<'a>> {
    let mut scored: Vec<(f64, Candidate<'a>)> = candidates
        .into_iter()
        .map(|c| (c.score(caller), c))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.vm.cmp(b.1.vm)));
    let mut seen_per_domain: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, Candidate<'a>)> = scored
        .into_iter()
        .map(|(_, c)| {
            let round = seen_per_domain.entry(c.domain).or_default();
            *round += 1;
            (*round, c)
        })
        .collect();
    // The sort is stable: candidates of one round stay ordered by score.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, c)| c).collect()
}
