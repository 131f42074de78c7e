//! Checks that a non-idempotent request starts at most once over all backend
//! servers.

use std::collections::{BTreeMap, BTreeSet};

use radishhaven_core::ids::{Attempt, Position, RequestId, VmId};

use super::{Evidence, Violation};
use crate::engine::{EngineRecord, RunRecord};

/// Finds non-idempotent requests that were started more than once.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut starts: BTreeMap<&RequestId, usize> = BTreeMap::new();
    for call in evidence.calls() {
        *starts.entry(&call.request).or_default() += 1;
    }
    for (request, vms) in completion_starts(evidence) {
        *starts.entry(request).or_default() += vms.len();
    }
    let callers = evidence.callers.iter().filter(|c| !c.idempotent);
    let non_idempotent: BTreeSet<&RequestId> = callers.filter_map(|c| c.id.as_ref()).collect();
    for request in non_idempotent {
        let starts = starts.get(request).copied().unwrap_or(0);
        if starts > 1 {
            let request = request.clone();
            found.push(Violation::StartedMoreThanOnce { request, starts });
        }
    }
}

/// Returns the engines that started each completion.
///
/// A node that replaces a failed stage increments the attempt number of its
/// sessions. Only a second dispatch therefore starts attempt 0 on another
/// engine.
fn completion_starts(evidence: &Evidence) -> BTreeMap<&RequestId, BTreeSet<&VmId>> {
    let mut starts: BTreeMap<&RequestId, BTreeSet<&VmId>> = BTreeMap::new();
    for process in &evidence.engines {
        let runs = process.records.iter().filter_map(|record| match record {
            EngineRecord::Run(run) if starts_completion(run) => Some(run),
            _ => None,
        });
        for run in runs {
            let vms = starts.entry(&run.session.request).or_default();
            vms.insert(&process.vm);
        }
    }
    starts
}

fn starts_completion(run: &RunRecord) -> bool {
    let first = run.first == Position(0) && run.layers.start() == 0;
    first && run.session.attempt == Attempt(0)
}
