//! Parsing of the records in the configuration log.

use serde::{Deserialize, de::IgnoredAny};

use super::{
    batch::{BATCH_FORMAT, Batch, MAX_BATCH_CHANGES},
    snapshot::{SNAPSHOT_FORMAT, SnapshotPart},
};

/// Maximum length of a record in bytes.
pub const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;

/// The reason why a record can't be read. It is the same on every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    #[error("the record is too long")]
    TooLong,
    /// The record doesn't follow its format.
    #[error("the record is malformed")]
    Malformed,
    /// This build doesn't support the format of the record.
    #[error("the record has the unknown format {0}")]
    UnknownFormat(u16),
    /// The batch holds more than [`MAX_BATCH_CHANGES`] changes.
    #[error("the batch has too many changes")]
    TooManyChanges,
}

/// A parsed record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRecord {
    /// A batch of configuration changes.
    Batch(Batch),
    /// A part of a snapshot.
    Snapshot(SnapshotPart),
}

#[derive(Deserialize)]
struct RecordHeader {
    format: u16,
    batch: Option<IgnoredAny>,
}

impl LogRecord {
    /// Parses the body of a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or malformed, if its format is
    /// unknown, or if its batch holds too many changes.
    pub fn parse(body: &str) -> Result<Self, RecordError> {
        if body.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong);
        }
        let header: RecordHeader = read(body)?;
        match (header.batch.is_some(), header.format) {
            (true, BATCH_FORMAT) => {
                let batch: Batch = read(body)?;
                if batch.changes.len() > MAX_BATCH_CHANGES {
                    return Err(RecordError::TooManyChanges);
                }
                Ok(Self::Batch(batch))
            }
            (false, SNAPSHOT_FORMAT) => {
                let part: SnapshotPart = read(body)?;
                if !part.is_valid() {
                    return Err(RecordError::Malformed);
                }
                Ok(Self::Snapshot(part))
            }
            (_, format) => Err(RecordError::UnknownFormat(format)),
        }
    }
}

fn read<'a, T: Deserialize<'a>>(body: &'a str) -> Result<T, RecordError> {
    serde_json::from_str(body).map_err(|_| RecordError::Malformed)
}
