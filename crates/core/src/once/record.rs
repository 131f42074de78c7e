//! Records of requests that have ended.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::message::ForwardedDemand;
use crate::{
    ids::OrganisationId,
    outcome::{NotRun, Outcome},
};

/// SHA-256 of what a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandDigest([u8; 32]);

impl DemandDigest {
    /// Returns the digest of a demand.
    pub fn of(demand: &ForwardedDemand) -> Self {
        let text = serde_json::to_vec(demand).expect("a demand has only text keys");
        Self(Sha256::digest(text).into())
    }
}

/// The organisation and the demand that an id was first used for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The digest of what the request asked for.
    pub demand: DemandDigest,
}

/// Why a request is not a repetition of an earlier one with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mismatch {
    /// Another organisation sent the earlier request.
    Organisation,
    /// The earlier request asked for something else.
    Demand,
}

impl Claim {
    /// Returns how the claim of another request with the same id differs, or
    /// `None` if both are equal.
    pub fn mismatch(&self, other: &Claim) -> Option<Mismatch> {
        if self.organisation != other.organisation {
            return Some(Mismatch::Organisation);
        }
        (self.demand != other.demand).then_some(Mismatch::Demand)
    }
}

/// A form of [`Outcome`] for codecs that write no field names, such as bincode.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
pub(super) enum PlainOutcome {
    Completed,
    NotRun(NotRun),
    Failed,
    Unknown,
}

/// How a request ended, as its home and its witnesses store it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// The organisation and the demand of the request.
    pub claim: Claim,
    /// The outcome of the request.
    #[serde(with = "PlainOutcome")]
    pub outcome: Outcome,
    /// The number of generated tokens.
    pub tokens: u32,
    /// The result of a completed request; `None` if it was too large to store.
    pub result: Option<ResultRecord>,
    /// The message that was sent to the caller with the outcome.
    pub message: String,
}

/// The result of a completed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultRecord {
    /// The text of a completion; empty for a call.
    pub text: String,
    /// The result of a call, as JSON.
    pub body: Option<String>,
}

impl ResultRecord {
    /// Returns the size of the result in bytes.
    pub fn len(&self) -> usize {
        self.text.len() + self.body.as_ref().map_or(0, String::len)
    }

    /// Returns whether the result has neither text nor body.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl EndRecord {
    /// Returns a copy that leaves out a result of more than `max` bytes.
    pub fn with_result_limit(&self, max: usize) -> Self {
        let result = self.result.clone().filter(|result| result.len() <= max);
        Self {
            result,
            ..self.clone()
        }
    }
}
