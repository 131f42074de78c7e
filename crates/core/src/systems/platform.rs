//! Takes in what the platform says: configuration records and the VM list.

use std::collections::BTreeSet;

use super::{Context, dissemination, health, limits, membership, orders, watch};
use crate::{
    ids::VmId,
    platform::{Record, VmList},
};

/// Takes in configuration records; runs each time the log has answered.
pub fn records(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    dissemination::log_answered(cx, first, end, records);
}

/// Takes over the VM list; runs each time the platform has given it.
pub fn vm_list(cx: &mut Context<'_>, list: VmList) {
    let changed = cx.tables.vms.replace(list);
    if !changed.is_empty() {
        membership::listed(cx);
        limits::nodes_changed(cx);
        update(cx, &changed);
    }
    dissemination::vms_known(cx);
}

/// Joins some VMs with the configuration anew, after either changed for them.
pub fn update(cx: &mut Context<'_>, changed: &BTreeSet<VmId>) {
    let tables = &mut *cx.tables;
    tables.backends.update(&tables.config, &tables.vms, changed);
    health::changed(cx);
    orders::changed(cx);
    watch::servers_changed(cx, changed);
}

/// Joins the whole VM list with the configuration, after what concerns all of
/// them changed.
pub fn rebuild(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    tables.backends.rebuild(&tables.config, &tables.vms);
    health::changed(cx);
    orders::changed(cx);
    watch::servers_rebuilt(cx);
}
