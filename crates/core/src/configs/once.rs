//! Settings of running requests at most once.

use std::time::Duration;

use crate::once::IdKey;

/// Shapes how non-idempotent requests run at most once; the INI section
/// `[once]`. The reasons are in `docs/design/at-most-once.md`.
#[derive(Debug, Clone)]
pub struct OnceConfig {
    /// Secret that ids are checked with. The daemon takes the peers' key.
    pub key: IdKey,
    /// Nodes of other failure domains that record an intent. Default: 2.
    pub witnesses: u32,
    /// Time for which a minted id may be used. Default: 600 s.
    pub id_ttl: Duration,
    /// Time for which an ended request is remembered. Default: 900 s.
    pub outcome_retention: Duration,
    /// Ended requests that a home remembers. Default: 65536.
    pub max_remembered: u32,
    /// Ids that a witness remembers. Default: 131072.
    pub max_witnessed: u32,
    /// Largest result that is remembered or carried to another node. Default: 64 KiB.
    pub max_result_bytes: u32,
    /// Results that a home remembers, all together. Default: 16 MiB.
    pub max_total_result_bytes: u32,
    /// Largest result that is handed to the witnesses. Default: 4 KiB.
    pub max_witness_result_bytes: u32,
    /// Time within which all witnesses must answer. Default: 300 ms.
    pub witness_timeout: Duration,
    /// Time without a word from the home after which an id is sealed. Default: 1 s.
    pub home_timeout: Duration,
    /// Time after which an unanswered question is asked again. Default: 100 ms.
    pub resend_interval: Duration,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            key: IdKey::default(),
            witnesses: 2,
            id_ttl: Duration::from_secs(600),
            outcome_retention: Duration::from_secs(900),
            max_remembered: 65_536,
            max_witnessed: 131_072,
            max_result_bytes: 64 * 1024,
            max_total_result_bytes: 16 * 1024 * 1024,
            max_witness_result_bytes: 4 * 1024,
            witness_timeout: Duration::from_millis(300),
            home_timeout: Duration::from_secs(1),
            resend_interval: Duration::from_millis(100),
        }
    }
}
