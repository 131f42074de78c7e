//! Brings the configuration to this node and on to others.
//!
//! A few nodes of each failure domain wait at the log and push what they read
//! to the rest of their domain; who misses something asks a peer. A node
//! never goes back to an older revision, and one that starts or returns asks
//! its peers before it serves. See `docs/design/configuration.md`.

mod join;
mod log;
mod readers;
mod relay;
#[cfg(test)]
mod tests;

pub use join::{join_overdue, join_round, start, vms_known};
pub use log::{log_answered, read_failed};
pub use readers::{LogRead, next_read};
pub(super) use readers::{rank, readers};
pub use relay::catch_up_due;

use std::collections::BTreeSet;

use super::{Context, platform, snapshots};
use crate::{
    config::{Config, Folded, Kind, ObjectKey},
    ids::VmId,
    message::Action,
    peer::{ConfigMessage, PeerMessage},
    platform::Record,
    tables::History,
};

/// Notices that the process was paused; runs before each event.
pub fn wake(cx: &mut Context<'_>) {
    let last = std::mem::replace(&mut cx.tables.follow.handled, cx.now);
    if cx.now.since(last) > cx.cfg.dissemination.rejoin_after {
        join::begin(cx);
    }
}

/// Takes in a message about the configuration.
pub fn message(cx: &mut Context<'_>, from: &VmId, message: ConfigMessage) {
    contact(cx);
    match message {
        ConfigMessage::QueryRevision { round } => {
            let revision = cx.tables.config.revision();
            send(cx, from, ConfigMessage::Revision { round, revision });
        }
        ConfigMessage::Revision { round, revision } => {
            join::answered(cx, from, round, revision);
        }
        ConfigMessage::QueryRecords { from: revision } => relay::give(cx, from, revision),
        ConfigMessage::Records {
            from: revision,
            digest,
            end,
            records,
        } => relay::take(cx, from, revision, digest, end, &records),
        ConfigMessage::Snapshot { body } => relay::take_snapshot(cx, from, &body),
    }
}

/// Looks at what a peer has in force; runs after each of its messages.
pub fn heard(cx: &mut Context<'_>, from: &VmId) {
    contact(cx);
    let said = cx.tables.members.get(from).map(|row| row.said.revision);
    if said.is_some_and(|revision| revision > cx.tables.config.revision()) {
        relay::catch_up_soon(cx);
    }
}

/// Notes that a peer can't be reached.
pub fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    join::unreachable(cx, vm);
    relay::unreachable(cx, vm);
}

/// Notes a sign of the log or of a peer; the first one after a long time
/// without any means that others may have gone on meanwhile.
fn contact(cx: &mut Context<'_>) {
    let last = std::mem::replace(&mut cx.tables.follow.contact, cx.now);
    if cx.now.since(last) > cx.cfg.dissemination.rejoin_after {
        join::begin(cx);
    }
}

/// Folds the records that come next, and passes over others.
fn fold(cx: &mut Context<'_>, records: &[Record]) -> u64 {
    let mut folded = 0;
    let mut changed = BTreeSet::new();
    for record in records {
        let Ok(done) = cx.tables.config.fold(record) else {
            continue;
        };
        folded += 1;
        let kept = cx.cfg.dissemination.kept_records as usize;
        let tables = &mut *cx.tables;
        tables.history.push(record.clone(), &tables.config, kept);
        match done {
            Folded::Decided { changed: keys, .. } => changed.extend(keys),
            Folded::Snapshot(part) => snapshots::record_applied(cx, &part),
            Folded::Duplicate(_) | Folded::Unreadable(_) => {}
        }
    }
    join_backends(cx, &changed);
    if folded > 0 {
        snapshots::schedule_if_due(cx);
    }
    folded
}

/// Joins the backend servers that changes concern with the VM list.
fn join_backends(cx: &mut Context<'_>, changed: &BTreeSet<ObjectKey>) {
    if changed.iter().any(|key| key.kind == Kind::Link) {
        return platform::rebuild_backends(cx);
    }
    let backends = changed.iter().filter(|key| key.kind == Kind::Backend);
    let vms: BTreeSet<VmId> = backends.filter_map(|key| key.name.parse().ok()).collect();
    if !vms.is_empty() {
        platform::update_backends(cx, &vms);
    }
}

/// Takes over a whole configuration, if it is newer than the own one.
fn adopt(cx: &mut Context<'_>, config: Config) {
    if config.revision() <= cx.tables.config.revision() {
        return;
    }
    let follow = &mut cx.tables.follow;
    follow.counters.snapshots_loaded += 1;
    follow.newest_snapshot = config.revision();
    follow.snapshot_seen = cx.now;
    follow.verify = false;
    follow.scan = None;
    cx.tables.history = History::new(&config);
    cx.tables.config = config;
    platform::rebuild_backends(cx);
}

fn send(cx: &mut Context<'_>, to: &VmId, message: ConfigMessage) {
    let vm = cx.tables.vms.get(to);
    if let Some(address) = vm.and_then(|vm| vm.peer_address) {
        cx.out.push(Action::Peer {
            to: to.clone(),
            address,
            message: PeerMessage::Config(message),
        });
    }
}
