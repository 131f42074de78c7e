//! `[operators]`: authentication of operators, who may query the state and
//! change the configuration.

use std::{fmt, net::SocketAddr};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::settings::Section;

/// SHA-256 of the operators' bearer token; its `Debug` output hides the value.
#[derive(Clone, PartialEq, Eq)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Returns whether the digest is that of `token`; compares in constant time.
    pub fn matches(&self, token: &str) -> bool {
        let digest = Sha256::digest(token.as_bytes());
        self.0.ct_eq(&digest).into()
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
    /// The token's digest. It may be missing only if the operators' address is
    /// on the loopback; then every local client has operator access.
    pub token: Option<TokenDigest>,
}

impl OperatorsConfig {
    pub(crate) fn read(section: &mut Section<'_>, address: Option<SocketAddr>) -> Option<Self> {
        let allowed = "SHA-256 of the operators' token as 64 digits in hex, \
                       needed unless `operators` of [node] is on the loopback";
        // An invalid address is reported by the parser of `[node]`.
        let is_local = address.is_none_or(|address| address.ip().is_loopback());
        if is_local && !section.has("token_sha256") {
            section.allow("token_sha256");
            return Some(Self { token: None });
        }
        let token = section.require_secret("token_sha256", allowed, TokenDigest::parse)?;
        Some(Self { token: Some(token) })
    }
}
