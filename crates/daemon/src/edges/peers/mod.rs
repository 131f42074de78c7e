//! Carries messages between nodes: `h2` streams of `bincode` frames.
//!
//! The node that connects and the node that listens each prove that they hold
//! the shared key, over a fresh value of the other. One stream then carries
//! the messages of one direction in order. A frame that can't be read ends
//! that stream and is counted; see `docs/design/peers.md`.

mod auth;
mod client;
mod server;
mod wire;

pub(crate) use client::PeerQueues;
pub(crate) use server::serve;
pub use wire::{MAX_FRAME_BYTES, WireError, decode, encode};

/// Path: proves the listening node, and gives the value for the other proof.
const CHALLENGE_PATH: &str = "/challenge";
/// Path: the stream of messages.
const MESSAGES_PATH: &str = "/messages";
/// Header: a fresh value of the sender, in hex.
const NONCE_HEADER: &str = "x-nonce";
/// Header: the proof, in hex.
const PROOF_HEADER: &str = "x-proof";
/// Header: the sender's VM.
const VM_HEADER: &str = "x-vm";
/// Header: the sender's incarnation.
const INCARNATION_HEADER: &str = "x-incarnation";

/// Why a connection between nodes ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The system's error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The HTTP/2 library's error.
    #[error(transparent)]
    H2(#[from] h2::Error),
    /// A message that can't be made.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// A frame that can't be read.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A proof or a header is absent or wrong.
    #[error("the other node did not prove that it holds the key")]
    Unproved,
    /// The other side ended the stream.
    #[error("the other node ended the stream")]
    Ended,
    /// The other side took too long.
    #[error("the other node took too long")]
    TimedOut,
}
