//! Settings of at-most-once execution.

use std::time::Duration;

use crate::once::IdKey;

/// Controls how non-idempotent requests run at most once; the INI section
/// `[once]`. The design is described in `docs/design/at-most-once.md`.
#[derive(Debug, Clone)]
pub struct OnceConfig {
    /// Secret that authenticates request ids. The daemon uses the key of the
    /// peers.
    pub key: IdKey,
    /// Number of nodes in other failure domains that record an intent. Default: 2.
    pub witnesses: u32,
    /// Time for which an issued id may be used. Default: 600 s.
    pub id_ttl: Duration,
    /// Time for which the outcome of a request is retained. Default: 900 s.
    pub outcome_retention: Duration,
    /// Maximum number of ended requests that a home retains. Default: 65536.
    pub max_remembered: u32,
    /// Maximum number of ids that a witness retains. Default: 131072.
    pub max_witnessed: u32,
    /// Size of the largest result that is retained or sent to another node.
    /// Default: 64 KiB.
    pub max_result_bytes: u32,
    /// Maximum total size of the results that a home retains. Default: 16 MiB.
    pub max_total_result_bytes: u32,
    /// Size of the largest result that is sent to the witnesses. Default: 4 KiB.
    pub max_witness_result_bytes: u32,
    /// Time within which all witnesses must respond. Default: 300 ms.
    pub witness_timeout: Duration,
    /// Time without a message from the home after which an id is sealed. Default:
    /// 1 s.
    pub home_timeout: Duration,
    /// Interval after which an unanswered query is sent again. Default: 100 ms.
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
