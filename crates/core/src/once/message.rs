//! Messages that nodes exchange to run requests at most once.
//!
//! A message may be lost, delayed or duplicated. Every answer names the id that
//! it belongs to, so a node ignores answers to queries from before its restart.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    ids::IntentId,
    record::{EndRecord, PlainOutcome},
};
use crate::{
    ids::{Incarnation, PipelineId, Priority, RequestId, RequestKey, ServiceId},
    message::{Demand, Submission},
    outcome::{NotRun, Outcome},
};

/// A message between nodes about a request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// A home requests that a witness record its intent to dispatch.
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
    /// A home sends the end of a request to a witness.
    Ended {
        /// The request.
        intent: IntentId,
        /// The incarnation of the witness that the id names.
        witness: Incarnation,
        /// How the request ended.
        recorded: EndRecord,
    },
    /// A node that can't reach the home requests that a witness seal the id.
    Seal {
        /// The sender's key for the query, returned with the answer.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
        /// The request.
        intent: IntentId,
        /// The incarnation of the witness that the id names.
        witness: Incarnation,
    },
    /// A witness answers [`OnceMessage::Seal`].
    SealAnswered {
        /// The sender's key for the query, returned with the answer.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
        /// The request.
        intent: IntentId,
        /// The answer.
        answer: SealAnswer,
    },
    /// A node forwards a request to its home.
    Forward {
        /// The sender's key for the query, returned with the answer.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
        /// The request.
        request: Box<ForwardedRequest>,
    },
    /// A node queries the home for the outcome of a request.
    Query {
        /// The sender's key for the query, returned with the answer.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
        /// The request.
        id: RequestId,
    },
    /// A home answers [`OnceMessage::Forward`] and [`OnceMessage::Query`].
    HomeAnswered {
        /// The sender's key for the query, returned with the answer.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
        /// The request.
        id: RequestId,
        /// The answer.
        answer: HomeAnswer,
    },
}

/// A witness's answer to [`OnceMessage::Intend`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntendAnswer {
    /// The witness has recorded the intent.
    Recorded,
    /// The id is sealed; the home must not dispatch.
    Sealed,
    /// The node was restarted since the id was issued, so it is not the witness
    /// that the id names and can't record the intent.
    OtherIncarnation,
}

/// A witness's answer to [`OnceMessage::Seal`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealAnswer {
    /// The id is sealed: the request never runs.
    Sealed,
    /// The witness recorded the home's intent before, and has received this end
    /// of the request, if any.
    Intended(Option<EndRecord>),
    /// The witness no longer has records of ids as old as this one.
    Forgotten,
    /// The node was restarted since the id was issued, so it is not the witness
    /// that the id names and its answer proves nothing.
    OtherIncarnation,
}

/// A home's answer about one of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeAnswer {
    /// The node was restarted since the id was issued, so it is not the home
    /// that the id names.
    OtherIncarnation,
    /// The home has received no request with this id.
    Nothing,
    /// The request is running.
    Running,
    /// The request has ended.
    Ended(EndRecord),
    /// An idempotent request with this id has ended.
    Idempotent(#[serde(with = "PlainOutcome")] Outcome),
    /// The home refuses the forwarded request, regardless of the outcome of an
    /// earlier request with the same id.
    Refused {
        /// The reason for the refusal.
        reason: NotRun,
        /// The reason as text for the caller.
        message: String,
    },
    /// The request may have ended; its outcome is no longer stored.
    Forgotten,
}

/// A request that a node forwards to its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// SHA-256 of the bearer token.
    pub token_sha256: [u8; 32],
    /// The issued id.
    pub id: RequestId,
    /// The priority that the caller requested.
    pub priority: Option<Priority>,
    /// The time that remains until the deadline.
    pub within: Duration,
    /// What the request asks for.
    pub demand: ForwardedDemand,
}

/// A [`Demand`] in the form that is sent between nodes and hashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedDemand {
    /// Tokens from a pipeline.
    Completion {
        /// The pipeline.
        pipeline: PipelineId,
        /// The prompt's tokens.
        prompt: Vec<u32>,
        /// The maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Call {
        /// The service.
        service: ServiceId,
        /// The operation.
        operation: String,
        /// The argument of the operation, as JSON.
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
