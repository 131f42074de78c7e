//! Checks that leaving backend servers receive no new requests and that their
//! planned stop interrupts none.

use radishhaven_core::{
    ids::{RequestId, VmId},
    outcome::Outcome,
};

use super::{Evidence, Violation, evidence::LEAVING_GRACE};
use crate::engine::EngineRecord;

/// Finds late starts on leaving backend servers, and interrupted requests.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    for process in &evidence.engines {
        for record in &process.records {
            let (session, at_us) = match record {
                EngineRecord::SessionStarted(started) => (&started.session, started.at_us),
                EngineRecord::KvImported(kv) => (&kv.session, kv.at_us),
                _ => continue,
            };
            check_start(evidence, &process.vm, &session.request, at_us, found);
        }
    }
    for process in &evidence.services {
        for call in &process.records {
            check_start(evidence, &process.vm, &call.request, call.started_us, found);
        }
    }
    if !evidence.faults && !evidence.stops.is_empty() {
        check_interruptions(evidence, found);
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
        let deadline_us = stop.listed_us.saturating_add(grace_us);
        if at_us > deadline_us {
            found.push(Violation::StartedOnLeavingServer {
                request: request.clone(),
                vm: vm.clone(),
                late_us: at_us - deadline_us,
            });
        }
    }
}

fn check_interruptions(evidence: &Evidence, found: &mut Vec<Violation>) {
    let first_stop_us = evidence.stops.iter().map(|stop| stop.listed_us).min();
    for caller in &evidence.callers {
        let interrupted = caller.answers.iter().any(|answer| {
            let ended = matches!(
                answer.outcome,
                Some(Outcome::Completed | Outcome::NotRun(_))
            );
            !ended && Some(answer.at_us) >= first_stop_us
        });
        if interrupted {
            let request = caller.id.clone();
            found.push(Violation::InterruptedByPlannedStop { request });
        }
    }
}
