//! Appends a batch to the log and waits for its position to decide.

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

use super::platform::{self, AppendEnd};
use crate::host::Host;

/// Time within which a batch should be decided.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait of one read that looks for the batch.
const SETTLE_READ: Duration = Duration::from_millis(500);
/// Pause between two attempts while the log is busy or out.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Makes a mistake of a message that has no place in the text.
fn whole(message: String) -> LanguageErrors {
    let place = Place { line: 1, column: 1 };
    LanguageErrors {
        errors: vec![LanguageError { place, message }],
    }
}

fn malformed(error: &serde_json::Error) -> LanguageErrors {
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

/// A batch as an operator handed it in.
enum Submitted<'a> {
    Json(Box<Batch>),
    Text(Script, &'a str),
}

impl<'a> Submitted<'a> {
    /// Reads JSON, which begins with a brace, or the language.
    fn parse(body: &'a str) -> Result<Self, LanguageErrors> {
        if body.trim_start().starts_with('{') {
            let batch = serde_json::from_str(body).map_err(|e| malformed(&e))?;
            return Ok(Self::Json(batch));
        }
        let script = parse_script(body);
        let script = script.map_err(|mistake| LanguageErrors {
            errors: vec![mistake],
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

/// Appends a batch and tells what became of it.
///
/// A batch that the node has folded before is not appended again, and a lost
/// answer is settled by the batch's id: the same record may be in the log
/// twice and counts once.
pub(super) async fn run(host: &Arc<Host>, body: &str) -> Result<Applied, LanguageErrors> {
    let submitted = Submitted::parse(body)?;
    let (id, fingerprint) = (submitted.id().clone(), submitted.fingerprint());
    let outcome = match decided(host, &id, fingerprint) {
        Some(outcome) => outcome,
        None => {
            let batch = submitted.resolve(host)?.batch;
            let record = serde_json::to_string(&batch).unwrap_or_default();
            if record.len() > MAX_RECORD_BYTES {
                let message = format!("a batch has at most {MAX_RECORD_BYTES} bytes");
                return Err(whole(message));
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

/// Tells what a batch would change if it were applied now.
pub(super) fn plan(host: &Arc<Host>, body: &str) -> Result<Planned, LanguageErrors> {
    let submitted = Submitted::parse(body)?;
    let resolved = submitted.resolve(host)?;
    Ok(host.with(|node| Planned {
        refusal: node.preview(&resolved.batch).err(),
        batch: resolved.batch.batch.clone(),
        revision: node.tables().config.revision(),
        differences: resolved.differences,
    }))
}

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

async fn append(
    host: &Arc<Host>,
    id: &BatchId,
    fingerprint: Fingerprint,
    record: &str,
) -> ApplyOutcome {
    let begun = Instant::now();
    let mut may_be_in_log = false;
    while begun.elapsed() < SETTLE_TIMEOUT {
        let end = platform::append(host, record.to_owned()).await;
        may_be_in_log |= matches!(end, AppendEnd::Appended | AppendEnd::Unknown);
        let mut settled = decided(host, id, fingerprint);
        while settled.is_none() && end == AppendEnd::Appended && begun.elapsed() < SETTLE_TIMEOUT {
            look(host, SETTLE_READ).await;
            settled = decided(host, id, fingerprint);
        }
        if settled.is_none() && end == AppendEnd::Unknown {
            look(host, Duration::ZERO).await;
            settled = decided(host, id, fingerprint);
        }
        if let Some(outcome) = settled {
            return outcome;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    match may_be_in_log {
        true => ApplyOutcome::Unknown,
        false => ApplyOutcome::NotAppended,
    }
}

async fn look(host: &Arc<Host>, wait: Duration) {
    let from = host.with(|node| node.next_log_read(host.now())).from;
    platform::read_log(host, from, wait).await;
}
