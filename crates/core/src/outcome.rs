//! Outcomes of requests. The set is closed, and each request gets exactly one.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "reason")]
pub enum Outcome {
    /// The complete answer was delivered.
    Completed,
    /// No engine or service has started the request, and none ever will.
    NotRun(NotRun),
    /// The request started and did not complete.
    Failed,
    /// It can't be established whether the request started.
    Unknown,
}

/// The reason why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// The organisation exceeds a limit.
    OverLimit,
    /// The answer would arrive after the deadline.
    Late,
    /// No backend server has capacity for the request.
    NoCapacity,
    /// The node is shutting down.
    Draining,
    /// The request is malformed or names something that isn't configured.
    BadRequest,
    /// No organisation has this bearer token.
    Unauthorised,
}

impl Outcome {
    /// Returns the kind of the outcome as one word.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun(_) => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(f, "not-run ({reason})"),
            other => f.write_str(other.kind()),
        }
    }
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OverLimit => "over-limit",
            Self::Late => "late",
            Self::NoCapacity => "no-capacity",
            Self::Draining => "draining",
            Self::BadRequest => "bad-request",
            Self::Unauthorised => "unauthorised",
        })
    }
}
