//! Validated identifiers and numeric newtypes.
//!
//! Every name that arrives from outside is converted to one of these types
//! first, so the rest of the code never handles unvalidated text.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 96;
/// Maximum length of a request id, in bytes. It is longer than
/// [`MAX_ID_BYTES`] because an id issued by a node contains node names.
pub const MAX_REQUEST_ID_BYTES: usize = 640;

/// The error returned for a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} {text:?} is not valid: use 1 to {max} of a-z A-Z 0-9 . _ : -")]
pub struct IdError {
    /// The kind of identifier that was expected.
    pub kind: &'static str,
    /// The rejected text, truncated to the maximum length.
    pub text: String,
    /// Maximum length, in bytes.
    pub max: usize,
}

fn check(kind: &'static str, max: usize, text: &str) -> Result<(), IdError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:-".contains(&b);
    if !text.is_empty() && text.len() <= max && text.bytes().all(allowed) {
        return Ok(());
    }
    let text = text.chars().take(max).collect();
    Err(IdError { kind, text, max })
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident = $kind:literal, $max:expr;)+) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check($kind, $max, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check($kind, $max, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    )+};
}

text_id! {
    /// Names a VM. Entry nodes and backend servers are identified by their VM.
    VmId = "VM", MAX_ID_BYTES;
    /// Names a failure domain.
    FailureDomain = "failure domain", MAX_ID_BYTES;
    /// Names an organisation.
    OrganisationId = "organisation", MAX_ID_BYTES;
    /// Names a model.
    ModelId = "model", MAX_ID_BYTES;
    /// Names a version of a model.
    VersionId = "version", MAX_ID_BYTES;
    /// Names an adapter of a model.
    AdapterId = "adapter", MAX_ID_BYTES;
    /// Names a pipeline that callers address.
    PipelineId = "pipeline", MAX_ID_BYTES;
    /// Names a plain service that callers address.
    ServiceId = "service", MAX_ID_BYTES;
    /// Names a shard of backend servers that one lease covers.
    ShardId = "shard", MAX_ID_BYTES;
    /// Names a batch of configuration changes, chosen by the operator.
    BatchId = "batch", MAX_ID_BYTES;
    /// Names a request; issued by a node or, for idempotent requests, by the caller.
    RequestId = "request id", MAX_REQUEST_ID_BYTES;
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)+) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    )+};
}

number_id! {
    /// Identifies one run of a process on a VM; a later run has a greater number.
    Incarnation(u64);
    /// Counts log records; a revision is the offset after the last applied record.
    Revision(u64);
    /// Orders lease holders. The token is the log offset after the claim, so
    /// zero is never the token of a lease.
    FencingToken(u64);
    /// Numbers a node's attempts to execute one request.
    Attempt(u32);
    /// Numbers a node's exchanges with engines for one request.
    StepId(u64);
    /// Counts positions in a token sequence, including the prompt.
    Position(u32);
    /// Priority of a request; a larger number is served first.
    Priority(u8);
    /// Numbers a request within one node; unique until the node's process ends.
    RequestKey(u64);
}

/// The layers `start..end` of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "(u16, u16)", into = "(u16, u16)")]
pub struct LayerRange {
    start: u16,
    end: u16,
}

/// The error returned for a pair of numbers that is not a range of layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("layers {start}..{end} are not a range: the end must be above the start")]
pub struct LayerRangeError {
    /// The requested first layer.
    pub start: u16,
    /// The requested end.
    pub end: u16,
}

impl LayerRange {
    /// Creates the range `start..end`.
    ///
    /// # Errors
    ///
    /// Returns an error if the range is empty or reversed.
    pub fn new(start: u16, end: u16) -> Result<Self, LayerRangeError> {
        if start < end {
            Ok(Self { start, end })
        } else {
            Err(LayerRangeError { start, end })
        }
    }

    /// Returns the first layer.
    pub fn start(self) -> u16 {
        self.start
    }

    /// Returns the layer after the last one.
    pub fn end(self) -> u16 {
        self.end
    }

    /// Returns the number of layers.
    pub fn count(self) -> u16 {
        self.end - self.start
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}

impl FromStr for LayerRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = |part: &str| part.parse::<u16>().map_err(|e| e.to_string());
        let (start, end) = text
            .split_once("..")
            .ok_or("layers are written START..END")?;
        Self::new(parse(start)?, parse(end)?).map_err(|e| e.to_string())
    }
}

impl TryFrom<(u16, u16)> for LayerRange {
    type Error = LayerRangeError;

    fn try_from((start, end): (u16, u16)) -> Result<Self, LayerRangeError> {
        Self::new(start, end)
    }
}

impl From<LayerRange> for (u16, u16) {
    fn from(range: LayerRange) -> Self {
        (range.start, range.end)
    }
}
