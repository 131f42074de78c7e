//! Reads bodies into contiguous memory, within a limit.
//!
//! A chunk of a body shares the buffer into which the HTTP library has read it, with the
//! framing around it and other chunks. A chunk that is kept therefore keeps up to a whole
//! read buffer, however few bytes it has. [`BodyBuffer`] copies the bytes instead, so that
//! its memory depends only on their number.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

/// Smallest capacity of a buffer that is not empty, in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// A body has more bytes than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body has more than {limit} bytes")]
pub struct BodyTooLarge {
    /// The largest size in bytes.
    pub limit: usize,
}

/// Error of reading a body.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError<E> {
    /// The body has more bytes than allowed.
    #[error(transparent)]
    TooLarge(#[from] BodyTooLarge),
    /// The connection broke before the end of the body.
    #[error("{0}")]
    Broken(E),
}

/// The bytes of a body that is being read.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `limit` bytes, with room for `capacity` bytes.
    pub fn new(capacity: usize, limit: usize) -> Self {
        Self {
            bytes: Vec::with_capacity(capacity.min(limit)),
            limit,
        }
    }

    /// Returns the number of bytes by which [`Self::push`] enlarges the buffer for `length`
    /// more bytes of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body would exceed the limit.
    pub fn growth(&self, length: usize) -> Result<usize, BodyTooLarge> {
        let (needed, capacity) = (self.bytes.len() + length, self.bytes.capacity());
        if needed > self.limit {
            return Err(BodyTooLarge { limit: self.limit });
        }
        if needed <= capacity {
            return Ok(0);
        }
        let doubled = (capacity * 2).max(MIN_CAPACITY).min(self.limit);
        Ok(doubled.max(needed) - capacity)
    }

    /// Appends bytes of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body would exceed the limit.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BodyTooLarge> {
        let growth = self.growth(data.len())?;
        if growth > 0 {
            let capacity = self.bytes.capacity() + growth;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the memory of the buffer in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }
}

/// Reads a body of at most `limit` bytes. Trailers are dropped.
///
/// # Errors
///
/// Returns an error if the body is larger or if its connection breaks.
pub async fn read_body<B>(mut body: B, limit: usize) -> Result<Bytes, ReadBodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buf = BodyBuffer::new(0, limit);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(ReadBodyError::Broken)?.into_data() {
            buf.push(&data)?;
        }
    }
    Ok(buf.into_bytes())
}
