//! Counters of a node for metrics and the state dump.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counts since the node's start.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counters {
    /// Requests received.
    pub submitted: u64,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tokens sent to callers.
    pub tokens: u64,
    /// Steps sent to engines.
    pub steps: u64,
    /// Attempts beyond the first one.
    pub retries: u64,
    /// Second attempts of slow calls.
    pub hedges: u64,
    /// Calls that were answered first by their second attempt.
    pub hedge_wins: u64,
    /// Second attempts that were not sent because the retry budget was
    /// exhausted.
    pub hedges_unpaid: u64,
    /// Replies of engines and services that matched no open attempt.
    pub stale_replies: u64,
    /// Replies of engines that answered another request's step.
    pub crossed_replies: u64,
    /// Stages that were replaced and resumed from an imported KV cache.
    pub imports: u64,
    /// Stages that were replaced and replayed their kept inputs.
    pub replays: u64,
    /// Stages that were replaced together with all stages before them.
    pub restarts: u64,
    /// Positions that replacement engines ran again.
    pub repeated_positions: u64,
    /// Requested exports of KV cache.
    pub exports: u64,
    /// Retries that were delayed because the retry budget was exhausted.
    pub budget_waits: u64,
    /// Steps that were not answered in time.
    pub step_timeouts: u64,
    /// Steps with an extended timeout because their engine was busy.
    pub longer_waits: u64,
    /// Ejections of backend servers.
    pub health_ejections: u64,
    /// Backend servers that should have been ejected but were kept because of
    /// the cap.
    pub health_kept_in: u64,
    /// Requests that probed a backend server after its ejection.
    pub health_probes: u64,
    /// Ejected backend servers that were readmitted, either because their
    /// probes were answered or because the cap required it.
    pub health_returns: u64,
    /// Messages from other nodes about at-most-once requests.
    pub once_messages: u64,
    /// Answers that were paused because their callers read slowly.
    pub holds: u64,
    /// Requests that were not run because a witness did not consent.
    pub once_unwitnessed: u64,
    /// Requests for which the witnesses were queried because the home did not
    /// answer.
    pub once_seals: u64,
    /// Failed reads of the log.
    pub log_failures: u64,
}
