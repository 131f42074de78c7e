//! Takes in what the platform says: configuration records and the VM list.

use super::{Context, limits, membership, orders};
use crate::{
    config::{Folded, Kind},
    platform::{Record, VmList},
};

/// Folds configuration records; runs each time the log has answered.
pub fn records(cx: &mut Context<'_>, _first: u64, end: u64, records: Vec<Record>) {
    let mut backends_changed = false;
    for record in &records {
        if record.offset >= cx.tables.config.revision().0 {
            // A gap can't be folded; the next read asks for the missing offset again.
            if let Ok(Folded::Decided { changed, .. }) = cx.tables.config.fold(record) {
                backends_changed |= changed.iter().any(|key| key.kind == Kind::Backend);
            }
        }
    }
    if backends_changed {
        rebuild(cx);
    }
    if cx.tables.config.revision().0 >= end {
        cx.tables.ready = true;
    }
}

/// Takes over the VM list; runs each time the platform has given it.
pub fn vm_list(cx: &mut Context<'_>, list: VmList) {
    if cx.tables.vms.replace(list) {
        membership::listed(cx);
        limits::nodes_changed(cx);
        rebuild(cx);
    }
}

fn rebuild(cx: &mut Context<'_>) {
    let tables = &mut *cx.tables;
    tables.backends.rebuild(&tables.config, &tables.vms);
    orders::changed(cx);
}
