//! Replicates the configuration between the log and the nodes.
//!
//! A few nodes of each failure domain, the *readers*, read the log with long
//! polls and send new records to the other nodes of their domain. A node that
//! misses records requests them from a peer. No node ever reverts to an older
//! revision, and a node that starts or returns from a pause *joins*: it queries
//! the revisions of its peers before it serves. See
//! `docs/design/configuration.md`.

mod join;
mod log;
mod readers;
mod relay;
#[cfg(test)]
mod tests;

pub use join::{end_join_round, report_overdue_join, start, vm_list_received};
pub use log::{apply_log_read, log_read_failed};
pub use readers::{LogRead, next_read};
pub(super) use readers::{reader_rank, readers};
pub use relay::run_catch_up;

use std::collections::BTreeSet;

use super::{Context, platform, snapshots};
use crate::{
    config::{Config, Kind, ObjectKey, RecordOutcome},
    ids::VmId,
    message::Action,
    peer::{ConfigMessage, PeerMessage},
    platform::Record,
    tables::History,
};

/// Starts a join if the process was paused; runs before each event.
pub fn detect_pause(cx: &mut Context<'_>) {
    let last = std::mem::replace(&mut cx.tables.replication.last_event, cx.now);
    if cx.now.since(last) > cx.cfg.dissemination.rejoin_after {
        join::begin(cx);
    }
}

/// Handles a message about the configuration.
pub fn handle_message(cx: &mut Context<'_>, from: &VmId, message: ConfigMessage) {
    record_contact(cx);
    match message {
        ConfigMessage::QueryRevision { round } => {
            let revision = cx.tables.config.revision();
            send(cx, from, ConfigMessage::Revision { round, revision });
        }
        ConfigMessage::Revision { round, revision } => {
            join::record_revision(cx, from, round, revision);
        }
        ConfigMessage::QueryRecords { from: revision } => relay::send_records(cx, from, revision),
        ConfigMessage::Records {
            from: revision,
            digest,
            end,
            records,
        } => relay::apply_peer_records(cx, from, revision, digest, end, &records),
        ConfigMessage::Snapshot { body } => relay::apply_snapshot_part(cx, from, &body),
    }
}

/// Schedules a catch-up if a peer has a newer revision; runs after each message
/// of the peer.
pub fn check_peer_revision(cx: &mut Context<'_>, from: &VmId) {
    record_contact(cx);
    let reported = cx
        .tables
        .members
        .get(from)
        .map(|row| row.heartbeat.revision);
    if reported.is_some_and(|revision| revision > cx.tables.config.revision()) {
        relay::schedule_catch_up(cx);
    }
}

/// Stops waiting for a peer that is unreachable.
pub fn peer_unreachable(cx: &mut Context<'_>, vm: &VmId) {
    join::peer_unreachable(cx, vm);
    relay::peer_unreachable(cx, vm);
}

/// Records contact with the log or a peer. Starts a join if it is the first
/// contact after a long time, because other nodes may have applied newer records
/// meanwhile.
fn record_contact(cx: &mut Context<'_>) {
    let last = std::mem::replace(&mut cx.tables.replication.last_contact, cx.now);
    if cx.now.since(last) > cx.cfg.dissemination.rejoin_after {
        join::begin(cx);
    }
}

/// Applies the records that follow this node's revision and skips all others.
/// Returns the number of applied records.
fn apply_records(cx: &mut Context<'_>, records: &[Record]) -> u64 {
    let mut applied = 0;
    let mut changed = BTreeSet::new();
    for record in records {
        let Ok(outcome) = cx.tables.config.apply_record(record) else {
            continue;
        };
        applied += 1;
        let kept = cx.cfg.dissemination.retained_records as usize;
        let tables = &mut *cx.tables;
        tables.history.push(record.clone(), &tables.config, kept);
        match outcome {
            RecordOutcome::Decided { changed: keys, .. } => changed.extend(keys),
            RecordOutcome::Snapshot(part) => snapshots::record_applied(cx, &part),
            RecordOutcome::Duplicate(_) | RecordOutcome::Unreadable(_) => {}
        }
    }
    update_backends(cx, &changed);
    if applied > 0 {
        snapshots::schedule_if_due(cx);
    }
    applied
}

/// Updates the tables of the backend servers that the changes affect.
fn update_backends(cx: &mut Context<'_>, changed: &BTreeSet<ObjectKey>) {
    if changed.iter().any(|key| key.kind == Kind::Link) {
        return platform::rebuild_backends(cx);
    }
    let backends = changed.iter().filter(|key| key.kind == Kind::Backend);
    let vms: BTreeSet<VmId> = backends.filter_map(|key| key.name.parse().ok()).collect();
    if !vms.is_empty() {
        platform::update_backends(cx, &vms);
    }
}

/// Replaces the configuration with that of a snapshot if the latter is newer.
fn load_config(cx: &mut Context<'_>, config: Config) {
    if config.revision() <= cx.tables.config.revision() {
        return;
    }
    let follow = &mut cx.tables.replication;
    follow.counters.snapshots_loaded += 1;
    follow.newest_snapshot = config.revision();
    follow.snapshot_seen = cx.now;
    follow.verify = false;
    follow.snapshot_scan = None;
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
