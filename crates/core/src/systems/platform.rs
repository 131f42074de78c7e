//! Takes in what the platform says, and joins its parts.

use std::collections::BTreeSet;

use super::{Context, dissemination, health, limits, membership, orders, watch};
use crate::{ids::VmId, platform::Record};

/// Takes in configuration records; runs each time the log has answered.
pub fn apply_records(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    dissemination::log_answered(cx, first, end, records);
}

/// Brings the tables in line with VMs of the list that changed.
pub fn vms_changed(cx: &mut Context<'_>, changed: &BTreeSet<VmId>, concern_nodes: bool) {
    if concern_nodes {
        membership::apply_vm_list(cx);
        limits::nodes_changed(cx);
    }
    update_backends(cx, changed);
}

/// Joins some VMs with the configuration anew, after either changed for them.
pub fn update_backends(cx: &mut Context<'_>, changed: &BTreeSet<VmId>) {
    let tables = &mut *cx.tables;
    tables.backends.update(&tables.config, &tables.vms, changed);
    health::changed(cx);
    orders::changed(cx, changed);
    watch::servers_changed(cx, changed);
}

/// Joins the whole VM list with the configuration, after what concerns all of
/// them changed.
pub fn rebuild_backends(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    tables.backends.rebuild(&tables.config, &tables.vms);
    health::changed(cx);
    orders::all_changed(cx);
    watch::servers_rebuilt(cx);
}
