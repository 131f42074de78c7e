//! `[peers]`: listening address for other nodes and the key shared with them.

use std::{fmt, net::SocketAddr};

use crate::settings::Section;

/// Minimum length of the shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The key that all nodes of a deployment share; its `Debug` output hides the
/// value.
#[derive(Clone)]
pub struct PeerKey(String);

impl PeerKey {
    /// Returns the key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(hidden)")
    }
}

/// `[peers]`; both settings are required.
#[derive(Debug, Clone)]
pub struct PeersConfig {
    /// Listening address for peers.
    pub listen: SocketAddr,
    /// The shared key.
    pub key: PeerKey,
}

impl PeersConfig {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<Self> {
        let listen = section.address("listen");
        let key = section.require_secret("key", "at least 16 bytes", |v| {
            (v.len() >= MIN_KEY_BYTES).then(|| PeerKey(v.to_owned()))
        });
        Some(Self {
            listen: listen?,
            key: key?,
        })
    }
}
