//! Replicates the VM list between nodes.
//!
//! A few nodes of each failure domain, the readers, read the list from the
//! platform. Every other node queries one reader, which then pushes changes to
//! it. The list has no version, so nodes order its states by the time at which
//! they were read. See `docs/design/vm-list.md`.

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

/// Maximum number of changed VMs that are pushed at once; after a larger change,
/// other nodes have to query the list.
const MAX_PUSHED_VMS: usize = 1_024;

/// When and how a node should next read the VM list from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmListRead {
    /// Delay before the read.
    pub after: Duration,
    /// Whether the reader may report an unchanged answer of the platform without
    /// the list itself.
    pub accepts_unchanged: bool,
}

/// Returns when and how this node should next read the VM list.
pub fn next_read(cx: &Context<'_>) -> VmListRead {
    let (cfg, follow) = (&cx.cfg.vm_list, &cx.tables.vm_replication);
    let after = match follow.last_read_began {
        None => Duration::ZERO,
        Some(tried) if follow.counters.reads == 0 => {
            (tried + initial_retry_delay(cfg)).since(cx.now)
        }
        Some(tried) if follow.reader.is_none() => (tried + cfg.read_interval).since(cx.now),
        Some(tried) => {
            let delay = cfg.fallback_after.mul_f64(1.0 + follow.fallback_jitter);
            (tried.max(follow.read_began) + delay).since(cx.now)
        }
    };
    let accepts_unchanged = follow.source.is_none() && follow.counters.reads > 0;
    VmListRead {
        after,
        accepts_unchanged,
    }
}

/// Returns the delay before the next read attempt of a node without a list.
fn initial_retry_delay(cfg: &VmListConfig) -> Duration {
    cfg.read_interval
        .min(cfg.refresh_interval / query::RETRY_DIVISOR)
}

/// Records that a read of the VM list begins.
pub fn begin_read(cx: &mut Context<'_>) {
    let follow = &mut cx.tables.vm_replication;
    follow.last_read_began = Some(cx.now);
    follow.open_read = Some(cx.now);
    follow.fallback_jitter = cx.rng.random_range(0.0..1.0);
}

/// Applies the list that the platform returned.
pub fn apply_read(cx: &mut Context<'_>, list: VmList) {
    let Some(began) = end_read(cx) else {
        return;
    };
    cx.tables.vm_replication.counters.reads += 1;
    let changes = cx.tables.vms.diff(list);
    let digest = cx.tables.vms.digest_after(&changes);
    let follow = &mut cx.tables.vm_replication;
    follow.source = None;
    follow.needs_snapshot = false;
    (follow.read_began, follow.read_ended) = (began, cx.now);
    apply_changes(cx, changes, digest);
    dissemination::vm_list_received(cx);
}

/// Records that the platform returned the same list as for this node's last
/// read.
pub fn apply_unchanged_read(cx: &mut Context<'_>) {
    // A list that a peer sent in the meantime may differ from the one that was read.
    if cx.tables.vm_replication.source.is_some() {
        cx.tables.vm_replication.open_read = None;
        return;
    }
    if let Some(began) = end_read(cx) {
        let follow = &mut cx.tables.vm_replication;
        follow.counters.reads += 1;
        (follow.read_began, follow.read_ended) = (began, cx.now);
    }
}

/// Returns when the open read began, or `None` if the list that the node holds
/// may be newer: the process may have been paused during the read, and a peer
/// may have sent a newer list.
fn end_read(cx: &mut Context<'_>) -> Option<Timestamp> {
    let follow = &mut cx.tables.vm_replication;
    let began = follow.open_read.take().unwrap_or(cx.now);
    if began < follow.read_ended {
        follow.counters.late_reads += 1;
        return None;
    }
    Some(began)
}

/// Sends pending full lists, removes expired subscribers and sends a query if
/// one is due. Called with each membership round.
pub fn round(cx: &mut Context<'_>) {
    serve::send_next_full_list(cx);
    let now = cx.now;
    let followers = &mut cx.tables.vm_replication.subscribers;
    followers.retain(|_, until| *until > now);
    query::round(cx);
}

/// Applies a message about the VM list.
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

/// Unsubscribes an unreachable peer and ends an open query to it.
pub fn peer_unreachable(cx: &mut Context<'_>, vm: &VmId) {
    let follow = &mut cx.tables.vm_replication;
    follow.subscribers.remove(vm);
    follow.snapshot_waiters.remove(vm);
    if follow.query.as_ref().is_some_and(|q| q.to == *vm) {
        query::query_failed(cx);
    }
}

/// Applies changes that lead to the list with `digest`, and pushes them to the
/// subscribers of this node.
fn apply_changes(cx: &mut Context<'_>, changes: VmChanges, digest: SetDigest) {
    let touched = changes.touched();
    if touched.is_empty() {
        return;
    }
    let base = cx.tables.vms.digest();
    let pushed = (touched.len() <= MAX_PUSHED_VMS).then(|| changes.clone());
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
        serve::push(cx, base, &changes);
    }
}

/// Sends a message to the address that the node reports itself or, if it has not
/// reported one, to the address on the VM list.
fn send(cx: &mut Context<'_>, to: &VmId, message: VmListMessage) {
    let row = cx.tables.members.rows().get(to);
    let reported = row.and_then(|row| row.place.as_ref());
    let reported = reported.map(|place| place.peer_address);
    let listed = || cx.tables.vms.get(to).and_then(|vm| vm.peer_address);
    if let Some(address) = reported.or_else(listed) {
        cx.out.push(Action::Peer {
            to: to.clone(),
            address,
            message: PeerMessage::Vms(message),
        });
    }
}
