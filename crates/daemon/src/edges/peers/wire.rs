//! Frames: a length of four bytes, then a message in `bincode`.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use radishhaven_core::peer::PeerMessage;

/// Largest frame, in bytes without its length.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Why a frame can't be written or read.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The message can't be written.
    #[error("a message can't be written: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The frame holds no message.
    #[error("a frame holds no message: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes are left after the message.
    #[error("{0} bytes are left after a message")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Writes a message as a frame.
///
/// # Errors
///
/// Fails if the message is too long.
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

/// Takes the next message off the front of `buf`, if it is whole.
///
/// # Errors
///
/// Fails if the frame is too long or holds no message; the stream can't be
/// read on after that.
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
