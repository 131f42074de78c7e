//! Asks a reader for what changed, and takes over what can't be older than
//! the list that is held.

use rand::Rng;

use super::{Context, apply_changes, send};
use crate::{
    peer::{Sender, VmListMessage, VmListUpdate},
    platform::VmList,
    systems::dissemination,
    tables::{VmQuestion, VmSource},
    time::Timestamp,
};

/// Part of the time between two questions after which one that did not help is
/// followed by the next.
pub(super) const RETRY_DIVISOR: u32 = 5;

/// Chooses the node to rely on and asks it, if that is due.
pub(super) fn round(cx: &mut Context<'_>) {
    let readers = dissemination::readers(cx);
    let own = &cx.cfg.identity.vm;
    if readers.is_empty() || readers.contains(own) {
        let follow = &mut cx.tables.vm_follow;
        (follow.reader, follow.question) = (None, None);
        return;
    }
    let answer = cx.cfg.vm_list.answer;
    let question = cx.tables.vm_follow.question.as_ref();
    let lost = question.is_some_and(|q| cx.now >= q.asked + answer || !readers.contains(&q.to));
    if lost {
        fail(cx);
    }
    let turn = dissemination::rank(&cx.cfg.identity.vm);
    let turn = turn.wrapping_add(cx.tables.vm_follow.unhelped) % readers.len() as u64;
    let reader = readers.into_iter().nth(turn as usize);
    let follow = &mut cx.tables.vm_follow;
    let other = follow.reader != reader;
    follow.reader = reader;
    if follow.question.is_none() && (other || cx.now >= follow.next_ask) {
        send_query(cx);
    }
}

fn send_query(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_follow;
    let Some(to) = follow.reader.clone() else {
        return;
    };
    let id = cx.rng.random();
    follow.question = Some(VmQuestion {
        to: to.clone(),
        id,
        asked: cx.now,
    });
    let held = (!follow.mistrusts).then(|| cx.tables.vms.digest());
    send(cx, &to, VmListMessage::Query { query_id: id, held });
}

/// Ends a question that did not help; another reader is asked soon.
pub(super) fn fail(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_follow;
    follow.question = None;
    follow.unhelped = follow.unhelped.wrapping_add(1);
    follow.next_ask = cx.now + cx.cfg.vm_list.refresh / RETRY_DIVISOR;
}

/// Takes in the answer to a question.
pub(super) fn apply_response(
    cx: &mut Context<'_>,
    from: &Sender,
    query_id: u64,
    update: Option<VmListUpdate>,
) {
    let matches = |q: &VmQuestion| q.id == query_id && q.to == from.vm;
    let follow = &mut cx.tables.vm_follow;
    let Some(question) = follow.question.take_if(|q| matches(q)) else {
        return;
    };
    let Some(update) = update else {
        return fail(cx);
    };
    // It was sent after the question, so it was read no earlier than this.
    let began = question.asked - update.began_ago;
    if !continues_source(cx, from, &update) && began < cx.tables.vm_follow.read_ended {
        let same = update.digest == cx.tables.vms.digest();
        let follow = &mut cx.tables.vm_follow;
        follow.counters.old_parts += 1;
        if !same {
            return fail(cx);
        }
        // Nothing is lacking; what changes next is told, and asked for then.
        follow.next_ask = cx.now + cx.cfg.vm_list.refresh;
        return;
    }
    if apply_update(cx, from, update, began) {
        cx.tables.vm_follow.next_ask = cx.now + cx.cfg.vm_list.refresh;
    }
}

/// Takes in a change that a node tells of by itself.
pub(super) fn apply_change(cx: &mut Context<'_>, from: &Sender, update: VmListUpdate) {
    let began = cx.tables.vm_follow.read_began;
    if continues_source(cx, from, &update) && apply_update(cx, from, update, began) {
        return;
    }
    let follow = &mut cx.tables.vm_follow;
    if follow.reader.as_ref() == Some(&from.vm) && follow.question.is_none() {
        send_query(cx);
    }
}

/// Tells whether a part is of the list that this node's list equals, and not
/// of an earlier state of it.
fn continues_source(cx: &Context<'_>, from: &Sender, update: &VmListUpdate) -> bool {
    let source = cx.tables.vm_follow.source.as_ref();
    source.is_some_and(|source| {
        source.vm == from.vm
            && source.incarnation == from.incarnation
            && source.number <= update.number
    })
}

/// Takes over a part; returns whether it led to the list that it names.
fn apply_update(
    cx: &mut Context<'_>,
    from: &Sender,
    update: VmListUpdate,
    began: Timestamp,
) -> bool {
    let vms = &cx.tables.vms;
    let changes = match update.base {
        // The list has changed since the question.
        Some(base) if base != vms.digest() => {
            cx.tables.vm_follow.next_ask = cx.now;
            return false;
        }
        Some(_) => update.changes,
        None => vms.diff(VmList {
            vms: update.changes.put,
        }),
    };
    let digest = vms.digest_after(&changes);
    let follow = &mut cx.tables.vm_follow;
    if digest != update.digest {
        follow.counters.divergences += 1;
        follow.mistrusts = true;
        follow.next_ask = cx.now;
        return false;
    }
    follow.counters.parts_taken += 1;
    follow.mistrusts = false;
    follow.read_began = follow.read_began.max(began);
    follow.read_ended = follow.read_ended.max(cx.now - update.ended_ago);
    follow.source = Some(VmSource {
        vm: from.vm.clone(),
        incarnation: from.incarnation,
        number: update.number,
    });
    apply_changes(cx, changes, digest);
    dissemination::vms_known(cx);
    true
}
