//! Watches this node's share of the engines and tells the others what changes.
//!
//! The ways weighed and the count of bytes are in `docs/design/watch.md`.

mod doubt;
mod share;
mod spread;
#[cfg(test)]
mod tests;

pub use doubt::{hold_back, is_held_back};
pub use share::{servers_changed, servers_rebuilt};
pub use spread::message;

use std::{net::SocketAddr, time::Duration};

use super::{Context, Timer};
use crate::{
    ids::VmId,
    message::Action,
    rendezvous,
    tables::{Urgency, WatchedBackend},
    time::Timestamp,
    watch::{DIGEST_BYTES, Holds, QueueLevel, Reading, Report, Role, Said, Sequence},
};

/// Time between two looks at what is due.
const ROUND: Duration = Duration::from_millis(250);
/// Smallest part of the interval after which an engine is read again; the
/// largest one is as much above it as this is below.
const LEAST_JITTER: f64 = 0.75;
/// Intervals for which the second watcher waits for the first one to tell a change.
const TAKEOVER_INTERVALS: u32 = 3;
/// Part of the bound on bytes that repetitions may take.
const REFRESH_PART: u32 = 2;
/// Repetitions that have to be missed before a report is stale.
const STALE_REFRESHES: u32 = 3;

/// Begins; runs at the node's start.
pub fn start(cx: &mut Context<'_>) {
    cx.tables.timers.subscribe(cx.now + ROUND, Timer::Watch);
}

/// Reads what is due and tells what changed; runs at an interval.
pub fn round(cx: &mut Context<'_>) {
    cx.tables.timers.subscribe(cx.now + ROUND, Timer::Watch);
    share::renew(cx);
    read_due(cx);
    spread::flush(cx);
    doubt::look_again(cx);
}

/// Returns the age from which on a report counts for nothing.
pub fn stale(cx: &Context<'_>) -> Duration {
    cx.cfg.watch.report_ttl.max(refresh(cx) * STALE_REFRESHES)
}

/// Returns the time after which a report is told again.
fn refresh(cx: &Context<'_>) -> Duration {
    let all = cx.tables.watch.shares.servers() as u32 * DIGEST_BYTES * REFRESH_PART;
    let needed = f64::from(all) / f64::from(cx.cfg.watch.bytes_per_s.max(1));
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

/// Spreads reads over time, differently for each engine and each read.
fn jitter(vm: &VmId, reads: u64) -> f64 {
    let draw = rendezvous::score(vm.as_str(), &reads.to_string()) as f64 / u64::MAX as f64;
    LEAST_JITTER + 2.0 * (1.0 - LEAST_JITTER) * draw
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
                load: role == Some(Role::First),
                timeout: interval,
            });
        }
    }
}

/// Takes in what a watched engine said; absent when it did not answer, which
/// says nothing, for the link of this node may be at fault.
pub fn read(cx: &mut Context<'_>, vm: &VmId, address: SocketAddr, reading: Option<Reading>) {
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
    let known = row.report;
    let Some(reading) = reading else {
        cx.tables.watch.counters.unanswered += 1;
        return;
    };
    match role {
        Some(Role::First) => read_as_first(cx, vm, known, &reading),
        Some(Role::Second) => read_as_second(cx, vm, known, &reading),
        None => doubt::answered(cx, vm, known, &reading),
    }
}

fn read_as_first(cx: &mut Context<'_>, vm: &VmId, known: Option<Report>, reading: &Reading) {
    let holds = Holds::of_held(&reading.held);
    let queue = reading.queued.map(QueueLevel::new);
    let same = known.filter(|known| known.said.holds == holds);
    let told = cx.tables.watch.watched.get(vm).map(|row| row.last_report);
    let overdue = told.is_none_or(|told| told + refresh(cx) <= cx.now);
    match same {
        None => tell(cx, vm, known, holds, queue, reading.at, Urgency::Holds),
        Some(known) if known.said.queue != queue => {
            tell(
                cx,
                vm,
                Some(known),
                holds,
                queue,
                reading.at,
                Urgency::Queue,
            );
        }
        Some(_) => {
            confirm(cx, vm, reading.at);
            if overdue {
                note_told(cx, vm);
                cx.tables.watch.outbox.push(vm, Urgency::Refresh);
            }
        }
    }
}

/// The second watcher tells a change that the first one has not told for a
/// while, and repeats what the first one should have repeated.
fn read_as_second(cx: &mut Context<'_>, vm: &VmId, known: Option<Report>, reading: &Reading) {
    let holds = Holds::of_held(&reading.held);
    let patience = interval(cx) * TAKEOVER_INTERVALS + spread::pace(cx) * 2;
    let silent = refresh(cx) + patience;
    let (now, at) = (cx.now, reading.at);
    let Some(row) = cx.tables.watch.watched.get_mut(vm) else {
        return;
    };
    if let Some(known) = known.filter(|known| known.said.holds == holds) {
        row.differs_since = None;
        if now.since(known.at) >= silent {
            cx.tables.watch.counters.takeovers += 1;
            confirm(cx, vm, at);
            cx.tables.watch.outbox.push(vm, Urgency::Refresh);
        }
        return;
    }
    let since = *row.differs_since.get_or_insert(now);
    if now.since(since) >= patience {
        cx.tables.watch.counters.takeovers += 1;
        tell(cx, vm, known, holds, None, at, Urgency::Holds);
    }
}

/// Makes a newer report than the known one and puts it where all are told from.
fn tell(
    cx: &mut Context<'_>,
    vm: &VmId,
    known: Option<Report>,
    holds: Holds,
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
    let after = known.map_or(0, |known| known.said.seq.0.saturating_add(1));
    let seq = Sequence(clock.max(after));
    if let Some(row) = cx.tables.backends.get_mut(vm) {
        let said = Said { seq, holds, queue };
        row.report = Some(Report { said, at });
    }
    if urgency == Urgency::Holds {
        doubt::look_again(cx);
    }
    note_told(cx, vm);
    cx.tables.watch.counters.reports_made += 1;
    cx.tables.watch.outbox.push(vm, urgency);
}

fn note_told(cx: &mut Context<'_>, vm: &VmId) {
    if let Some(row) = cx.tables.watch.watched.get_mut(vm) {
        let row: &mut WatchedBackend = row;
        row.last_report = cx.now;
        row.differs_since = None;
    }
}

/// Notes that the known report was still true at a moment.
fn confirm(cx: &mut Context<'_>, vm: &VmId, at: Timestamp) {
    let row = cx.tables.backends.get_mut(vm);
    if let Some(report) = row.and_then(|row| row.report.as_mut()) {
        report.at = report.at.max(at);
    }
}
