//! Applies data from the platform and joins it with the configuration.

use std::collections::BTreeSet;

use super::{Context, dissemination, health, limits, membership, orders, watch};
use crate::{ids::VmId, platform::Record};

/// Applies configuration records. Called after each response of the log, even
/// without records.
pub fn apply_records(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    dissemination::apply_log_read(cx, first, end, records);
}

/// Updates the tables after some VMs of the list changed. `concern_nodes` is
/// true if entry nodes are among them.
pub fn vms_changed(cx: &mut Context<'_>, changed: &BTreeSet<VmId>, concern_nodes: bool) {
    if concern_nodes {
        membership::apply_vm_list(cx);
        limits::nodes_changed(cx);
    }
    update_backends(cx, changed);
}

/// Joins some VMs with the configuration again, after either changed for them.
pub fn update_backends(cx: &mut Context<'_>, changed: &BTreeSet<VmId>) {
    let tables = &mut *cx.tables;
    tables.backends.update(&tables.config, &tables.vms, changed);
    health::groups_changed(cx);
    orders::update_engines(cx, changed);
    watch::servers_changed(cx, changed);
}

/// Joins the full VM list with the configuration, after a change that affects
/// all VMs.
pub fn rebuild_backends(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    tables.backends.rebuild(&tables.config, &tables.vms);
    health::groups_changed(cx);
    orders::update_all_engines(cx);
    watch::servers_rebuilt(cx);
}
