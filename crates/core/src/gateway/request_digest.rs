//! Recognises a request that comes again.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies what a request asks for and who asks, whatever node it reaches and
/// however often it comes. It is the same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a request that consists of these fields.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            // With its length, no field can run into the next one.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let hash = hash.finalize();
        let first = hash.iter().take(size_of::<u64>());
        Self(first.fold(0, |digest, byte| digest << 8 | u64::from(*byte)))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
