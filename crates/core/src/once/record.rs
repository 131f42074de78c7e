//! What is remembered of a request that has ended.

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

/// Whose request an id stands for, and for which demand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation.
    pub organisation: OrganisationId,
    /// What it asked for.
    pub demand: DemandDigest,
}

/// Why a request can't share the fate of an earlier one with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mismatch {
    /// The earlier one is another organisation's.
    Organisation,
    /// The earlier one asked for something else.
    Demand,
}

impl Claim {
    /// Compares with the claim of a request that has the same id.
    pub fn mismatch(&self, other: &Claim) -> Option<Mismatch> {
        if self.organisation != other.organisation {
            return Some(Mismatch::Organisation);
        }
        (self.demand != other.demand).then_some(Mismatch::Demand)
    }
}

/// The form of an [`Outcome`] that needs no names of fields, for codecs that
/// write none.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
pub(super) enum PlainOutcome {
    Completed,
    NotRun(NotRun),
    Failed,
    Unknown,
}

/// The end of a request, as its home and its witnesses remember it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Whose request it was.
    pub claim: Claim,
    /// What became of it.
    #[serde(with = "PlainOutcome")]
    pub outcome: Outcome,
    /// The number of tokens that were generated.
    pub tokens: u32,
    /// The result, unless it was too large to keep.
    pub result: Option<ResultRecord>,
    /// What happened, for a person.
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
    /// Returns the bytes that the result takes.
    pub fn len(&self) -> usize {
        self.text.len() + self.body.as_ref().map_or(0, String::len)
    }

    /// Tells whether there is neither text nor body.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl EndRecord {
    /// Returns a copy without the result if that has more than `max` bytes.
    pub fn bounded(&self, max: usize) -> Self {
        let result = self.result.clone().filter(|result| result.len() <= max);
        Self {
            result,
            ..self.clone()
        }
    }
}
