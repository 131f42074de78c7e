//! Takes in what the platform says, and joins its parts.

use std::collections::BTreeSet;

use super::{Context, dissemination, health, limits, membership, orders, watch};
use crate::{ids::VmId, platform::Record};

/// Takes in configuration records; runs each time the log has answered.
pub fn records(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    dissemination::apply_log_read(cx, first, end, records);
}

/// Brings the tables in line with VMs of the list that changed.
pub fn vms_changed(cx: &mut Context<'_>, changed: &BTreeSet<VmId>, concern_nodes: bool) {
    if concern_nodes {
        membership::listed(cx);
        limits::nodes_changed(cx);
    }
    update(cx, changed);
}

/// Joins some VMs with the configuration anew, after either changed for them.
pub fn update(cx: &mut Context<'_>, changed: &BTreeSet<VmId>) {
    let tables = &mut *cx.tables;
    tables.backends.update(&tables.config, &tables.vms, changed);
    health::groups_changed(cx);
    orders::update_engines(cx, changed);
    watch::servers_changed(cx, changed);
}

/// Joins the whole VM list with the configuration, after what concerns all of
/// them changed.
pub fn rebuild(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    tables.backends.rebuild(&tables.config, &tables.vms);
    health::groups_changed(cx);
    orders::update_all_engines(cx);
    watch::servers_rebuilt(cx);
}
