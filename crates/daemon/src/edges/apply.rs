//! Appends a configuration batch to the log and waits for the decision on it.
//!
//! A batch is a set of configuration changes that is accepted or refused as a
//! unit. Its position in the log decides which of the two.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use radishhaven_core::{
    config::{Batch, BatchRefusal, BatchResult, Fingerprint, MAX_RECORD_BYTES},
    ids::BatchId,
    language::{LanguageError, Place, Resolved, Script, parse_script, resolve},
};
use radishhaven_proto::operator::{Applied, ApplyOutcome, LanguageErrors, Planned};

use super::platform::{self, AppendOutcome};
use crate::host::Host;

/// Time after which the decision on a batch is no longer awaited.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which one read of the log waits for the batch.
const DECISION_READ_WAIT: Duration = Duration::from_millis(500);
/// Delay between two attempts while the log is busy or unreachable.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns an error that concerns the whole text and points to its start.
fn error_at_start(message: String) -> LanguageErrors {
    let place = Place { line: 1, column: 1 };
    LanguageErrors {
        errors: vec![LanguageError { place, message }],
    }
}

fn json_error(error: &serde_json::Error) -> LanguageErrors {
    let place = Place {
        line: error.line(),
        column: error.column(),
    };
    LanguageErrors {
        errors: vec![LanguageError {
            place,
            message: error.to_string(),
        }],
    }
}

/// A batch as submitted by an operator: JSON, or text in the configuration
/// language.
enum SubmittedBatch<'a> {
    Json(Box<Batch>),
    Text(Script, &'a str),
}

impl<'a> SubmittedBatch<'a> {
    /// Parses a batch. A body that starts with a brace is JSON.
    fn parse(body: &'a str) -> Result<Self, LanguageErrors> {
        if body.trim_start().starts_with('{') {
            let batch = serde_json::from_str(body).map_err(|e| json_error(&e))?;
            return Ok(Self::Json(batch));
        }
        let script = parse_script(body);
        let script = script.map_err(|error| LanguageErrors {
            errors: vec![error],
        })?;
        Ok(Self::Text(script, body))
    }

    fn id(&self) -> &BatchId {
        match self {
            Self::Json(batch) => &batch.batch,
            Self::Text(script, _) => &script.batch,
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Json(batch) => batch.fingerprint(),
            Self::Text(_, text) => Fingerprint::of(text.as_bytes()),
        }
    }

    fn resolve(&self, host: &Host) -> Result<Resolved, LanguageErrors> {
        match self {
            Self::Json(batch) => Ok(Resolved {
                batch: (**batch).clone(),
                differences: Vec::new(),
            }),
            Self::Text(script, text) => {
                let resolved = host.read(|node| resolve(&node.tables().config, script, text));
                resolved.map_err(|errors| LanguageErrors { errors })
            }
        }
    }
}

/// Appends a batch and returns its outcome.
///
/// A batch that the node has already applied is not appended again. After a
/// lost response the batch is appended again with the same id: the record may
/// be in the log twice, but is applied once.
///
/// # Errors
///
/// Returns the errors of the batch if it is invalid or too large.
pub(super) async fn run(host: &Arc<Host>, body: &str) -> Result<Applied, LanguageErrors> {
    let submitted = SubmittedBatch::parse(body)?;
    let (id, fingerprint) = (submitted.id().clone(), submitted.fingerprint());
    let outcome = match decided(host, &id, fingerprint) {
        Some(outcome) => outcome,
        None => {
            let batch = submitted.resolve(host)?.batch;
            let record = serde_json::to_string(&batch).unwrap_or_default();
            if record.len() > MAX_RECORD_BYTES {
                let message = format!("a batch has at most {MAX_RECORD_BYTES} bytes");
                return Err(error_at_start(message));
            }
            append(host, &id, fingerprint, &record).await
        }
    };
    Ok(host.read(|node| Applied {
        batch: id,
        outcome,
        node: node.configs().identity.vm.clone(),
        revision: node.tables().config.revision(),
    }))
}

/// Returns what a batch would change if it were applied now.
///
/// # Errors
///
/// Returns the errors of the batch if it is invalid.
pub(super) fn plan(host: &Arc<Host>, body: &str) -> Result<Planned, LanguageErrors> {
    let submitted = SubmittedBatch::parse(body)?;
    let resolved = submitted.resolve(host)?;
    Ok(host.with_node_mut(|node| Planned {
        refusal: node.preview(&resolved.batch).err(),
        batch: resolved.batch.batch.clone(),
        revision: node.tables().config.revision(),
        differences: resolved.differences,
    }))
}

/// Returns the decision on a batch, or `None` if the node has not applied it yet.
/// A batch that reuses the id of a different batch is refused.
fn decided(host: &Host, id: &BatchId, fingerprint: Fingerprint) -> Option<ApplyOutcome> {
    let decision = host.read(|node| node.tables().config.decision(id).cloned())?;
    let result = match decision.fingerprint == fingerprint {
        true => decision.result,
        false => {
            let at = decision.result.revision();
            BatchResult::Refused(at, BatchRefusal::IdTaken(at))
        }
    };
    Some(ApplyOutcome::Decided(result))
}

/// Appends a record until the node has applied the batch or the timeout has
/// passed.
async fn append(
    host: &Arc<Host>,
    id: &BatchId,
    fingerprint: Fingerprint,
    record: &str,
) -> ApplyOutcome {
    let started = Instant::now();
    let mut may_be_in_log = false;
    while started.elapsed() < DECISION_TIMEOUT {
        let appended = platform::append(host, record.to_owned()).await;
        may_be_in_log |= matches!(appended, AppendOutcome::Appended | AppendOutcome::Unknown);
        let mut outcome = decided(host, id, fingerprint);
        while outcome.is_none()
            && appended == AppendOutcome::Appended
            && started.elapsed() < DECISION_TIMEOUT
        {
            read_log(host, DECISION_READ_WAIT).await;
            outcome = decided(host, id, fingerprint);
        }
        if outcome.is_none() && appended == AppendOutcome::Unknown {
            read_log(host, Duration::ZERO).await;
            outcome = decided(host, id, fingerprint);
        }
        if let Some(outcome) = outcome {
            return outcome;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    match may_be_in_log {
        true => ApplyOutcome::Unknown,
        false => ApplyOutcome::NotAppended,
    }
}

async fn read_log(host: &Arc<Host>, wait: Duration) {
    let from = host
        .with_node_mut(|node| node.next_log_read(host.now()))
        .from;
    platform::read_log(host, from, wait).await;
}
