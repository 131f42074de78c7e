//! What the checker judges by.

use std::time::Duration;

use radishhaven_client::Answer;
use radishhaven_core::{
    ids::{ModelId, RequestId, VersionId, VmId},
    outcome::Outcome,
};

use crate::{
    engine::{EngineRecord, RunRecord},
    reference,
    service::CallRecord,
    wire::wall_clock_us,
};

/// What a caller asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestSpec {
    /// Tokens of a version of a model.
    Completion {
        /// The model behind the pipeline.
        model: ModelId,
        /// Its version.
        version: VersionId,
        /// The number of its layers.
        layers: u16,
        /// The prompt.
        prompt: String,
        /// The largest number of tokens.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Call {
        /// The operation.
        operation: String,
    },
}

impl RequestSpec {
    /// Returns the right text, which is empty for a call.
    pub fn expected_text(&self) -> String {
        match self {
            Self::Completion {
                model,
                version,
                layers,
                prompt,
                max_tokens,
            } => reference::generate(model, version, *layers, prompt, *max_tokens),
            Self::Call { .. } => String::new(),
        }
    }
}

/// One answer, as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerRecord {
    /// The request that the answer names.
    pub id: Option<RequestId>,
    /// The outcome; absent when the answer was cut.
    pub outcome: Option<Outcome>,
    /// The text that arrived.
    pub text: String,
    /// A service's result.
    pub body: Option<serde_json::Value>,
    /// Wall-clock time of its end in microseconds.
    pub at_us: u64,
}

impl AnswerRecord {
    /// Takes down an answer that ended just now.
    pub fn new(answer: Answer) -> Self {
        Self {
            id: answer.id,
            outcome: answer.outcome,
            text: answer.text,
            body: answer.body,
            at_us: wall_clock_us(),
        }
    }
}

/// One request of a caller with every answer that it got.
///
/// A caller that sends a request again under the same id adds answers here.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRecord {
    /// The id that the caller sent, or was told.
    pub id: Option<RequestId>,
    /// What was asked.
    pub spec: RequestSpec,
    /// Whether the caller and the configuration allow it to run twice.
    pub idempotent: bool,
    /// The answers, the oldest one first.
    pub answers: Vec<AnswerRecord>,
}

/// What one life of a stand-in recorded.
#[derive(Debug, Clone)]
pub struct ProcessRecords<R> {
    /// Its VM.
    pub vm: VmId,
    /// Its records, the oldest one first.
    pub records: Vec<R>,
}

/// A VM that the VM list showed as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStop {
    /// The VM.
    pub vm: VmId,
    /// Wall-clock time in microseconds from which the list showed it.
    pub listed_us: u64,
}

/// What callers saw and what every life of every stand-in recorded.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// What callers saw.
    pub callers: Vec<CallerRecord>,
    /// Engines.
    pub engines: Vec<ProcessRecords<EngineRecord>>,
    /// Servers of plain services.
    pub services: Vec<ProcessRecords<CallRecord>>,
    /// Planned stops of backend servers.
    pub stops: Vec<PlannedStop>,
    /// Whether anything failed that was not planned.
    pub faults: bool,
}

/// Time in which a leaving backend server may still get new work.
pub(super) const LEAVING_GRACE: Duration = Duration::from_secs(5);

impl Evidence {
    /// Returns all runs with the VM that they ran on.
    pub(super) fn runs(&self) -> impl Iterator<Item = &RunRecord> {
        let records = self.engines.iter().flat_map(|life| &life.records);
        records.filter_map(|record| match record {
            EngineRecord::Run(run) => Some(run),
            _ => None,
        })
    }

    /// Returns all calls that were started.
    pub(super) fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.services.iter().flat_map(|life| &life.records)
    }
}
