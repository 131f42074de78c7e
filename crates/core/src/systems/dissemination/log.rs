//! Applies reads of the log, and detects a log that would revert this node.

use super::{Context, apply_records, join, load_config, record_contact, relay};
use crate::{
    config::{Fingerprint, LogRecord, SnapshotPart},
    platform::Record,
    tables::LogState,
};

/// Applies the result of a read of the log. `first` is the lowest offset that the
/// log retains, `end` the offset of the next record to be appended.
pub fn apply_log_read(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    record_contact(cx);
    let before = cx.tables.config.revision();
    let follow = &mut cx.tables.replication;
    follow.last_log_read = Some(cx.now);
    follow.failures = 0;
    follow.last_read_had_records = !records.is_empty();
    let state = classify(cx, first, end, &records);
    set_state(cx, state);
    match state {
        LogState::Following => {
            cx.tables.replication.verify = false;
            apply_records(cx, &records);
            relay::push(cx, before);
        }
        LogState::Expired => find_snapshot(cx, first, end, records),
        _ => {}
    }
    let read_to_end = state == LogState::Following && cx.tables.config.revision().0 >= end;
    if let Some(join) = cx.tables.replication.join.as_mut().filter(|_| read_to_end) {
        join.log_read = true;
    }
    join::finish(cx);
}

/// Handles a failed read of the log.
pub fn log_read_failed(cx: &mut Context<'_>) {
    cx.tables.counters.log_failures += 1;
    let follow = &mut cx.tables.replication;
    follow.failures = follow.failures.saturating_add(1);
    // A different log server may respond to the next read.
    follow.verify = true;
    follow.log = LogState::Unreachable;
    join::finish(cx);
}

/// Determines the state of the log from the result of a read.
fn classify(cx: &Context<'_>, first: u64, end: u64, records: &[Record]) -> LogState {
    let next = cx.tables.config.revision().0;
    if end < next {
        return LogState::Shorter;
    }
    if has_other_history(cx, first, records) {
        return LogState::OtherHistory;
    }
    if first > next {
        return LogState::Expired;
    }
    LogState::Following
}

/// Returns whether the log holds other records than this node has applied, going
/// by the offsets that both cover. If `verify` is set, a read that should show the
/// last applied record but doesn't counts as other history.
fn has_other_history(cx: &Context<'_>, first: u64, records: &[Record]) -> bool {
    let next = cx.tables.config.revision().0;
    let kept = |record: &&Record| record.offset < next;
    let mut common = records.iter().filter(kept).peekable();
    let Some(last) = next.checked_sub(1).filter(|_| cx.tables.replication.verify) else {
        return common.any(|record| conflicts(cx, record));
    };
    let covers_last = first > last || common.peek().is_some();
    !covers_last || common.any(|record| conflicts(cx, record))
}

fn conflicts(cx: &Context<'_>, record: &Record) -> bool {
    let config = &cx.tables.config;
    if record.offset + 1 == config.revision().0 {
        return Fingerprint::of(record.body.as_bytes()) != config.tail();
    }
    let own = cx.tables.history.get(record.offset);
    own.is_some_and(|own| own.body != record.body)
}

fn set_state(cx: &mut Context<'_>, state: LogState) {
    let follow = &mut cx.tables.replication;
    let would_revert = |state| matches!(state, LogState::Shorter | LogState::OtherHistory);
    if would_revert(state) {
        follow.verify = true;
        if !would_revert(follow.log) {
            follow.counters.reverts_refused += 1;
        }
    }
    follow.log = state;
}

/// Searches the records for a snapshot after which the log retains all records.
fn find_snapshot(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    let next = records.last().map_or(end, |record| record.offset + 1);
    cx.tables.replication.snapshot_scan = Some(next);
    for record in records {
        if let Ok(LogRecord::Snapshot(part)) = LogRecord::parse(&record.body)
            && part.snapshot.revision.0 >= first
        {
            apply_snapshot_part(cx, part);
        }
        if cx.tables.replication.snapshot_scan.is_none() {
            return;
        }
    }
    // A peer may deliver a snapshot sooner than the log.
    relay::schedule_catch_up(cx);
}

fn apply_snapshot_part(cx: &mut Context<'_>, part: SnapshotPart) {
    match cx.tables.replication.log_snapshot.add(part) {
        Ok(Some(config)) => load_config(cx, config),
        Ok(None) => {}
        Err(_) => cx.tables.replication.counters.snapshots_refused += 1,
    }
}
