//! Queries a reader for changes, and applies only updates that cannot be older
//! than the list that the node holds.

use rand::Rng;

use super::{Context, apply_changes, send};
use crate::{
    peer::{Sender, VmListMessage, VmListUpdate},
    platform::VmList,
    systems::dissemination,
    tables::{VmQuery, VmSource},
    time::Timestamp,
};

/// A failed query is followed by the next one after the refresh interval divided
/// by this.
pub(super) const RETRY_DIVISOR: u32 = 5;

/// Selects the reader to replicate from, and queries it if a query is due.
pub(super) fn round(cx: &mut Context<'_>) {
    let readers = dissemination::readers(cx);
    let own = &cx.cfg.identity.vm;
    if readers.is_empty() || readers.contains(own) {
        let follow = &mut cx.tables.vm_replication;
        (follow.reader, follow.query) = (None, None);
        return;
    }
    let answer = cx.cfg.vm_list.answer_timeout;
    let query = cx.tables.vm_replication.query.as_ref();
    let failed = query.is_some_and(|q| cx.now >= q.sent_at + answer || !readers.contains(&q.to));
    if failed {
        query_failed(cx);
    }
    let index = dissemination::reader_rank(&cx.cfg.identity.vm);
    let index = index.wrapping_add(cx.tables.vm_replication.failed_queries) % readers.len() as u64;
    let reader = readers.into_iter().nth(index as usize);
    let follow = &mut cx.tables.vm_replication;
    let reader_changed = follow.reader != reader;
    follow.reader = reader;
    if follow.query.is_none() && (reader_changed || cx.now >= follow.next_query) {
        send_query(cx);
    }
}

fn send_query(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_replication;
    let Some(to) = follow.reader.clone() else {
        return;
    };
    let id = cx.rng.random();
    follow.query = Some(VmQuery {
        to: to.clone(),
        id,
        sent_at: cx.now,
    });
    let held = (!follow.needs_snapshot).then(|| cx.tables.vms.digest());
    send(cx, &to, VmListMessage::Query { query_id: id, held });
}

/// Ends a failed query and schedules one to another reader.
pub(super) fn query_failed(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_replication;
    follow.query = None;
    follow.failed_queries = follow.failed_queries.wrapping_add(1);
    follow.next_query = cx.now + cx.cfg.vm_list.refresh_interval / RETRY_DIVISOR;
}

/// Applies the response to the open query.
pub(super) fn apply_response(
    cx: &mut Context<'_>,
    from: &Sender,
    query_id: u64,
    update: Option<VmListUpdate>,
) {
    let matches = |q: &VmQuery| q.id == query_id && q.to == from.vm;
    let follow = &mut cx.tables.vm_replication;
    let Some(query) = follow.query.take_if(|q| matches(q)) else {
        return;
    };
    let Some(update) = update else {
        return query_failed(cx);
    };
    // The response was sent after the query, so its list was read no earlier than this.
    let began = query.sent_at - update.began_ago;
    if !continues_source(cx, from, &update) && began < cx.tables.vm_replication.read_ended {
        let same = update.digest == cx.tables.vms.digest();
        let follow = &mut cx.tables.vm_replication;
        follow.counters.stale_chunks += 1;
        if !same {
            return query_failed(cx);
        }
        // The list is up to date. The next change is pushed, and queried on arrival.
        follow.next_query = cx.now + cx.cfg.vm_list.refresh_interval;
        return;
    }
    if apply_update(cx, from, update, began) {
        cx.tables.vm_replication.next_query = cx.now + cx.cfg.vm_list.refresh_interval;
    }
}

/// Applies a change that a reader pushed. If it does not apply, queries the
/// reader.
pub(super) fn apply_change(cx: &mut Context<'_>, from: &Sender, update: VmListUpdate) {
    let began = cx.tables.vm_replication.read_began;
    if continues_source(cx, from, &update) && apply_update(cx, from, update, began) {
        return;
    }
    let follow = &mut cx.tables.vm_replication;
    if follow.reader.as_ref() == Some(&from.vm) && follow.query.is_none() {
        send_query(cx);
    }
}

/// Returns whether an update comes from the same node process as the list that
/// this node holds, and is not older than it.
fn continues_source(cx: &Context<'_>, from: &Sender, update: &VmListUpdate) -> bool {
    let source = cx.tables.vm_replication.source.as_ref();
    source.is_some_and(|source| {
        source.vm == from.vm
            && source.incarnation == from.incarnation
            && source.number <= update.number
    })
}

/// Applies an update. Returns whether it applied and led to the list with the
/// digest that it names.
fn apply_update(
    cx: &mut Context<'_>,
    from: &Sender,
    update: VmListUpdate,
    began: Timestamp,
) -> bool {
    let vms = &cx.tables.vms;
    let changes = match update.base {
        // This node's list has changed since the query.
        Some(base) if base != vms.digest() => {
            cx.tables.vm_replication.next_query = cx.now;
            return false;
        }
        Some(_) => update.changes,
        None => vms.diff(VmList {
            vms: update.changes.put,
        }),
    };
    let digest = vms.digest_after(&changes);
    let follow = &mut cx.tables.vm_replication;
    if digest != update.digest {
        follow.counters.divergences += 1;
        follow.needs_snapshot = true;
        follow.next_query = cx.now;
        return false;
    }
    follow.counters.chunks_applied += 1;
    follow.needs_snapshot = false;
    follow.read_began = follow.read_began.max(began);
    follow.read_ended = follow.read_ended.max(cx.now - update.ended_ago);
    follow.source = Some(VmSource {
        vm: from.vm.clone(),
        incarnation: from.incarnation,
        number: update.number,
    });
    apply_changes(cx, changes, digest);
    dissemination::vm_list_received(cx);
    true
}
