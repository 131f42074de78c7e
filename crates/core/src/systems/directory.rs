//! Answers callers that ask which address to use.

use crate::{
    ids::{FailureDomain, VmId},
    platform::{Vm, VmState},
    tables::Tables,
};

/// Returns the entry nodes to use: live ones, those of the asking node's own
/// failure domain first.
pub fn nodes<'a>(tables: &'a Tables, vm: &VmId, domain: &FailureDomain) -> Vec<&'a Vm> {
    let live = |v: &&Vm| v.state == VmState::Live && !(tables.draining.is_some() && v.vm == *vm);
    let mut nodes: Vec<&Vm> = tables.vms.nodes().filter(live).collect();
    nodes.sort_by_key(|v| (v.vm != *vm, v.failure_domain != *domain, v.vm.clone()));
    nodes
}
