//! Checks that a request with the outcome "not run" was not started by any
//! stand-in.

use std::collections::BTreeMap;

use radishhaven_core::{
    ids::{RequestId, VmId},
    outcome::Outcome,
};

use super::{Evidence, Violation};
use crate::engine::EngineRecord;

/// Finds requests that were started although a caller received "not run".
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let starts = starts(evidence);
    for caller in &evidence.callers {
        let is_not_run = |outcome: Option<Outcome>| matches!(outcome, Some(Outcome::NotRun(_)));
        let Some(id) = &caller.id else { continue };
        if !caller.answers.iter().any(|a| is_not_run(a.outcome)) {
            continue;
        }
        if let Some(vm) = starts.get(id) {
            found.push(Violation::StartedDespiteNotRun {
                request: id.clone(),
                vm: (*vm).clone(),
            });
        }
    }
}

/// Returns for each started request a VM that started it.
fn starts(evidence: &Evidence) -> BTreeMap<&RequestId, &VmId> {
    let mut starts = BTreeMap::new();
    for process in &evidence.engines {
        for record in &process.records {
            let request = match record {
                EngineRecord::SessionStarted(started) => &started.session.request,
                EngineRecord::Run(run) => &run.session.request,
                _ => continue,
            };
            starts.entry(request).or_insert(&process.vm);
        }
    }
    for process in &evidence.services {
        for call in &process.records {
            starts.entry(&call.request).or_insert(&process.vm);
        }
    }
    starts
}
