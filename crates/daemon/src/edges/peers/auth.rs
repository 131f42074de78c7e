//! Proofs that a node holds the shared key: an HMAC over a nonce of the peer.

use hmac::{Hmac, Mac};
use radishhaven_core::peer::{PEER_PROTOCOL_VERSION, Sender};
use rand::RngCore;
use sha2::Sha256;

use crate::configs::PeerKey;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;

/// The side that makes a proof. It is part of the proof, so that a proof can't be
/// reflected to its maker as that of the other side.
#[derive(Debug, Clone, Copy)]
pub(super) enum Side {
    /// The node that listens.
    Listening,
    /// The node that connects.
    Connecting,
}

/// Returns a random nonce, in hex.
pub(super) fn nonce() -> String {
    let mut bytes = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    hex(&bytes)
}

/// Returns the proof of `sender` over the peer's nonce, in hex.
pub(super) fn proof(key: &PeerKey, side: Side, sender: &Sender, nonce: &str) -> String {
    hex(&mac(key, side, sender, nonce).finalize().into_bytes())
}

/// Returns whether a proof is valid; compares in constant time.
pub(super) fn is_valid_proof(
    key: &PeerKey,
    side: Side,
    sender: &Sender,
    nonce: &str,
    proof: &str,
) -> bool {
    let Some(bytes) = unhex(proof) else {
        return false;
    };
    mac(key, side, sender, nonce).verify_slice(&bytes).is_ok()
}

fn mac(key: &PeerKey, side: Side, sender: &Sender, nonce: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    let side = match side {
        Side::Listening => "listening",
        Side::Connecting => "connecting",
    };
    let text = format!(
        "{PEER_PROTOCOL_VERSION}\n{side}\n{}\n{}\n{nonce}",
        sender.vm, sender.incarnation
    );
    mac.update(text.as_bytes());
    mac
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(byte).collect()
}
