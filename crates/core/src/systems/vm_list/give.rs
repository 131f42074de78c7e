//! Gives the list, or what changed, to nodes that rely on this one.

use std::collections::BTreeSet;

use super::{Context, send};
use crate::{
    config::SetDigest,
    ids::VmId,
    peer::{VmsMessage, VmsPart},
    platform::VmChanges,
};

/// Questions that a node may miss before it is no longer told of changes.
const MISSED_QUESTIONS: u32 = 3;

/// Answers a node's question, or lets it wait for its turn.
pub(super) fn asked(cx: &mut Context<'_>, from: &VmId, question: u64, held: Option<SetDigest>) {
    if cx.tables.vm_replication.number == 0 {
        let part = None;
        return send(cx, from, VmsMessage::Answer { question, part });
    }
    let until = cx.now + cx.cfg.vm_list.refresh_interval * MISSED_QUESTIONS;
    let follow = &mut cx.tables.vm_replication;
    follow.subscribers.insert(from.clone(), until);
    follow.snapshot_waiters.remove(from);
    if let Some((base, changes)) = held.and_then(|held| Some((held, since(cx, held)?))) {
        let part = Some(part(cx, Some(base), changes));
        return send(cx, from, VmsMessage::Answer { question, part });
    }
    cx.tables
        .vm_replication
        .snapshot_waiters
        .insert(from.clone(), question);
    give_waiting(cx);
}

/// Gives the whole list to one that waits for it, if that is due.
pub(super) fn give_waiting(cx: &mut Context<'_>) {
    if cx.now < cx.tables.vm_replication.next_snapshot {
        return;
    }
    let Some((to, question)) = cx.tables.vm_replication.snapshot_waiters.pop_first() else {
        return;
    };
    let follow = &mut cx.tables.vm_replication;
    follow.next_snapshot = cx.now + cx.cfg.vm_list.min_snapshot_interval;
    follow.counters.snapshots_sent += 1;
    let whole = VmChanges {
        put: cx.tables.vms.iter().cloned().collect(),
        removed: Vec::new(),
    };
    let part = Some(part(cx, None, whole));
    send(cx, &to, VmsMessage::Answer { question, part });
}

/// Tells the nodes that rely on this one what changed just now.
pub(super) fn push(cx: &mut Context<'_>, base: SetDigest, changes: &VmChanges) {
    let followers: Vec<VmId> = cx
        .tables
        .vm_replication
        .subscribers
        .keys()
        .cloned()
        .collect();
    for vm in followers {
        let part = part(cx, Some(base), changes.clone());
        send(cx, &vm, VmsMessage::Changed(part));
    }
}

/// Returns what changed since the list was last what has the digest.
fn since(cx: &Context<'_>, held: SetDigest) -> Option<VmChanges> {
    if held == cx.tables.vms.digest() {
        return Some(VmChanges::default());
    }
    let kept = &cx.tables.vm_replication.changes;
    let at = kept.iter().rposition(|(base, _)| *base == held)?;
    let changed: BTreeSet<&VmId> = kept.iter().skip(at).flat_map(|(_, vms)| vms).collect();
    let mut changes = VmChanges::default();
    for vm in changed {
        match cx.tables.vms.get(vm) {
            Some(row) => changes.put.push(row.clone()),
            None => changes.removed.push(vm.clone()),
        }
    }
    Some(changes)
}

fn part(cx: &mut Context<'_>, base: Option<SetDigest>, changes: VmChanges) -> VmsPart {
    let now = cx.now;
    let follow = &mut cx.tables.vm_replication;
    if base.is_some() {
        follow.counters.changes_sent += (changes.put.len() + changes.removed.len()) as u64;
    }
    VmsPart {
        number: follow.number,
        base,
        digest: cx.tables.vms.digest(),
        began_ago: now.since(follow.read_began),
        ended_ago: now.since(follow.read_ended),
        changes,
    }
}
