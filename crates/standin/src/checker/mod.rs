//! Judges a deployment's invariants by what callers saw and what stand-ins
//! recorded; it never reads a node's own opinion.
//!
//! [`check`] takes [`Evidence`] and returns every [`Violation`] that it finds.
//! What each invariant says is in `docs/design/recovery.md`.

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

/// Returns every violation that the evidence shows.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    layers::check(evidence, &mut found);
    answers::check(evidence, &mut found);
    not_run::check(evidence, &mut found);
    at_most_once::check(evidence, &mut found);
    leaving::check(evidence, &mut found);
    found
}
