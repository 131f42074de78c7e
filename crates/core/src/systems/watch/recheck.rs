//! Requests that find no engine but such as are reported not to hold what is
//! configured: the reports may be older than the engine's last load, so the
//! node asks itself, within its bound on reads, while the request waits for
//! room.

use std::time::Duration;

use super::Context;
use crate::{
    ids::{ModelId, RequestKey, VersionId, VmId},
    message::Action,
    systems::routing,
    tables::Work,
    watch::{HeldDigest, Reading, Report, ReportBody, Sequence},
};

/// Engines that are asked at one time.
const MAX_READS: usize = 8;

/// Tells whether a request that has no chain should wait for engines of which
/// reports say that they don't hold its version, and asks some of them.
pub fn hold_back(cx: &mut Context<'_>, key: RequestKey) -> bool {
    let Some(Work::Completion(work)) = cx.tables.requests.get(key).map(|row| &row.work) else {
        return false;
    };
    // Engines that hold its version without its adapters serve others, whom
    // it must not keep waiting.
    if chain_without_adapters(cx, key) {
        return false;
    }
    let (now, stale) = (cx.now, super::stale_after(cx));
    let engines = cx.tables.backends.of_version(&work.model, &work.version);
    let doubted = engines.filter(|row| row.takes_work(now) && !row.holds(now, stale, false));
    let doubted: Vec<_> = doubted.map(|row| (row.vm.clone(), row.address)).collect();
    if doubted.is_empty() {
        return false;
    }
    let version = (work.model.clone(), work.version.clone());
    cx.tables.watch.held_back.insert(version);
    let within = reads_every(cx);
    if now < cx.tables.watch.doubt_due {
        return true;
    }
    cx.tables.watch.doubt_due = now + within;
    // Others come first the next time.
    let first = cx.tables.watch.counters.doubts as usize % doubted.len();
    let turned = doubted[first..].iter().chain(&doubted[..first]);
    for (vm, address) in turned.take(MAX_READS) {
        cx.tables.watch.counters.doubts += 1;
        cx.out.push(Action::ReadWatched {
            vm: vm.clone(),
            address: *address,
            load: false,
            within,
        });
    }
    true
}

fn chain_without_adapters(cx: &Context<'_>, key: RequestKey) -> bool {
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

/// Tells whether requests for a version wait for a report.
pub fn is_held_back(cx: &Context<'_>, model: &ModelId, version: &VersionId) -> bool {
    let held_back = &cx.tables.watch.held_back;
    !held_back.is_empty() && held_back.contains(&(model.clone(), version.clone()))
}

/// Lets requests look for engines again: a report changed, or it is time to
/// ask again.
pub(super) fn look_again(cx: &mut Context<'_>) {
    cx.tables.watch.held_back.clear();
}

fn reads_every(cx: &Context<'_>) -> Duration {
    Duration::from_secs(MAX_READS as u64) / cx.cfg.watch.reads_per_s.max(1)
}

/// Takes in what an engine said that this node doesn't watch. The number is
/// the least one that goes before the known report, so that the next one of a
/// watcher goes before it; the others hear from the watchers.
pub(super) fn apply_reading(
    cx: &mut Context<'_>,
    vm: &VmId,
    known: Option<Report>,
    reading: &Reading,
) {
    let holds = HeldDigest::from_held(&reading.held);
    if known.is_some_and(|known| known.body.holds == holds) {
        return;
    }
    let seq = known.map_or(0, |known| known.body.seq.0.saturating_add(1));
    let body = ReportBody {
        seq: Sequence(seq),
        holds,
        queue: None,
    };
    if let Some(row) = cx.tables.backends.get_mut(vm) {
        let at = reading.at;
        row.report = Some(Report { body, at });
    }
    look_again(cx);
}
