//! What one record of the log can hold.

use serde::{Deserialize, de::IgnoredAny};

use super::{
    batch::{BATCH_FORMAT, Batch, MAX_BATCH_CHANGES},
    snapshot::{SNAPSHOT_FORMAT, SnapshotPart},
};

/// Longest record that is read, in bytes.
pub const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;

/// Why a record can't be read; each node comes to the same finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is longer than [`MAX_RECORD_BYTES`].
    #[error("the record is too long")]
    TooLong,
    /// It is not what any format says.
    #[error("the record is malformed")]
    Malformed,
    /// Its format is not known to this version.
    #[error("the record has the unknown format {0}")]
    UnknownFormat(u16),
    /// Its batch holds more than [`MAX_BATCH_CHANGES`].
    #[error("the batch has too many changes")]
    TooManyChanges,
}

/// A record that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRecord {
    /// A batch.
    Batch(Batch),
    /// A part of a snapshot.
    Snapshot(SnapshotPart),
}

#[derive(Deserialize)]
struct Head {
    format: u16,
    batch: Option<IgnoredAny>,
}

impl LogRecord {
    /// Reads a record's body.
    ///
    /// # Errors
    ///
    /// Says why it can't be read.
    pub fn parse(body: &str) -> Result<Self, RecordError> {
        if body.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong);
        }
        let head: Head = read(body)?;
        match (head.batch.is_some(), head.format) {
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
