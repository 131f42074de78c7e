//! Reads the engines that are assigned to this node and reports changes to the
//! other nodes.
//!
//! The alternatives and the traffic calculation are in `docs/design/watch.md`.

mod assignment;
mod disseminate;
mod recheck;
#[cfg(test)]
mod tests;

pub use assignment::{servers_changed, servers_rebuilt};
pub use disseminate::apply_message;
pub use recheck::{hold_back, is_held_back};

use std::{net::SocketAddr, time::Duration};

use super::{Context, Timer};
use crate::{
    ids::VmId,
    message::Action,
    rendezvous,
    tables::{Urgency, WatchedBackend},
    time::Timestamp,
    watch::{
        HeldDigest, PACKED_REPORT_BYTES, QueueLevel, Reading, Report, ReportBody, Sequence,
        WatcherRole,
    },
};

/// Time between two checks for due reads and messages.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two reads of an engine, as a fraction of the interval.
/// The maximum exceeds the interval by as much as the minimum falls short of it.
const MIN_JITTER: f64 = 0.75;
/// Number of read intervals that the second watcher waits for the first watcher
/// to report a change.
const TAKEOVER_INTERVALS: u32 = 3;
/// Divisor of the byte limit; the quotient is available to repeated reports.
const REFRESH_DIVISOR: u32 = 2;
/// Number of missed repetitions after which a report is stale.
const STALE_REFRESHES: u32 = 3;

/// Schedules the first round. Called when the node starts.
pub fn start(cx: &mut Context<'_>) {
    cx.tables
        .timers
        .subscribe(cx.now + ROUND_INTERVAL, Timer::Watch);
}

/// Reads the engines that are due and sends pending reports. Called at a
/// fixed interval.
pub fn round(cx: &mut Context<'_>) {
    cx.tables
        .timers
        .subscribe(cx.now + ROUND_INTERVAL, Timer::Watch);
    assignment::update(cx);
    read_due(cx);
    disseminate::flush(cx);
    recheck::release_held_back(cx);
}

/// Returns the age at which a report becomes stale and is ignored.
pub fn stale_after(cx: &Context<'_>) -> Duration {
    cx.cfg.watch.report_ttl.max(refresh(cx) * STALE_REFRESHES)
}

/// Returns the time after which an unchanged report is repeated.
fn refresh(cx: &Context<'_>) -> Duration {
    let bytes = cx.tables.watch.shares.servers() as u32 * PACKED_REPORT_BYTES * REFRESH_DIVISOR;
    let needed = f64::from(bytes) / f64::from(cx.cfg.watch.bytes_per_s.max(1));
    cx.cfg
        .watch
        .refresh_interval
        .max(Duration::from_secs_f64(needed))
}

/// Returns the time between two reads of an engine by this node.
fn interval(cx: &Context<'_>) -> Duration {
    // The first watcher sends two requests, the second one sends one, and a
    // node is either of them equally often.
    let reads = cx.tables.watch.watched.len() as f64 * 1.5;
    let needed = reads / f64::from(cx.cfg.watch.reads_per_s.max(1));
    cx.cfg.watch.interval.max(Duration::from_secs_f64(needed))
}

/// Returns a pseudo-random factor for the read interval, different for each
/// engine and each read, which distributes reads over time.
fn jitter(vm: &VmId, reads: u64) -> f64 {
    let draw = rendezvous::score(vm.as_str(), &reads.to_string()) as f64 / u64::MAX as f64;
    MIN_JITTER + 2.0 * (1.0 - MIN_JITTER) * draw
}

fn read_due(cx: &mut Context<'_>) {
    let interval = interval(cx);
    while let Some((due, vm)) = cx.tables.watch.due.first().cloned() {
        if due > cx.now {
            return;
        }
        let watch = &mut cx.tables.watch;
        watch.due.pop_first();
        let Some(row) = watch.watched.get_mut(&vm) else {
            continue;
        };
        row.reads += 1;
        row.due = cx.now + interval.mul_f64(jitter(&vm, row.reads));
        watch.due.insert((row.due, vm.clone()));
        watch.counters.reads += 1;
        let role = watch.shares.role(&vm, &cx.cfg.identity.vm);
        if let Some(backend) = cx.tables.backends.get(&vm) {
            let address = backend.address;
            cx.out.push(Action::ReadWatched {
                vm,
                address,
                load: role == Some(WatcherRole::First),
                timeout: interval,
            });
        }
    }
}

/// Applies a reading of an engine; `None` if the engine did not answer. A missing
/// answer is only counted, because the link of this node may be at fault.
pub fn apply_reading(
    cx: &mut Context<'_>,
    vm: &VmId,
    address: SocketAddr,
    reading: Option<Reading>,
) {
    let role = cx.tables.watch.shares.role(vm, &cx.cfg.identity.vm);
    let row = cx
        .tables
        .backends
        .get(vm)
        .filter(|row| row.address == address);
    let Some(row) = row else {
        cx.tables.watch.counters.unknown += 1;
        return;
    };
    let stored = row.report;
    let Some(reading) = reading else {
        cx.tables.watch.counters.unanswered += 1;
        return;
    };
    match role {
        Some(WatcherRole::First) => read_as_first(cx, vm, stored, &reading),
        Some(WatcherRole::Second) => read_as_second(cx, vm, stored, &reading),
        None => recheck::apply_reading(cx, vm, stored, &reading),
    }
}

fn read_as_first(cx: &mut Context<'_>, vm: &VmId, stored: Option<Report>, reading: &Reading) {
    let holds = HeldDigest::from_held(&reading.held);
    let queue = reading.queued.map(QueueLevel::new);
    let unchanged = stored.filter(|stored| stored.body.holds == holds);
    let last_published = cx.tables.watch.watched.get(vm).map(|row| row.last_report);
    let overdue =
        last_published.is_none_or(|last_published| last_published + refresh(cx) <= cx.now);
    match unchanged {
        None => publish(cx, vm, stored, holds, queue, reading.at, Urgency::Holds),
        Some(stored) if stored.body.queue != queue => {
            publish(
                cx,
                vm,
                Some(stored),
                holds,
                queue,
                reading.at,
                Urgency::Queue,
            );
        }
        Some(_) => {
            confirm(cx, vm, reading.at);
            if overdue {
                record_published(cx, vm);
                cx.tables.watch.outbox.push(vm, Urgency::Refresh);
            }
        }
    }
}

/// Applies a reading as second watcher: reports a change that the first watcher
/// has not reported for a while, and repeats a report that the
/// first watcher should have repeated.
fn read_as_second(cx: &mut Context<'_>, vm: &VmId, stored: Option<Report>, reading: &Reading) {
    let holds = HeldDigest::from_held(&reading.held);
    let takeover_delay = interval(cx) * TAKEOVER_INTERVALS + disseminate::pace(cx) * 2;
    let silence_limit = refresh(cx) + takeover_delay;
    let (now, at) = (cx.now, reading.at);
    let Some(row) = cx.tables.watch.watched.get_mut(vm) else {
        return;
    };
    if let Some(stored) = stored.filter(|stored| stored.body.holds == holds) {
        row.differs_since = None;
        if now.since(stored.at) >= silence_limit {
            cx.tables.watch.counters.takeovers += 1;
            confirm(cx, vm, at);
            cx.tables.watch.outbox.push(vm, Urgency::Refresh);
        }
        return;
    }
    let since = *row.differs_since.get_or_insert(now);
    if now.since(since) >= takeover_delay {
        cx.tables.watch.counters.takeovers += 1;
        publish(cx, vm, stored, holds, None, at, Urgency::Holds);
    }
}

/// Replaces the stored report by a newer one and queues it for dissemination.
fn publish(
    cx: &mut Context<'_>,
    vm: &VmId,
    stored: Option<Report>,
    holds: HeldDigest,
    queue: Option<QueueLevel>,
    at: Timestamp,
    urgency: Urgency,
) {
    let clock = cx
        .cfg
        .identity
        .incarnation
        .0
        .saturating_add(cx.now.as_millis());
    let after = stored.map_or(0, |stored| stored.body.seq.0.saturating_add(1));
    let seq = Sequence(clock.max(after));
    if let Some(row) = cx.tables.backends.get_mut(vm) {
        let body = ReportBody { seq, holds, queue };
        row.report = Some(Report { body, at });
    }
    if urgency == Urgency::Holds {
        recheck::release_held_back(cx);
    }
    record_published(cx, vm);
    cx.tables.watch.counters.reports_made += 1;
    cx.tables.watch.outbox.push(vm, urgency);
}

fn record_published(cx: &mut Context<'_>, vm: &VmId) {
    if let Some(row) = cx.tables.watch.watched.get_mut(vm) {
        let row: &mut WatchedBackend = row;
        row.last_report = cx.now;
        row.differs_since = None;
    }
}

/// Records that the stored report was still correct at `at`.
fn confirm(cx: &mut Context<'_>, vm: &VmId, at: Timestamp) {
    let row = cx.tables.backends.get_mut(vm);
    if let Some(report) = row.and_then(|row| row.report.as_mut()) {
        report.at = report.at.max(at);
    }
}
