//! Writes snapshots to the log before retention takes the records.
//!
//! No node is set aside for it: when a snapshot is due, each node waits a
//! random time, and the first one writes. The others see its snapshot in the
//! log and leave theirs; a second one would do no harm. See
//! `docs/design/configuration.md`.

use std::time::Duration;

use rand::Rng;

use super::{Context, Timer};
use crate::{config::SnapshotPart, language::DigestMatch, message::Action, tables::LogState};

/// Steepness of the distribution of waits: most nodes wait nearly the whole
/// spread, few a short time, so that one is alone at the front at any number
/// of nodes.
const STEEPNESS: f64 = 10.0;
/// Shortest time between two looks.
const MIN_CHECK: Duration = Duration::from_secs(1);

/// Subscribes to the first look; runs once.
pub fn start(cx: &mut Context<'_>) {
    cx.tables.replication.snapshot_seen = cx.now;
    subscribe_check(cx);
}

/// Looks whether a snapshot is due by age.
pub fn check(cx: &mut Context<'_>) {
    consider(cx);
    subscribe_check(cx);
}

fn subscribe_check(cx: &mut Context<'_>) {
    let due = cx.tables.replication.snapshot_seen + cx.cfg.snapshots.interval;
    let at = due.max(cx.now + MIN_CHECK);
    cx.tables.timers.subscribe(at, Timer::SnapshotCheck);
}

/// Waits for this node's turn, if a snapshot is due.
pub fn consider(cx: &mut Context<'_>) {
    if cx.tables.replication.snapshot_scheduled || !is_due(cx) {
        return;
    }
    cx.tables.replication.snapshot_scheduled = true;
    let at = cx.now + wait(cx.rng.random(), cx.cfg.snapshots.spread);
    cx.tables.timers.subscribe(at, Timer::Snapshot);
}

/// Maps a uniform number to a wait with a truncated exponential density.
pub(super) fn wait(uniform: f64, spread: Duration) -> Duration {
    let grown = uniform.mul_add(STEEPNESS.exp() - 1.0, 1.0);
    spread.mul_f64((grown.ln() / STEEPNESS).clamp(0.0, 1.0))
}

fn is_due(cx: &Context<'_>) -> bool {
    let follow = &cx.tables.replication;
    let old = cx.now >= follow.snapshot_seen + cx.cfg.snapshots.interval;
    let revision = cx.tables.config.revision();
    let records = revision.0.saturating_sub(follow.newest_snapshot.0);
    revision.0 > 0 && (old || records >= u64::from(cx.cfg.snapshots.interval_records))
}

/// Writes a snapshot, unless another node did; runs at this node's turn.
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

/// Takes note of a part that was folded, and checks its digest.
pub fn seen(cx: &mut Context<'_>, part: &SnapshotPart) {
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
