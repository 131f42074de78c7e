//! Brings the VM list to this node and on to others.
//!
//! A few nodes of each failure domain read the list; the others query one of
//! them, which then tells them what changes. The list has no version of its
//! own, so what a node takes over is ordered by when it was read. See
//! `docs/design/vm-list.md`.

mod query;
mod serve;
#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::Rng;

use super::{Context, dissemination, platform};
use crate::{
    config::SetDigest,
    configs::VmListConfig,
    ids::VmId,
    message::Action,
    peer::{PeerMessage, Sender, VmListMessage},
    platform::{VmChanges, VmList},
    time::Timestamp,
};

/// Changes that are given at once; who misses more asks for them.
const MAX_PUSHED: usize = 1_024;

/// The read of the VM list that should come next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmListRead {
    /// The pause before it.
    pub after: Duration,
    /// Whether it is enough to say that the platform's answer is the same as
    /// that to this node's last read.
    pub accepts_unchanged: bool,
}

/// Returns the read of the VM list that should come next.
pub fn next_read(cx: &Context<'_>) -> VmListRead {
    let (cfg, follow) = (&cx.cfg.vm_list, &cx.tables.vm_follow);
    let after = match follow.tried {
        None => Duration::ZERO,
        Some(tried) if follow.counters.reads == 0 => (tried + first_retry(cfg)).since(cx.now),
        Some(tried) if follow.reader.is_none() => (tried + cfg.read).since(cx.now),
        Some(tried) => {
            let pause = cfg.fallback.mul_f64(1.0 + follow.spread);
            (tried.max(follow.read_began) + pause).since(cx.now)
        }
    };
    let accepts_unchanged = follow.source.is_none() && follow.counters.reads > 0;
    VmListRead {
        after,
        accepts_unchanged,
    }
}

/// Returns the pause before another try of a node that holds no list.
fn first_retry(cfg: &VmListConfig) -> Duration {
    cfg.read.min(cfg.refresh / query::RETRY_DIVISOR)
}

/// Notes that a read of the VM list begins.
pub fn begin_read(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_follow;
    follow.tried = Some(cx.now);
    follow.reading = Some(cx.now);
    follow.spread = cx.rng.random_range(0.0..1.0);
}

/// Takes in the platform's list.
pub fn apply_read(cx: &mut Context<'_>, list: VmList) {
    let Some(began) = admit_read(cx) else {
        return;
    };
    cx.tables.vm_follow.counters.reads += 1;
    let changes = cx.tables.vms.diff(list);
    let digest = cx.tables.vms.digest_after(&changes);
    let follow = &mut cx.tables.vm_follow;
    follow.source = None;
    follow.mistrusts = false;
    (follow.read_began, follow.read_ended) = (began, cx.now);
    apply_changes(cx, changes, digest);
    dissemination::vms_known(cx);
}

/// Takes in that the platform's list is the same as at this node's last read.
pub fn apply_unchanged_read(cx: &mut Context<'_>) {
    // A list that came from a peer meanwhile may differ from that of the read.
    if cx.tables.vm_follow.source.is_some() {
        cx.tables.vm_follow.reading = None;
        return;
    }
    if let Some(began) = admit_read(cx) {
        let follow = &mut cx.tables.vm_follow;
        follow.counters.reads += 1;
        (follow.read_began, follow.read_ended) = (began, cx.now);
    }
}

/// Returns when the open read began, unless the list that is held may have
/// been shown later: this process may have been paused over its read.
fn admit_read(cx: &mut Context<'_>) -> Option<Timestamp> {
    let follow = &mut cx.tables.vm_follow;
    let began = follow.reading.take().unwrap_or(cx.now);
    if began < follow.read_ended {
        follow.counters.late_reads += 1;
        return None;
    }
    Some(began)
}

/// Asks, gives and forgets what is due; runs with each round of membership.
pub fn round(cx: &mut Context<'_>) {
    serve::send_next_full_list(cx);
    let now = cx.now;
    let followers = &mut cx.tables.vm_follow.followers;
    followers.retain(|_, until| *until > now);
    query::round(cx);
}

/// Takes in a message about the VM list.
pub fn apply_message(cx: &mut Context<'_>, from: &Sender, message: VmListMessage) {
    match message {
        VmListMessage::Query { query_id, held } => {
            serve::answer_query(cx, &from.vm, query_id, held)
        }
        VmListMessage::Response { query_id, update } => {
            query::apply_response(cx, from, query_id, update)
        }
        VmListMessage::Changed(update) => query::apply_change(cx, from, update),
    }
}

/// Notes that a peer can't be reached.
pub fn peer_unreachable(cx: &mut Context<'_>, vm: &VmId) {
    let follow = &mut cx.tables.vm_follow;
    follow.followers.remove(vm);
    follow.waiting.remove(vm);
    if follow.question.as_ref().is_some_and(|q| q.to == *vm) {
        query::fail(cx);
    }
}

/// Changes the list to what has `digest`, and tells the nodes that rely on
/// this one.
fn apply_changes(cx: &mut Context<'_>, changes: VmChanges, digest: SetDigest) {
    let touched = changes.touched();
    if touched.is_empty() {
        return;
    }
    let base = cx.tables.vms.digest();
    let pushed = (touched.len() <= MAX_PUSHED).then(|| changes.clone());
    let concern_nodes = cx.tables.vms.apply(changes, digest);
    let follow = &mut cx.tables.vm_follow;
    follow.number += 1;
    follow.changes.push_back((base, touched.clone()));
    if pushed.is_none() {
        follow.changes.clear();
    }
    while follow.changes.len() > cx.cfg.vm_list.kept_changes as usize {
        follow.changes.pop_front();
    }
    platform::vms_changed(cx, &touched, concern_nodes);
    if let Some(changes) = pushed {
        serve::push(cx, base, &changes);
    }
}

/// Sends a message to a node at the address that it says itself, or that the
/// list shows.
fn send(cx: &mut Context<'_>, to: &VmId, message: VmListMessage) {
    let row = cx.tables.members.rows().get(to);
    let said = row.and_then(|row| row.place.as_ref());
    let said = said.map(|place| place.peer_address);
    let listed = || cx.tables.vms.get(to).and_then(|vm| vm.peer_address);
    if let Some(address) = said.or_else(listed) {
        cx.out.push(Action::Peer {
            to: to.clone(),
            address,
            message: PeerMessage::Vms(message),
        });
    }
}
