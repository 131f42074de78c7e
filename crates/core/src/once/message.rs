//! Messages between nodes for running requests at most once.
//!
//! Any of them may be lost, late or doubled. Each answer names the id that it
//! is about, so that one which outlived a restart of the asker is harmless.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    ids::IntentId,
    record::{PlainOutcome, Recorded},
};
use crate::{
    ids::{Incarnation, PipelineId, Priority, RequestId, RequestKey, ServiceId},
    message::{Demand, Submission},
    outcome::{NotRun, Outcome},
};

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// A home asks a witness to record that it is about to dispatch.
    Intend {
        /// The request.
        intent: IntentId,
        /// The incarnation of the witness that the id names.
        witness: Incarnation,
    },
    /// A witness answers [`OnceMessage::Intend`].
    IntendAnswered {
        /// The request.
        intent: IntentId,
        /// The answer.
        answer: IntendAnswer,
    },
    /// A home tells a witness what became of the request.
    Ended {
        /// The request.
        intent: IntentId,
        /// The incarnation of the witness that the id names.
        witness: Incarnation,
        /// Its end.
        recorded: Recorded,
    },
    /// A node that can't reach the home asks a witness to seal the id.
    Seal {
        /// The asker's own number for the question.
        asker: RequestKey,
        /// The request.
        intent: IntentId,
        /// The incarnation of the witness that the id names.
        witness: Incarnation,
    },
    /// A witness answers [`OnceMessage::Seal`].
    SealAnswered {
        /// The asker's own number for the question.
        asker: RequestKey,
        /// The request.
        intent: IntentId,
        /// The answer.
        answer: SealAnswer,
    },
    /// A node hands a request to its home.
    Forward {
        /// The asker's own number for the question.
        asker: RequestKey,
        /// The request.
        request: Box<ForwardedRequest>,
    },
    /// A node asks the home what became of a request.
    Query {
        /// The asker's own number for the question.
        asker: RequestKey,
        /// The request.
        id: RequestId,
    },
    /// A home answers [`OnceMessage::Forward`] and [`OnceMessage::Query`].
    HomeAnswered {
        /// The asker's own number for the question.
        asker: RequestKey,
        /// The request.
        id: RequestId,
        /// The answer.
        answer: HomeAnswer,
    },
}

/// What a witness answers to an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntendAnswer {
    /// The intent is recorded.
    Recorded,
    /// The id is sealed; the home must not dispatch.
    Sealed,
    /// The witness is another instance than the id names, and can't consent.
    OtherIncarnation,
}

/// What a witness answers to a node that asks it to seal an id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealAnswer {
    /// The id is sealed: the request never runs.
    Sealed,
    /// The home's intent was recorded before, and this is what is known since.
    Intended(Option<Recorded>),
    /// The witness has forgotten ids as old as this one.
    Forgotten,
    /// The witness is another instance than the id names, and proves nothing.
    OtherIncarnation,
}

/// What a home answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeAnswer {
    /// The node is another instance than the id names.
    OtherIncarnation,
    /// No request of this id has come.
    Nothing,
    /// The request runs.
    Running,
    /// The request has ended.
    Ended(Recorded),
    /// A request that may run more than once has ended under this id.
    Idempotent(#[serde(with = "PlainOutcome")] Outcome),
    /// The request that was handed over is refused, whatever became of an
    /// earlier one with the same id.
    Refused {
        /// Why.
        reason: NotRun,
        /// What is wrong, for a person.
        message: String,
    },
    /// It has ended, and what became of it is no longer remembered.
    Forgotten,
}

/// A request that is handed to its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// SHA-256 of the bearer token.
    pub token_sha256: [u8; 32],
    /// The minted id.
    pub id: RequestId,
    /// The priority that the caller asks for.
    pub priority: Option<Priority>,
    /// The time that is left.
    pub within: Duration,
    /// What the caller asks for.
    pub demand: ForwardedDemand,
}

/// A demand in the form in which it travels and is compared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedDemand {
    /// Tokens from a pipeline.
    Completion {
        /// The pipeline.
        pipeline: PipelineId,
        /// The prompt's tokens.
        prompt: Vec<u32>,
        /// The largest number of tokens to generate.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Call {
        /// The service.
        service: ServiceId,
        /// The operation.
        operation: String,
        /// Its argument, as JSON.
        body: String,
    },
}

impl From<&Demand> for ForwardedDemand {
    fn from(demand: &Demand) -> Self {
        match demand.clone() {
            Demand::Completion {
                pipeline,
                prompt,
                max_tokens,
            } => Self::Completion {
                pipeline,
                prompt,
                max_tokens,
            },
            Demand::Call {
                service,
                operation,
                body,
            } => Self::Call {
                service,
                operation,
                body: body.to_string(),
            },
        }
    }
}

impl TryFrom<ForwardedDemand> for Demand {
    type Error = serde_json::Error;

    fn try_from(demand: ForwardedDemand) -> Result<Self, serde_json::Error> {
        Ok(match demand {
            ForwardedDemand::Completion {
                pipeline,
                prompt,
                max_tokens,
            } => Self::Completion {
                pipeline,
                prompt,
                max_tokens,
            },
            ForwardedDemand::Call {
                service,
                operation,
                body,
            } => Self::Call {
                service,
                operation,
                body: serde_json::from_str(&body)?,
            },
        })
    }
}

impl TryFrom<ForwardedRequest> for Submission {
    type Error = serde_json::Error;

    fn try_from(request: ForwardedRequest) -> Result<Self, serde_json::Error> {
        Ok(Self {
            token_sha256: request.token_sha256,
            id: Some(request.id),
            priority: request.priority,
            timeout: Some(request.within),
            idempotent: Some(false),
            demand: request.demand.try_into()?,
        })
    }
}
