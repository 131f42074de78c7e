//! Brings the VM list to this node and on to others.
//!
//! A few nodes of each failure domain read the list; the others ask one of
//! them, which then tells them what changes. The list has no version of its
//! own, so what a node takes over is ordered by when it was read. See
//! `docs/design/vm-list.md`.

mod ask;
mod give;
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
    peer::{PeerMessage, Sender, VmsMessage},
    platform::{VmChanges, VmList},
    time::Timestamp,
};

/// Changes that are given at once; who misses more asks for them.
const MAX_PUSHED: usize = 1_024;

/// The read of the VM list that should come next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmsRead {
    /// The pause before it.
    pub after: Duration,
    /// Whether it is enough to say that the platform's answer is the same as
    /// that to this node's last read.
    pub same_will_do: bool,
}

/// Returns the read of the VM list that should come next.
pub fn next_read(cx: &Context<'_>) -> VmsRead {
    let (cfg, follow) = (&cx.cfg.vm_list, &cx.tables.vm_replication);
    let after = match follow.last_read_began {
        None => Duration::ZERO,
        Some(tried) if follow.counters.reads == 0 => (tried + first_retry(cfg)).since(cx.now),
        Some(tried) if follow.reader.is_none() => (tried + cfg.read_interval).since(cx.now),
        Some(tried) => {
            let pause = cfg.fallback_after.mul_f64(1.0 + follow.fallback_jitter);
            (tried.max(follow.read_began) + pause).since(cx.now)
        }
    };
    let same_will_do = follow.source.is_none() && follow.counters.reads > 0;
    VmsRead {
        after,
        same_will_do,
    }
}

/// Returns the pause before another try of a node that holds no list.
fn first_retry(cfg: &VmListConfig) -> Duration {
    cfg.read_interval
        .min(cfg.refresh_interval / ask::RETRY_PART)
}

/// Notes that a read of the VM list begins.
pub fn begin_read(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_replication;
    follow.last_read_began = Some(cx.now);
    follow.open_read = Some(cx.now);
    follow.fallback_jitter = cx.rng.random_range(0.0..1.0);
}

/// Takes in the platform's list.
pub fn read(cx: &mut Context<'_>, list: VmList) {
    let Some(began) = admit_read(cx) else {
        return;
    };
    cx.tables.vm_replication.counters.reads += 1;
    let changes = cx.tables.vms.diff(list);
    let digest = cx.tables.vms.digest_after(&changes);
    let follow = &mut cx.tables.vm_replication;
    follow.source = None;
    follow.needs_snapshot = false;
    (follow.read_began, follow.read_ended) = (began, cx.now);
    change(cx, changes, digest);
    dissemination::vm_list_received(cx);
}

/// Takes in that the platform's list is the same as at this node's last read.
pub fn read_same(cx: &mut Context<'_>) {
    // A list that came from a peer meanwhile may differ from that of the read.
    if cx.tables.vm_replication.source.is_some() {
        cx.tables.vm_replication.open_read = None;
        return;
    }
    if let Some(began) = admit_read(cx) {
        let follow = &mut cx.tables.vm_replication;
        follow.counters.reads += 1;
        (follow.read_began, follow.read_ended) = (began, cx.now);
    }
}

/// Returns when the open read began, unless the list that is held may have
/// been shown later: this process may have been paused over its read.
fn admit_read(cx: &mut Context<'_>) -> Option<Timestamp> {
    let follow = &mut cx.tables.vm_replication;
    let began = follow.open_read.take().unwrap_or(cx.now);
    if began < follow.read_ended {
        follow.counters.late_reads += 1;
        return None;
    }
    Some(began)
}

/// Asks, gives and forgets what is due; runs with each round of membership.
pub fn round(cx: &mut Context<'_>) {
    give::give_waiting(cx);
    let now = cx.now;
    let followers = &mut cx.tables.vm_replication.subscribers;
    followers.retain(|_, until| *until > now);
    ask::round(cx);
}

/// Takes in a message about the VM list.
pub fn message(cx: &mut Context<'_>, from: &Sender, message: VmsMessage) {
    match message {
        VmsMessage::Ask { question, held } => give::asked(cx, &from.vm, question, held),
        VmsMessage::Answer { question, part } => ask::answered(cx, from, question, part),
        VmsMessage::Changed(part) => ask::told(cx, from, part),
    }
}

/// Notes that a peer can't be reached.
pub fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    let follow = &mut cx.tables.vm_replication;
    follow.subscribers.remove(vm);
    follow.snapshot_waiters.remove(vm);
    if follow.query.as_ref().is_some_and(|q| q.to == *vm) {
        ask::unhelped(cx);
    }
}

/// Changes the list to what has `digest`, and tells the nodes that rely on
/// this one.
fn change(cx: &mut Context<'_>, changes: VmChanges, digest: SetDigest) {
    let touched = changes.touched();
    if touched.is_empty() {
        return;
    }
    let base = cx.tables.vms.digest();
    let pushed = (touched.len() <= MAX_PUSHED).then(|| changes.clone());
    let concern_nodes = cx.tables.vms.apply(changes, digest);
    let follow = &mut cx.tables.vm_replication;
    follow.number += 1;
    follow.changes.push_back((base, touched.clone()));
    if pushed.is_none() {
        follow.changes.clear();
    }
    while follow.changes.len() > cx.cfg.vm_list.retained_changes as usize {
        follow.changes.pop_front();
    }
    platform::vms_changed(cx, &touched, concern_nodes);
    if let Some(changes) = pushed {
        give::push(cx, base, &changes);
    }
}

/// Sends a message to a node at the address that it says itself, or that the
/// list shows.
fn send(cx: &mut Context<'_>, to: &VmId, message: VmsMessage) {
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
