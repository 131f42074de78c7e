//! Updates which nodes watch which engines, and the reads of this node.

use std::collections::BTreeSet;

use super::{Context, interval, jitter};
use crate::{
    config::Workload, ids::VmId, peer::MemberStatus, tables::WatchedBackend, watch::ServerKey,
};

/// Updates the engines whose configuration or VM changed.
pub fn servers_changed(cx: &mut Context<'_>, changed: &BTreeSet<VmId>) {
    for vm in changed {
        server_changed(cx, vm);
    }
}

/// Updates all engines, after a change that affects all of them.
pub fn servers_rebuilt(cx: &mut Context<'_>) {
    let configured = cx.tables.backends.iter().map(|row| row.vm.clone());
    let tracked = cx.tables.watch.keys.keys().cloned();
    let all: BTreeSet<VmId> = configured.chain(tracked).collect();
    servers_changed(cx, &all);
}

fn server_changed(cx: &mut Context<'_>, vm: &VmId) {
    let row = cx.tables.backends.get(vm);
    let engine = row.filter(|row| matches!(row.carries, Workload::Layers { .. }));
    let key = engine.map(|row| ServerKey::new(vm, row.address));
    let watch = &mut cx.tables.watch;
    if watch.keys.get(vm).copied() == key {
        return;
    }
    if let Some(old) = watch.keys.remove(vm) {
        watch.by_key.remove(&old);
    }
    watch.share_changed = true;
    // An engine at a new address is reported as soon as it is read.
    if let Some(row) = watch.watched.get_mut(vm) {
        row.last_report = Default::default();
        row.differs_since = None;
    }
    let Some(key) = key else {
        return watch.shares.remove_server(vm);
    };
    watch.keys.insert(vm.clone(), key);
    watch.by_key.insert(key, vm.clone());
    watch.shares.add_server(vm);
}

/// Adds and removes nodes as members change, and starts and stops reads
/// accordingly.
pub(super) fn update(cx: &mut Context<'_>) {
    update_nodes(cx);
    if std::mem::take(&mut cx.tables.watch.share_changed) {
        update_own_reads(cx);
    }
}

fn update_nodes(cx: &mut Context<'_>) {
    let own = &cx.cfg.identity;
    let watch = &mut cx.tables.watch;
    let mut moved = match cx.tables.draining_since {
        None => watch.shares.add_node(&own.vm, &own.failure_domain),
        Some(_) => watch.shares.remove_node(&own.vm),
    };
    let members = &cx.tables.members;
    let can_watch = |row: &crate::tables::MemberRow| {
        row.status != MemberStatus::Dead && !row.heartbeat.draining
    };
    let removed: Vec<VmId> = watch
        .shares
        .nodes()
        .filter(|(vm, _)| **vm != own.vm && !members.get(vm).is_some_and(can_watch))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in removed {
        moved |= watch.shares.remove_node(&vm);
    }
    for (vm, row) in members.iter().filter(|(_, row)| can_watch(row)) {
        if let Some(domain) = row.failure_domain() {
            moved |= watch.shares.add_node(vm, domain);
        }
    }
    watch.share_changed |= moved;
}

fn update_own_reads(cx: &mut Context<'_>) {
    let now = cx.now;
    let watch = &mut cx.tables.watch;
    let own: BTreeSet<VmId> = watch.shares.watched(&cx.cfg.identity.vm).cloned().collect();
    let removed = watch.watched.keys().filter(|vm| !own.contains(*vm));
    for vm in removed.cloned().collect::<Vec<VmId>>() {
        if let Some(row) = watch.watched.remove(&vm) {
            watch.due.remove(&(row.due, vm.clone()));
        }
        watch.outbox.remove(&vm);
    }
    let added = own.into_iter().filter(|vm| !watch.watched.contains_key(vm));
    let added: Vec<VmId> = added.collect();
    for vm in &added {
        watch.watched.insert(vm.clone(), WatchedBackend::default());
    }
    let interval = interval(cx);
    for vm in added {
        // Distributes the first reads over the read interval.
        let due = now + interval.mul_f64(jitter(&vm, 0) - super::MIN_JITTER);
        let row = WatchedBackend {
            due,
            ..WatchedBackend::default()
        };
        cx.tables.watch.watched.insert(vm.clone(), row);
        cx.tables.watch.due.insert((due, vm));
    }
}
