//! Sends the VM list, or its changes, to the subscribers of this node.

use std::collections::BTreeSet;

use super::{Context, send};
use crate::{
    config::SetDigest,
    ids::VmId,
    peer::{VmListMessage, VmListUpdate},
    platform::VmChanges,
};

/// Number of refresh intervals without a query after which a subscription
/// expires.
const MAX_MISSED_QUERIES: u32 = 3;

/// Subscribes a node and answers its query with the changes that it lacks. If
/// the node needs the full list, queues the query.
pub(super) fn answer_query(
    cx: &mut Context<'_>,
    from: &VmId,
    query_id: u64,
    held: Option<SetDigest>,
) {
    if cx.tables.vm_replication.number == 0 {
        let update = None;
        return send(cx, from, VmListMessage::Response { query_id, update });
    }
    let until = cx.now + cx.cfg.vm_list.refresh_interval * MAX_MISSED_QUERIES;
    let follow = &mut cx.tables.vm_replication;
    follow.subscribers.insert(from.clone(), until);
    follow.snapshot_waiters.remove(from);
    if let Some((base, changes)) = held.and_then(|held| Some((held, changes_since(cx, held)?))) {
        let update = Some(build_update(cx, Some(base), changes));
        return send(cx, from, VmListMessage::Response { query_id, update });
    }
    cx.tables
        .vm_replication
        .snapshot_waiters
        .insert(from.clone(), query_id);
    send_next_full_list(cx);
}

/// Sends the full list to the next waiting node, at most one per pacing
/// interval.
pub(super) fn send_next_full_list(cx: &mut Context<'_>) {
    if cx.now < cx.tables.vm_replication.next_snapshot {
        return;
    }
    let Some((to, query_id)) = cx.tables.vm_replication.snapshot_waiters.pop_first() else {
        return;
    };
    let follow = &mut cx.tables.vm_replication;
    follow.next_snapshot = cx.now + cx.cfg.vm_list.min_snapshot_interval;
    follow.counters.snapshots_sent += 1;
    let full = VmChanges {
        put: cx.tables.vms.iter().cloned().collect(),
        removed: Vec::new(),
    };
    let update = Some(build_update(cx, None, full));
    send(cx, &to, VmListMessage::Response { query_id, update });
}

/// Pushes the latest change to all subscribers.
pub(super) fn push(cx: &mut Context<'_>, base: SetDigest, changes: &VmChanges) {
    let followers: Vec<VmId> = cx
        .tables
        .vm_replication
        .subscribers
        .keys()
        .cloned()
        .collect();
    for vm in followers {
        let update = build_update(cx, Some(base), changes.clone());
        send(cx, &vm, VmListMessage::Changed(update));
    }
}

/// Returns the changes since the list last had the digest `held`; `None` if that
/// is longer ago than the retained changes.
fn changes_since(cx: &Context<'_>, held: SetDigest) -> Option<VmChanges> {
    if held == cx.tables.vms.digest() {
        return Some(VmChanges::default());
    }
    let retained = &cx.tables.vm_replication.changes;
    let at = retained.iter().rposition(|(base, _)| *base == held)?;
    let changed: BTreeSet<&VmId> = retained.iter().skip(at).flat_map(|(_, vms)| vms).collect();
    let mut changes = VmChanges::default();
    for vm in changed {
        match cx.tables.vms.get(vm) {
            Some(row) => changes.put.push(row.clone()),
            None => changes.removed.push(vm.clone()),
        }
    }
    Some(changes)
}

fn build_update(cx: &mut Context<'_>, base: Option<SetDigest>, changes: VmChanges) -> VmListUpdate {
    let now = cx.now;
    let follow = &mut cx.tables.vm_replication;
    if base.is_some() {
        follow.counters.changes_sent += (changes.put.len() + changes.removed.len()) as u64;
    }
    VmListUpdate {
        number: follow.number,
        base,
        digest: cx.tables.vms.digest(),
        began_ago: now.since(follow.read_began),
        ended_ago: now.since(follow.read_ended),
        changes,
    }
}
