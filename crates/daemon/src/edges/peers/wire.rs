//! Frames: a length of four bytes (big-endian), followed by a message encoded
//! with `bincode`.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use radishhaven_core::peer::PeerMessage;

/// Maximum size of a frame's message, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The message is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the maximum size")]
    TooLong(usize),
    /// The message can't be encoded.
    #[error("message could not be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The frame contains no valid message.
    #[error("frame contains no valid message: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The frame has trailing bytes after its message.
    #[error("frame has {0} trailing bytes after its message")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Returns an error if the message is too large or can't be encoded.
pub fn encode(message: &PeerMessage) -> Result<Bytes, WireError> {
    let body = bincode::serde::encode_to_vec(message, config())?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLong(body.len()));
    }
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Removes the first frame from `buf` and returns its message, or `None` if the
/// frame is incomplete.
///
/// # Errors
///
/// Returns an error if the frame is too large or invalid. The stream can't be
/// decoded any further after that.
pub fn decode(buf: &mut BytesMut) -> Result<Option<PeerMessage>, WireError> {
    if buf.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(WireError::TooLong(length));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let body = buf.split_to(length);
    let (message, used) = bincode::serde::decode_from_slice(&body, config())?;
    if used < length {
        return Err(WireError::Trailing(length - used));
    }
    Ok(Some(message))
}
