//! Writes configuration snapshots to the log before retention deletes records.
//!
//! No node is elected for this: when a snapshot is due, each node waits for a
//! random delay, and the first one writes. The others see that snapshot in the
//! log and skip theirs. A duplicate snapshot is harmless. See
//! `docs/design/configuration.md`.

use std::time::Duration;

use rand::Rng;

use super::{Context, Timer};
use crate::{config::SnapshotPart, language::DigestMatch, message::Action, tables::LogState};

/// Exponent of the delay distribution: most nodes wait for nearly the full
/// range and few for a short time, so that usually a single node is first,
/// regardless of the number of nodes.
const DELAY_STEEPNESS: f64 = 10.0;
/// Minimum time between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Schedules the first check. Called once, when the node starts.
pub fn start(cx: &mut Context<'_>) {
    cx.tables.replication.snapshot_seen = cx.now;
    schedule_check(cx);
}

/// Checks whether a snapshot is due, and schedules the next check.
pub fn check(cx: &mut Context<'_>) {
    schedule_if_due(cx);
    schedule_check(cx);
}

fn schedule_check(cx: &mut Context<'_>) {
    let due = cx.tables.replication.snapshot_seen + cx.cfg.snapshots.interval;
    let at = due.max(cx.now + MIN_CHECK_INTERVAL);
    cx.tables.timers.subscribe(at, Timer::SnapshotCheck);
}

/// Schedules a snapshot after a random delay, if one is due.
pub fn schedule_if_due(cx: &mut Context<'_>) {
    if cx.tables.replication.snapshot_scheduled || !is_due(cx) {
        return;
    }
    cx.tables.replication.snapshot_scheduled = true;
    let at = cx.now + write_delay(cx.rng.random(), cx.cfg.snapshots.spread);
    cx.tables.timers.subscribe(at, Timer::Snapshot);
}

/// Maps a uniform number in `0..1` to a delay of at most `spread` with a
/// truncated exponential density.
pub(super) fn write_delay(uniform: f64, spread: Duration) -> Duration {
    let grown = uniform.mul_add(DELAY_STEEPNESS.exp() - 1.0, 1.0);
    spread.mul_f64((grown.ln() / DELAY_STEEPNESS).clamp(0.0, 1.0))
}

fn is_due(cx: &Context<'_>) -> bool {
    let follow = &cx.tables.replication;
    let old = cx.now >= follow.snapshot_seen + cx.cfg.snapshots.interval;
    let revision = cx.tables.config.revision();
    let records = revision.0.saturating_sub(follow.newest_snapshot.0);
    revision.0 > 0 && (old || records >= u64::from(cx.cfg.snapshots.interval_records))
}

/// Writes a snapshot unless another node has written one. Called when this
/// node's random delay ends.
pub fn write(cx: &mut Context<'_>) {
    cx.tables.replication.snapshot_scheduled = false;
    let following = cx.tables.replication.log == LogState::Following;
    if !is_due(cx) || !following || !cx.tables.ready {
        return;
    }
    let parts = cx.tables.config.snapshot();
    let bodies = parts.iter().map(SnapshotPart::to_body).collect();
    cx.out.push(Action::AppendConfig { bodies });
    let follow = &mut cx.tables.replication;
    follow.counters.snapshots_written += 1;
    follow.newest_snapshot = cx.tables.config.revision();
    follow.snapshot_seen = cx.now;
}

/// Records a snapshot chunk that was applied from the log, and compares its
/// digest with the node's own history.
pub fn record_applied(cx: &mut Context<'_>, part: &SnapshotPart) {
    let id = part.snapshot;
    let same = cx.tables.history.compare(id.revision, id.digest.short());
    let follow = &mut cx.tables.replication;
    if same == DigestMatch::Differs {
        follow.counters.divergences += 1;
        return;
    }
    if part.part + 1 == id.parts && id.revision >= follow.newest_snapshot {
        follow.newest_snapshot = id.revision;
        follow.snapshot_seen = cx.now;
    }
}
