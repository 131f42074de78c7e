//! Digests of the configuration, updated incrementally.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of 64-bit lanes in a SHA-256.
const LANES: usize = 4;
/// Size of a lane in bytes.
const LANE_BYTES: usize = 8;

/// A digest of a set: the lane-wise sum of the SHA-256 of its elements.
///
/// Adding or removing an element takes time proportional to the size of that
/// element. The order of additions doesn't affect the digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetDigest([u64; LANES]);

impl SetDigest {
    pub(crate) fn add(&mut self, element: &impl Serialize) {
        for (lane, value) in self.0.iter_mut().zip(lanes(element)) {
            *lane = lane.wrapping_add(value);
        }
    }

    pub(crate) fn remove(&mut self, element: &impl Serialize) {
        for (lane, value) in self.0.iter_mut().zip(lanes(element)) {
            *lane = lane.wrapping_sub(value);
        }
    }

    pub(super) fn update(&self, hash: &mut Sha256) {
        for lane in self.0 {
            hash.update(lane.to_be_bytes());
        }
    }
}

fn lanes(element: &impl Serialize) -> [u64; LANES] {
    let hash = Sha256::digest(serde_json::to_vec(element).unwrap_or_default());
    std::array::from_fn(|lane| {
        let start = lane * LANE_BYTES;
        let bytes = hash[start..].first_chunk().copied().unwrap_or_default();
        u64::from_be_bytes(bytes)
    })
}

/// SHA-256 of a complete configuration. Nodes at the same revision have the
/// same digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ConfigDigest([u8; 32]);

impl ConfigDigest {
    pub(super) fn finish(hash: Sha256) -> Self {
        Self(hash.finalize().into())
    }

    /// Returns the first 64 bits, which heartbeats carry.
    pub fn short(&self) -> u64 {
        u64::from_be_bytes(self.0.first_chunk().copied().unwrap_or_default())
    }
}

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The error returned for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a digest consists of 64 hexadecimal digits")]
pub struct DigestError;

impl FromStr for ConfigDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; 32];
        for (n, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[n * 2..n * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for ConfigDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<ConfigDigest> for String {
    fn from(digest: ConfigDigest) -> Self {
        digest.to_string()
    }
}
