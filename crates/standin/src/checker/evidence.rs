//! The records that the checker evaluates.

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

/// The content of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestSpec {
    /// A completion by a model.
    Completion {
        /// The model of the pipeline.
        model: ModelId,
        /// Its version.
        version: VersionId,
        /// The number of layers of the model.
        layers: u16,
        /// The prompt.
        prompt: String,
        /// The maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Call {
        /// The operation.
        operation: String,
    },
}

impl RequestSpec {
    /// Returns the text of the reference model, which is empty for a call.
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

/// An answer as its caller received it.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerRecord {
    /// The request id in the answer.
    pub id: Option<RequestId>,
    /// The outcome, or `None` if the answer was interrupted.
    pub outcome: Option<Outcome>,
    /// The received text.
    pub text: String,
    /// The result of a service.
    pub body: Option<serde_json::Value>,
    /// Wall-clock time of its end in microseconds since the Unix epoch.
    pub at_us: u64,
}

impl AnswerRecord {
    /// Creates the record of an answer that ends at the current time.
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

/// A request of a caller and all answers to it.
///
/// When a caller repeats a request under the same id, the further answers are added
/// to the same record.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRecord {
    /// The id that the caller sent or received.
    pub id: Option<RequestId>,
    /// The content of the request.
    pub spec: RequestSpec,
    /// Whether the caller and the configuration allow the request to run twice.
    pub idempotent: bool,
    /// The answers, oldest first.
    pub answers: Vec<AnswerRecord>,
}

/// The records of one stand-in process, from a start to its end.
///
/// A restarted stand-in has a new process with records of its own.
#[derive(Debug, Clone)]
pub struct ProcessRecords<R> {
    /// The VM that the process ran on.
    pub vm: VmId,
    /// The records, oldest first.
    pub records: Vec<R>,
}

/// A VM that the VM list marked as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStop {
    /// The VM.
    pub vm: VmId,
    /// Wall-clock time at which the list first showed the VM as leaving, in
    /// microseconds since the Unix epoch.
    pub listed_us: u64,
}

/// The records of all callers and stand-in processes.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Requests of callers and their answers.
    pub callers: Vec<CallerRecord>,
    /// Records of engines.
    pub engines: Vec<ProcessRecords<EngineRecord>>,
    /// Records of servers of plain services.
    pub services: Vec<ProcessRecords<CallRecord>>,
    /// Planned stops of backend servers.
    pub stops: Vec<PlannedStop>,
    /// Whether the test injected unplanned faults.
    pub faults: bool,
}

/// Time during which a leaving backend server may still receive new requests.
pub(super) const LEAVING_GRACE: Duration = Duration::from_secs(5);

impl Evidence {
    /// Returns all runs of all engines.
    pub(super) fn runs(&self) -> impl Iterator<Item = &RunRecord> {
        let records = self.engines.iter().flat_map(|process| &process.records);
        records.filter_map(|record| match record {
            EngineRecord::Run(run) => Some(run),
            _ => None,
        })
    }

    /// Returns all started calls of all services.
    pub(super) fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.services.iter().flat_map(|process| &process.records)
    }
}
