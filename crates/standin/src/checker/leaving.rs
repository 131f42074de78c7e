//! A leaving backend server gets no new work, and its stop cuts nothing.

use radishhaven_core::{
    ids::{RequestId, VmId},
    outcome::Outcome,
};

use super::{Evidence, Violation, evidence::LEAVING_GRACE};
use crate::engine::EngineRecord;

/// Looks for late starts on leaving backend servers and for cut requests.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    for life in &evidence.engines {
        for record in &life.records {
            let (session, at_us) = match record {
                EngineRecord::SessionStarted(started) => (&started.session, started.at_us),
                EngineRecord::KvImported(kv) => (&kv.session, kv.at_us),
                _ => continue,
            };
            check_start(evidence, &life.vm, &session.request, at_us, found);
        }
    }
    for life in &evidence.services {
        for call in &life.records {
            check_start(evidence, &life.vm, &call.request, call.started_us, found);
        }
    }
    if !evidence.faults && !evidence.stops.is_empty() {
        check_cuts(evidence, found);
    }
}

fn check_start(
    evidence: &Evidence,
    vm: &VmId,
    request: &RequestId,
    at_us: u64,
    found: &mut Vec<Violation>,
) {
    let grace_us = u64::try_from(LEAVING_GRACE.as_micros()).unwrap_or(u64::MAX);
    for stop in evidence.stops.iter().filter(|stop| stop.vm == *vm) {
        let last_us = stop.listed_us.saturating_add(grace_us);
        if at_us > last_us {
            found.push(Violation::StartedOnLeavingServer {
                request: request.clone(),
                vm: vm.clone(),
                late_us: at_us - last_us,
            });
        }
    }
}

fn check_cuts(evidence: &Evidence, found: &mut Vec<Violation>) {
    let begun_us = evidence.stops.iter().map(|stop| stop.listed_us).min();
    for caller in &evidence.callers {
        let cut = caller.answers.iter().any(|answer| {
            let ended = matches!(
                answer.outcome,
                Some(Outcome::Completed | Outcome::NotRun(_))
            );
            !ended && Some(answer.at_us) >= begun_us
        });
        if cut {
            let request = caller.id.clone();
            found.push(Violation::InterruptedByPlannedStop { request });
        }
    }
}
