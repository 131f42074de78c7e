//! A request that is not idempotent starts at most once, over all backend
//! servers.

use std::collections::{BTreeMap, BTreeSet};

use radishhaven_core::ids::{Attempt, Position, RequestId, VmId};

use super::{Evidence, Violation};
use crate::engine::{EngineRecord, RunRecord};

/// Looks for requests that are not idempotent and have several starts.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut starts: BTreeMap<&RequestId, usize> = BTreeMap::new();
    for call in evidence.calls() {
        *starts.entry(&call.request).or_default() += 1;
    }
    for (request, vms) in completions(evidence) {
        *starts.entry(request).or_default() += vms.len();
    }
    let callers = evidence.callers.iter().filter(|c| !c.idempotent);
    let once: BTreeSet<&RequestId> = callers.filter_map(|c| c.id.as_ref()).collect();
    for request in once {
        let starts = starts.get(request).copied().unwrap_or(0);
        if starts > 1 {
            let request = request.clone();
            found.push(Violation::StartedMoreThanOnce { request, starts });
        }
    }
}

/// Returns where each completion was begun. A node that takes a failed stage
/// over counts its sessions on, so that only a second dispatch begins attempt
/// 0 at a second engine.
fn completions(evidence: &Evidence) -> BTreeMap<&RequestId, BTreeSet<&VmId>> {
    let mut begun: BTreeMap<&RequestId, BTreeSet<&VmId>> = BTreeMap::new();
    for life in &evidence.engines {
        let runs = life.records.iter().filter_map(|record| match record {
            EngineRecord::Run(run) if begins(run) => Some(run),
            _ => None,
        });
        for run in runs {
            let vms = begun.entry(&run.session.request).or_default();
            vms.insert(&life.vm);
        }
    }
    begun
}

fn begins(run: &RunRecord) -> bool {
    let first = run.first == Position(0) && run.layers.start() == 0;
    first && run.session.attempt == Attempt(0)
}
