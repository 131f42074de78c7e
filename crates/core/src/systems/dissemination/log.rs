//! Takes in what the log answers, and never goes back for it.

use super::{Context, adopt, contact, fold, join, relay};
use crate::{
    config::{Fingerprint, LogRecord, SnapshotPart},
    platform::Record,
    tables::LogState,
};

/// Takes in an answer of the log.
pub fn log_answered(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    contact(cx);
    let before = cx.tables.config.revision();
    let follow = &mut cx.tables.replication;
    follow.last_log_read = Some(cx.now);
    follow.failures = 0;
    follow.last_read_had_records = !records.is_empty();
    let state = state(cx, first, end, &records);
    enter(cx, state);
    match state {
        LogState::Following => {
            cx.tables.replication.verify = false;
            fold(cx, &records);
            relay::push(cx, before);
        }
        LogState::Expired => scan(cx, first, end, records),
        _ => {}
    }
    let read_whole = state == LogState::Following && cx.tables.config.revision().0 >= end;
    if let Some(join) = cx.tables.replication.join.as_mut().filter(|_| read_whole) {
        join.log_read = true;
    }
    join::finish(cx);
}

/// Takes in that the log did not answer.
pub fn read_failed(cx: &mut Context<'_>) {
    cx.tables.counters.log_failures += 1;
    let follow = &mut cx.tables.replication;
    follow.failures = follow.failures.saturating_add(1);
    // Another log may answer next time.
    follow.verify = true;
    follow.log = LogState::Unreachable;
    join::finish(cx);
}

fn state(cx: &Context<'_>, first: u64, end: u64, records: &[Record]) -> LogState {
    let next = cx.tables.config.revision().0;
    if end < next {
        return LogState::Shorter;
    }
    if differs(cx, first, records) {
        return LogState::OtherHistory;
    }
    if first > next {
        return LogState::Expired;
    }
    LogState::Following
}

/// Compares the answer with what was folded, as far as both reach.
fn differs(cx: &Context<'_>, first: u64, records: &[Record]) -> bool {
    let next = cx.tables.config.revision().0;
    let kept = |record: &&Record| record.offset < next;
    let mut common = records.iter().filter(kept).peekable();
    let Some(last) = next.checked_sub(1).filter(|_| cx.tables.replication.verify) else {
        return common.any(|record| conflicts(cx, record));
    };
    let shown = first > last || common.peek().is_some();
    !shown || common.any(|record| conflicts(cx, record))
}

fn conflicts(cx: &Context<'_>, record: &Record) -> bool {
    let config = &cx.tables.config;
    if record.offset + 1 == config.revision().0 {
        return Fingerprint::of(record.body.as_bytes()) != config.tail();
    }
    let own = cx.tables.history.get(record.offset);
    own.is_some_and(|own| own.body != record.body)
}

fn enter(cx: &mut Context<'_>, state: LogState) {
    let follow = &mut cx.tables.replication;
    let refuses = |state| matches!(state, LogState::Shorter | LogState::OtherHistory);
    if refuses(state) {
        follow.verify = true;
        if !refuses(follow.log) {
            follow.counters.reverts_refused += 1;
        }
    }
    follow.log = state;
}

/// Looks for a snapshot from which the kept records can be folded.
fn scan(cx: &mut Context<'_>, first: u64, end: u64, records: Vec<Record>) {
    let next = records.last().map_or(end, |record| record.offset + 1);
    cx.tables.replication.snapshot_scan = Some(next);
    for record in records {
        if let Ok(LogRecord::Snapshot(part)) = LogRecord::parse(&record.body)
            && part.snapshot.revision.0 >= first
        {
            take_part(cx, part);
        }
        if cx.tables.replication.snapshot_scan.is_none() {
            return;
        }
    }
    // A peer may have it sooner than the log.
    relay::catch_up_soon(cx);
}

fn take_part(cx: &mut Context<'_>, part: SnapshotPart) {
    match cx.tables.replication.log_snapshot.add(part) {
        Ok(Some(config)) => adopt(cx, config),
        Ok(None) => {}
        Err(_) => cx.tables.replication.counters.snapshots_refused += 1,
    }
}
