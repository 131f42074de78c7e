//! Keeps up who watches whom, and the share of this node.

use std::collections::BTreeSet;

use super::{Context, interval, jitter};
use crate::{config::Carries, ids::VmId, peer::MemberStatus, tables::Watched, watch::ServerKey};

/// Takes in engines whose configuration or VM changed; the others cost nothing.
pub fn servers_changed(cx: &mut Context<'_>, changed: &BTreeSet<VmId>) {
    for vm in changed {
        server_changed(cx, vm);
    }
}

/// Takes in all engines, after what concerns all of them changed.
pub fn servers_rebuilt(cx: &mut Context<'_>) {
    let here = cx.tables.backends.iter().map(|row| row.vm.clone());
    let known = cx.tables.watch.keys.keys().cloned();
    let all: BTreeSet<VmId> = here.chain(known).collect();
    servers_changed(cx, &all);
}

fn server_changed(cx: &mut Context<'_>, vm: &VmId) {
    let row = cx.tables.backends.get(vm);
    let engine = row.filter(|row| matches!(row.carries, Carries::Layers { .. }));
    let key = engine.map(|row| ServerKey::new(vm, row.address));
    let watch = &mut cx.tables.watch;
    if watch.keys.get(vm).copied() == key {
        return;
    }
    if let Some(old) = watch.keys.remove(vm) {
        watch.by_key.remove(&old);
    }
    watch.moved = true;
    // Another life is told of as soon as it is read.
    if let Some(row) = watch.watched.get_mut(vm) {
        row.told = Default::default();
        row.differs = None;
    }
    let Some(key) = key else {
        return watch.shares.remove_server(vm);
    };
    watch.keys.insert(vm.clone(), key);
    watch.by_key.insert(key, vm.clone());
    watch.shares.add_server(vm);
}

/// Takes in nodes that came and went, and begins and ends reads accordingly.
pub(super) fn renew(cx: &mut Context<'_>) {
    renew_nodes(cx);
    if std::mem::take(&mut cx.tables.watch.moved) {
        renew_own(cx);
    }
}

fn renew_nodes(cx: &mut Context<'_>) {
    let own = &cx.cfg.identity;
    let watch = &mut cx.tables.watch;
    let mut moved = match cx.tables.draining {
        None => watch.shares.add_node(&own.vm, &own.failure_domain),
        Some(_) => watch.shares.remove_node(&own.vm),
    };
    let members = &cx.tables.members;
    let shares =
        |row: &crate::tables::MemberRow| row.status != MemberStatus::Dead && !row.said.draining;
    let gone: Vec<VmId> = watch
        .shares
        .nodes()
        .filter(|(vm, _)| **vm != own.vm && !members.get(vm).is_some_and(shares))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in gone {
        moved |= watch.shares.remove_node(&vm);
    }
    for (vm, row) in members.iter().filter(|(_, row)| shares(row)) {
        if let Some(domain) = row.failure_domain() {
            moved |= watch.shares.add_node(vm, domain);
        }
    }
    watch.moved |= moved;
}

fn renew_own(cx: &mut Context<'_>) {
    let now = cx.now;
    let watch = &mut cx.tables.watch;
    let own: BTreeSet<VmId> = watch.shares.watched(&cx.cfg.identity.vm).cloned().collect();
    let gone = watch.watched.keys().filter(|vm| !own.contains(*vm));
    for vm in gone.cloned().collect::<Vec<VmId>>() {
        if let Some(row) = watch.watched.remove(&vm) {
            watch.due.remove(&(row.due, vm.clone()));
        }
        watch.outbox.remove(&vm);
    }
    let new = own.into_iter().filter(|vm| !watch.watched.contains_key(vm));
    let new: Vec<VmId> = new.collect();
    for vm in &new {
        watch.watched.insert(vm.clone(), Watched::default());
    }
    let interval = interval(cx);
    for vm in new {
        // The first reads are spread over the time between two of them.
        let due = now + interval.mul_f64(jitter(&vm, 0) - super::LEAST_JITTER);
        let row = Watched {
            due,
            ..Watched::default()
        };
        cx.tables.watch.watched.insert(vm.clone(), row);
        cx.tables.watch.due.insert((due, vm));
    }
}
