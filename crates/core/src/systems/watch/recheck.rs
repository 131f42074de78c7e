//! Rechecks engines that are reported not to hold their configured version.
//!
//! If a request finds no other engine, the reports may be older than the
//! engine's last load. The node then reads the engines itself, within its limit
//! on reads, while the request waits for capacity.

use std::time::Duration;

use super::Context;
use crate::{
    ids::{ModelId, RequestKey, VersionId, VmId},
    message::Action,
    systems::routing,
    tables::Work,
    watch::{HeldDigest, Reading, Report, ReportBody, Sequence},
};

/// Maximum number of engines that are read at once.
const MAX_RECHECKS: usize = 8;

/// Returns whether a request without a path should wait for engines that are
/// reported not to hold its version, and reads some of these engines.
pub fn hold_back(cx: &mut Context<'_>, key: RequestKey) -> bool {
    let Some(Work::Completion(work)) = cx.tables.requests.get(key).map(|row| &row.work) else {
        return false;
    };
    // Engines that hold the version without the adapters serve other requests,
    // which this request must not delay.
    if has_path_without_adapters(cx, key) {
        return false;
    }
    let (now, stale) = (cx.now, super::stale_after(cx));
    let engines = cx.tables.backends.of_version(&work.model, &work.version);
    let suspected =
        engines.filter(|row| row.accepts_work(now) && !row.has_configured(now, stale, false));
    let suspected: Vec<_> = suspected.map(|row| (row.vm.clone(), row.address)).collect();
    if suspected.is_empty() {
        return false;
    }
    let version = (work.model.clone(), work.version.clone());
    cx.tables.watch.held_back_versions.insert(version);
    let within = recheck_interval(cx);
    if now < cx.tables.watch.next_suspicion_read {
        return true;
    }
    cx.tables.watch.next_suspicion_read = now + within;
    // Starts with other engines the next time.
    let first = cx.tables.watch.counters.suspicion_reads as usize % suspected.len();
    let rotated = suspected[first..].iter().chain(&suspected[..first]);
    for (vm, address) in rotated.take(MAX_RECHECKS) {
        cx.tables.watch.counters.suspicion_reads += 1;
        cx.out.push(Action::ReadWatched {
            vm: vm.clone(),
            address: *address,
            load: false,
            timeout: within,
        });
    }
    true
}

fn has_path_without_adapters(cx: &Context<'_>, key: RequestKey) -> bool {
    let Some(row) = cx.tables.requests.get(key) else {
        return false;
    };
    let Work::Completion(work) = &row.work else {
        return false;
    };
    let mut work = work.clone();
    work.adapters.clear();
    routing::chain(cx, row, &work).is_some()
}

/// Returns whether requests for a version are held back until a report changes.
pub fn is_held_back(cx: &Context<'_>, model: &ModelId, version: &VersionId) -> bool {
    let held_back = &cx.tables.watch.held_back_versions;
    !held_back.is_empty() && held_back.contains(&(model.clone(), version.clone()))
}

/// Releases the requests that are held back, so that they select engines again:
/// a report changed, or the next recheck is due.
pub(super) fn release_held_back(cx: &mut Context<'_>) {
    cx.tables.watch.held_back_versions.clear();
}

fn recheck_interval(cx: &Context<'_>) -> Duration {
    Duration::from_secs(MAX_RECHECKS as u64) / cx.cfg.watch.reads_per_s.max(1)
}

/// Applies a reading of an engine that this node does not watch.
///
/// The new report gets the lowest sequence number that supersedes the stored
/// report, so the next report of a watcher supersedes it in turn. It is not
/// sent to other nodes, which receive the reports of the watchers.
pub(super) fn apply_reading(
    cx: &mut Context<'_>,
    vm: &VmId,
    stored: Option<Report>,
    reading: &Reading,
) {
    let holds = HeldDigest::from_held(&reading.held);
    if stored.is_some_and(|stored| stored.body.holds == holds) {
        return;
    }
    let seq = stored.map_or(0, |stored| stored.body.seq.0.saturating_add(1));
    let body = ReportBody {
        seq: Sequence(seq),
        holds,
        queue: None,
    };
    if let Some(row) = cx.tables.backends.get_mut(vm) {
        let at = reading.at;
        row.report = Some(Report { body, at });
    }
    release_held_back(cx);
}
