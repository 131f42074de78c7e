//! What the requests that crash servers have in common.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{prompt::PromptPart, request_digest::RequestDigest};

/// What a request shares with others, and what may crash the servers that run
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashCause {
    /// A part of the prompt, which unlike requests share.
    Part(PromptPart),
    /// All of the request, which only its repetitions share.
    Request(RequestDigest),
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(digest) => digest.fmt(f),
        }
    }
}
