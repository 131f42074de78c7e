//! Sends records and snapshots to peers, and requests missing records from them.

use rand::seq::IteratorRandom;

use super::{Context, apply_records, join, load_config, readers, send};
use crate::{
    config::{LogRecord, SnapshotPart},
    ids::{Revision, VmId},
    language::DigestMatch,
    peer::ConfigMessage,
    platform::Record,
    systems::Timer,
    tables::LogState,
};

/// Maximum number of records in a message.
const MAX_RECORDS_PER_MESSAGE: usize = 256;
/// Number of bytes of records after which a message takes no further record.
const MAX_BYTES_PER_MESSAGE: usize = 1024 * 1024;
/// Time after which another peer is asked for records, as a multiple of the
/// catch-up delay.
const REQUEST_TIMEOUT_CATCH_UPS: u32 = 5;

/// Sends the records after revision `before` to the nodes that receive records
/// from this one, if there are any new records.
pub(super) fn push(cx: &mut Context<'_>, before: Revision) {
    if cx.tables.config.revision() == before {
        return;
    }
    for vm in readers::record_receivers(cx) {
        send_records(cx, &vm, before);
    }
}

/// Sends a peer the records from a revision on, or a snapshot if this node no
/// longer has them.
pub(super) fn send_records(cx: &mut Context<'_>, to: &VmId, from: Revision) {
    let end = cx.tables.config.revision();
    let digest = cx.tables.history.digest(from);
    let records = cx
        .tables
        .history
        .since(from, MAX_RECORDS_PER_MESSAGE, MAX_BYTES_PER_MESSAGE);
    match digest {
        Some(digest) if from == end || !records.is_empty() => {
            cx.tables.replication.counters.records_sent_to_peers += records.len() as u64;
            let message = ConfigMessage::Records {
                from,
                digest,
                end,
                records,
            };
            send(cx, to, message);
        }
        _ if from < end => send_snapshot(cx, to),
        _ => {}
    }
}

fn send_snapshot(cx: &mut Context<'_>, to: &VmId) {
    let end = cx.tables.config.revision();
    // A cached snapshot is of use only if the records after it are available.
    let usable = |(at, _): &(Revision, Vec<String>)| {
        *at == end || !cx.tables.history.since(*at, 1, 0).is_empty()
    };
    let relayed = cx.tables.replication.served_snapshot.take().filter(usable);
    let (at, bodies) = relayed.unwrap_or_else(|| {
        let parts = cx.tables.config.snapshot();
        (end, parts.iter().map(SnapshotPart::to_body).collect())
    });
    for body in &bodies {
        let body = body.clone();
        send(cx, to, ConfigMessage::Snapshot { body });
    }
    cx.tables.replication.served_snapshot = Some((at, bodies));
}

/// Applies records from a peer if they continue the history of this node.
pub(super) fn apply_peer_records(
    cx: &mut Context<'_>,
    from: &VmId,
    begin: Revision,
    digest: u64,
    end: Revision,
    records: &[Record],
) {
    clear_request(cx, from);
    let conflicts = |r: &Record| cx.tables.history.get(r.offset).is_some_and(|own| own != r);
    let differs = cx.tables.history.compare(begin, digest) == DigestMatch::Differs;
    if differs || records.iter().any(conflicts) {
        cx.tables.replication.counters.divergences += 1;
        return;
    }
    let mut applied = 0;
    if cx.tables.history.compare(begin, digest) == DigestMatch::Same {
        applied = apply_records(cx, records);
        cx.tables.replication.counters.records_from_peers += applied;
    }
    if let Some(join) = &mut cx.tables.replication.join {
        join.revisions.insert(from.clone(), end);
    }
    if cx.tables.config.revision() < end {
        // The next request follows at once only if this response made progress.
        match applied {
            0 => schedule_catch_up(cx),
            _ => catch_up(cx),
        }
    }
    join::finish(cx);
}

/// Applies a part of a snapshot if it comes from the peer that was asked.
pub(super) fn apply_snapshot_part(cx: &mut Context<'_>, from: &VmId, body: &str) {
    if cx
        .tables
        .replication
        .pending_query
        .as_ref()
        .is_none_or(|(vm, _)| vm != from)
    {
        return;
    }
    let Ok(LogRecord::Snapshot(part)) = LogRecord::parse(body) else {
        cx.tables.replication.counters.snapshots_refused += 1;
        return;
    };
    match cx.tables.replication.peer_snapshot.add(part) {
        Ok(None) => {}
        Ok(Some(config)) => {
            clear_request(cx, from);
            load_config(cx, config);
            // The log may hold a different history than the peer.
            cx.tables.replication.verify = true;
            schedule_catch_up(cx);
            join::finish(cx);
        }
        Err(_) => cx.tables.replication.counters.snapshots_refused += 1,
    }
}

/// Clears the outstanding request if it was sent to `from`.
fn clear_request(cx: &mut Context<'_>, from: &VmId) {
    let request = &mut cx.tables.replication.pending_query;
    if request.as_ref().is_some_and(|(vm, _)| vm == from) {
        *request = None;
    }
}

/// Schedules a request to another peer if the one that was asked is unreachable.
pub(super) fn peer_unreachable(cx: &mut Context<'_>, vm: &VmId) {
    if cx
        .tables
        .replication
        .pending_query
        .as_ref()
        .is_some_and(|(asked, _)| asked == vm)
    {
        cx.tables.replication.pending_query = None;
        schedule_catch_up(cx);
    }
}

/// Schedules a request for records, unless they arrive before it is due.
pub(super) fn schedule_catch_up(cx: &mut Context<'_>) {
    if !std::mem::replace(&mut cx.tables.replication.catch_up, true) {
        let at = cx.now + cx.cfg.dissemination.catch_up_wait;
        cx.tables.timers.subscribe(at, Timer::CatchUp);
    }
}

/// Requests records from a peer; runs when the catch-up delay has passed.
pub fn run_catch_up(cx: &mut Context<'_>) {
    cx.tables.replication.catch_up = false;
    catch_up(cx);
}

/// Requests records from one of the peers that have a newer revision, unless a
/// request is outstanding.
pub(super) fn catch_up(cx: &mut Context<'_>) {
    if cx
        .tables
        .replication
        .pending_query
        .as_ref()
        .is_some_and(|(_, until)| cx.now < *until)
    {
        schedule_catch_up(cx);
        return;
    }
    let own = cx.tables.config.revision();
    let members = cx.tables.members.iter();
    let members = members.map(|(vm, row)| (vm, row.heartbeat.revision));
    let join = cx.tables.replication.join.iter();
    let join_revisions = join.flat_map(|join| join.revisions.iter().map(|(vm, r)| (vm, *r)));
    let newer = members
        .chain(join_revisions)
        .filter(|(_, revision)| *revision > own);
    let Some(peer) = newer.map(|(vm, _)| vm.clone()).choose(cx.rng) else {
        return;
    };
    let until = cx.now + cx.cfg.dissemination.catch_up_wait * REQUEST_TIMEOUT_CATCH_UPS;
    cx.tables.replication.pending_query = Some((peer.clone(), until));
    send(cx, &peer, ConfigMessage::QueryRecords { from: own });
    schedule_catch_up(cx);
}

/// Returns whether the log provides no usable records, so that this node depends
/// on its peers.
pub(super) fn is_log_unavailable(state: LogState) -> bool {
    matches!(
        state,
        LogState::Unreachable | LogState::Shorter | LogState::OtherHistory
    )
}
