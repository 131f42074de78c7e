//! Checks that each caller receives the complete answer to its own request, or a
//! typed outcome.

use radishhaven_core::{ids::RequestId, outcome::Outcome};

use super::{AnswerRecord, CallerRecord, Evidence, RequestSpec, Violation};

/// Checks every answer of every caller.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    for caller in &evidence.callers {
        let Some(id) = &caller.id else { continue };
        for answer in &caller.answers {
            check_answer(evidence, caller, id, answer, found);
        }
        let has_outcome = |matches_outcome: fn(Outcome) -> bool| {
            let outcomes = caller.answers.iter().filter_map(|a| a.outcome);
            outcomes.into_iter().any(matches_outcome)
        };
        if has_outcome(|o| o == Outcome::Completed)
            && has_outcome(|o| matches!(o, Outcome::NotRun(_)))
        {
            let request = id.clone();
            found.push(Violation::ContradictoryOutcomes { request });
        }
    }
}

fn check_answer(
    evidence: &Evidence,
    caller: &CallerRecord,
    id: &RequestId,
    answer: &AnswerRecord,
    found: &mut Vec<Violation>,
) {
    let request = id.clone();
    if let Some(named_id) = answer.id.as_ref().filter(|named_id| *named_id != id) {
        let found_id = named_id.clone();
        found.push(Violation::WrongRequestId {
            request: request.clone(),
            found: found_id,
        });
    }
    let completed = answer.outcome == Some(Outcome::Completed);
    match &caller.spec {
        RequestSpec::Completion { .. } => {
            let expected = caller.spec.expected_text();
            let text = answer.text.clone();
            if !expected.starts_with(&text) {
                let found_text = text;
                found.push(Violation::WrongText {
                    request,
                    found: found_text,
                    expected,
                });
            } else if completed && text != expected {
                found.push(Violation::IncompleteText {
                    request,
                    found: text,
                    expected,
                });
            }
        }
        RequestSpec::Call { operation } => {
            if completed && !is_recorded(evidence, id, operation, answer) {
                found.push(Violation::UnrecordedResult { request });
            }
        }
    }
}

/// Returns whether a service recorded that it finished this call, and the result
/// names the same operation.
fn is_recorded(
    evidence: &Evidence,
    id: &RequestId,
    operation: &str,
    answer: &AnswerRecord,
) -> bool {
    let operation_field = answer.body.as_ref().and_then(|body| body.get("operation"));
    let same_operation = operation_field.and_then(|v| v.as_str()) == Some(operation);
    same_operation
        && evidence
            .calls()
            .any(|call| call.request == *id && call.finished && call.operation == operation)
}
