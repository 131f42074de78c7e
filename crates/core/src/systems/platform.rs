//! Takes in what the platform says: configuration records and the VM list.

use super::{Context, dissemination, limits, membership};
use crate::platform::{Record, VmList};

/// Takes in configuration records; runs each time the log has answered.
pub fn records(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    dissemination::log_answered(cx, first, end, records);
}

/// Takes over the VM list; runs each time the platform has given it.
pub fn vm_list(cx: &mut Context<'_>, list: VmList) {
    if cx.tables.vms.replace(list) {
        membership::listed(cx);
        limits::nodes_changed(cx);
        rebuild(cx);
    }
    dissemination::vms_known(cx);
}

/// Joins the VM list with the configuration, after either changed.
pub fn rebuild(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    tables.backends.rebuild(&tables.config, &tables.vms);
}
