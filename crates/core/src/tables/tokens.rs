//! Bearer tokens of organisations, by their digests.

use std::collections::BTreeMap;

use crate::{
    config::{Config, Kind, Object, ObjectKey},
    ids::{OrganisationId, Revision},
};

/// Size of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Organisations by the SHA-256 digest of their bearer token. Authenticating a
/// request takes one lookup instead of a scan over all organisations.
#[derive(Debug, Default)]
pub struct TokenTable {
    revision: Option<Revision>,
    rows: BTreeMap<[u8; DIGEST_BYTES], OrganisationId>,
}

impl TokenTable {
    /// Reloads the organisations if the configuration has changed.
    pub fn refresh(&mut self, config: &Config) {
        if self.revision == Some(config.revision()) {
            return;
        }
        self.revision = Some(config.revision());
        self.rows.clear();
        let first = ObjectKey {
            kind: Kind::Organisation,
            name: String::new(),
        };
        for entry in config.objects().range(first..).map(|(_, entry)| entry) {
            let Object::Organisation(organisation) = &entry.object else {
                break;
            };
            if let Some(digest) = parse_digest(&organisation.token_sha256) {
                self.rows.insert(digest, organisation.id.clone());
            }
        }
    }

    /// Returns the organisation with this token digest, together with the
    /// configured digest.
    pub fn get(
        &self,
        sha256: &[u8; DIGEST_BYTES],
    ) -> Option<(&[u8; DIGEST_BYTES], &OrganisationId)> {
        self.rows.get_key_value(sha256)
    }
}

/// Parses a digest in hexadecimal. Returns `None` if it is malformed; no token
/// matches such an organisation.
fn parse_digest(hex: &str) -> Option<[u8; DIGEST_BYTES]> {
    let mut digest = [0; DIGEST_BYTES];
    if hex.len() != 2 * DIGEST_BYTES || !hex.is_ascii() {
        return None;
    }
    for (at, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(digest)
}
