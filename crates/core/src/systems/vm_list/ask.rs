//! Asks a reader for what changed, and takes over what can't be older than
//! the list that is held.

use rand::Rng;

use super::{Context, change, send};
use crate::{
    peer::{Sender, VmsMessage, VmsPart},
    platform::VmList,
    systems::dissemination,
    tables::{VmQuery, VmSource},
    time::Timestamp,
};

/// Part of the time between two questions after which one that did not help is
/// followed by the next.
pub(super) const RETRY_PART: u32 = 5;

/// Chooses the node to rely on and asks it, if that is due.
pub(super) fn round(cx: &mut Context<'_>) {
    let readers = dissemination::readers(cx);
    let own = &cx.cfg.identity.vm;
    if readers.is_empty() || readers.contains(own) {
        let follow = &mut cx.tables.vm_replication;
        (follow.reader, follow.query) = (None, None);
        return;
    }
    let answer = cx.cfg.vm_list.answer_timeout;
    let question = cx.tables.vm_replication.query.as_ref();
    let lost = question.is_some_and(|q| cx.now >= q.sent_at + answer || !readers.contains(&q.to));
    if lost {
        unhelped(cx);
    }
    let turn = dissemination::reader_rank(&cx.cfg.identity.vm);
    let turn = turn.wrapping_add(cx.tables.vm_replication.failed_queries) % readers.len() as u64;
    let reader = readers.into_iter().nth(turn as usize);
    let follow = &mut cx.tables.vm_replication;
    let other = follow.reader != reader;
    follow.reader = reader;
    if follow.query.is_none() && (other || cx.now >= follow.next_query) {
        ask(cx);
    }
}

fn ask(cx: &mut Context<'_>) {
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
    send(cx, &to, VmsMessage::Ask { question: id, held });
}

/// Ends a question that did not help; another reader is asked soon.
pub(super) fn unhelped(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_replication;
    follow.query = None;
    follow.failed_queries = follow.failed_queries.wrapping_add(1);
    follow.next_query = cx.now + cx.cfg.vm_list.refresh_interval / RETRY_PART;
}

/// Takes in the answer to a question.
pub(super) fn answered(cx: &mut Context<'_>, from: &Sender, question: u64, part: Option<VmsPart>) {
    let asks = |q: &VmQuery| q.id == question && q.to == from.vm;
    let follow = &mut cx.tables.vm_replication;
    let Some(question) = follow.query.take_if(|q| asks(q)) else {
        return;
    };
    let Some(part) = part else {
        return unhelped(cx);
    };
    // It was sent after the question, so it was read no earlier than this.
    let began = question.sent_at - part.began_ago;
    if !follows(cx, from, &part) && began < cx.tables.vm_replication.read_ended {
        let same = part.digest == cx.tables.vms.digest();
        let follow = &mut cx.tables.vm_replication;
        follow.counters.stale_chunks += 1;
        if !same {
            return unhelped(cx);
        }
        // Nothing is lacking; what changes next is told, and asked for then.
        follow.next_query = cx.now + cx.cfg.vm_list.refresh_interval;
        return;
    }
    if take(cx, from, part, began) {
        cx.tables.vm_replication.next_query = cx.now + cx.cfg.vm_list.refresh_interval;
    }
}

/// Takes in a change that a node tells of by itself.
pub(super) fn told(cx: &mut Context<'_>, from: &Sender, part: VmsPart) {
    let began = cx.tables.vm_replication.read_began;
    if follows(cx, from, &part) && take(cx, from, part, began) {
        return;
    }
    let follow = &mut cx.tables.vm_replication;
    if follow.reader.as_ref() == Some(&from.vm) && follow.query.is_none() {
        ask(cx);
    }
}

/// Tells whether a part is of the list that this node's list equals, and not
/// of an earlier state of it.
fn follows(cx: &Context<'_>, from: &Sender, part: &VmsPart) -> bool {
    let source = cx.tables.vm_replication.source.as_ref();
    source.is_some_and(|source| {
        source.vm == from.vm
            && source.incarnation == from.incarnation
            && source.number <= part.number
    })
}

/// Takes over a part; returns whether it led to the list that it names.
fn take(cx: &mut Context<'_>, from: &Sender, part: VmsPart, began: Timestamp) -> bool {
    let vms = &cx.tables.vms;
    let changes = match part.base {
        // The list has changed since the question.
        Some(base) if base != vms.digest() => {
            cx.tables.vm_replication.next_query = cx.now;
            return false;
        }
        Some(_) => part.changes,
        None => vms.diff(VmList {
            vms: part.changes.put,
        }),
    };
    let digest = vms.digest_after(&changes);
    let follow = &mut cx.tables.vm_replication;
    if digest != part.digest {
        follow.counters.divergences += 1;
        follow.needs_snapshot = true;
        follow.next_query = cx.now;
        return false;
    }
    follow.counters.chunks_applied += 1;
    follow.needs_snapshot = false;
    follow.read_began = follow.read_began.max(began);
    follow.read_ended = follow.read_ended.max(cx.now - part.ended_ago);
    follow.source = Some(VmSource {
        vm: from.vm.clone(),
        incarnation: from.incarnation,
        number: part.number,
    });
    change(cx, changes, digest);
    dissemination::vm_list_received(cx);
    true
}
