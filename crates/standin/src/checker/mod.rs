//! Checks the invariants of a deployment.
//!
//! [`check`] takes [`Evidence`] and returns every [`Violation`] that it finds. The
//! evidence consists of the responses that callers received and the records of
//! the stand-ins; the checker does not rely on the state of the nodes.
//! `docs/design/recovery.md` defines the invariants.

mod answers;
mod at_most_once;
mod evidence;
mod layers;
mod leaving;
mod not_run;
mod violation;

pub use self::{
    evidence::{AnswerRecord, CallerRecord, Evidence, PlannedStop, ProcessRecords, RequestSpec},
    violation::Violation,
};

/// Returns all violations in the evidence.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    layers::check(evidence, &mut found);
    answers::check(evidence, &mut found);
    not_run::check(evidence, &mut found);
    at_most_once::check(evidence, &mut found);
    leaving::check(evidence, &mut found);
    found
}
