//! What was told as not run has never started, in any life of any stand-in.

use std::collections::BTreeMap;

use radishhaven_core::{
    ids::{RequestId, VmId},
    outcome::Outcome,
};

use super::{Evidence, Violation};
use crate::engine::EngineRecord;

/// Looks for starts of requests that some caller was told were not run.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let starts = starts(evidence);
    for caller in &evidence.callers {
        let told = |outcome: Option<Outcome>| matches!(outcome, Some(Outcome::NotRun(_)));
        let Some(id) = &caller.id else { continue };
        if !caller.answers.iter().any(|a| told(a.outcome)) {
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

fn starts(evidence: &Evidence) -> BTreeMap<&RequestId, &VmId> {
    let mut starts = BTreeMap::new();
    for life in &evidence.engines {
        for record in &life.records {
            let request = match record {
                EngineRecord::SessionStarted(started) => &started.session.request,
                EngineRecord::Run(run) => &run.session.request,
                _ => continue,
            };
            starts.entry(request).or_insert(&life.vm);
        }
    }
    for life in &evidence.services {
        for call in &life.records {
            starts.entry(&call.request).or_insert(&life.vm);
        }
    }
    starts
}
