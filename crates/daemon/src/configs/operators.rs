//! `[operators]`: who may ask for state and change the configuration.

use std::{fmt, net::SocketAddr};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::settings::Section;

/// SHA-256 of the operators' bearer token; never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Tells whether a token is the right one, in constant time.
    pub fn admits(&self, token: &str) -> bool {
        let shown = Sha256::digest(token.as_bytes());
        self.0.ct_eq(&shown).into()
    }

    fn parse(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (n, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[n * 2..n * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenDigest(hidden)")
    }
}

/// `[operators]`.
#[derive(Debug, Clone)]
pub struct OperatorsConfig {
    /// The token's digest; it may be left out where the operators' address is
    /// one of the loopback, and then everybody there is an operator.
    pub token: Option<TokenDigest>,
}

impl OperatorsConfig {
    pub(crate) fn read(section: &mut Section<'_>, listen: Option<SocketAddr>) -> Option<Self> {
        let allowed = "SHA-256 of the operators' token as 64 digits in hex, \
                       needed unless `operators` of [node] is on the loopback";
        // An address that is wrong itself is reported where it is read.
        let is_local = listen.is_none_or(|address| address.ip().is_loopback());
        if is_local && !section.has("token_sha256") {
            section.know("token_sha256");
            return Some(Self { token: None });
        }
        let token = section.require_secret("token_sha256", allowed, TokenDigest::parse)?;
        Some(Self { token: Some(token) })
    }
}
