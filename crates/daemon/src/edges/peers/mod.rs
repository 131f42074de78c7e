//! Sends messages between nodes as `bincode` frames on HTTP/2 streams.
//!
//! The connecting and the listening node each prove that they hold the shared
//! key: each computes an HMAC over a nonce of the other. After that, one stream
//! carries the messages of one direction in order. An invalid frame ends the
//! stream and is counted; see `docs/design/peers.md`.

mod auth;
mod client;
mod server;
mod wire;

pub(crate) use client::PeerQueues;
pub(crate) use server::serve;
pub use wire::{MAX_FRAME_BYTES, WireError, decode, encode};

/// Path: returns the proof of the listening node and its nonce for the proof of
/// the connecting node.
const CHALLENGE_PATH: &str = "/challenge";
/// Path: stream of messages.
const MESSAGES_PATH: &str = "/messages";
/// Header: the sender's nonce, in hex.
const NONCE_HEADER: &str = "x-nonce";
/// Header: the sender's proof, in hex.
const PROOF_HEADER: &str = "x-proof";
/// Header: the sender's VM.
const VM_HEADER: &str = "x-vm";
/// Header: the sender's incarnation.
const INCARNATION_HEADER: &str = "x-incarnation";

/// Error that ends a connection between nodes.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The operating system's error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The HTTP/2 library's error.
    #[error(transparent)]
    H2(#[from] h2::Error),
    /// An HTTP request or response could not be built.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// A frame is invalid.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A proof or a header is missing or wrong.
    #[error("peer did not prove that it holds the shared key")]
    InvalidProof,
    /// The peer closed the stream.
    #[error("peer closed the stream")]
    StreamClosed,
    /// The peer did not respond in time.
    #[error("peer did not respond in time")]
    TimedOut,
}
