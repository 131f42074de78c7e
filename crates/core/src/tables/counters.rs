//! What a node counts, for metrics and for the state dump.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counts since the node's start.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counters {
    /// Requests that arrived.
    pub submitted: u64,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tokens that were given to callers.
    pub tokens: u64,
    /// Steps that were sent.
    pub steps: u64,
    /// Attempts beyond the first one.
    pub retries: u64,
    /// Second attempts of calls that were slow.
    pub hedges: u64,
    /// Calls that a second attempt answered first.
    pub hedge_wins: u64,
    /// Second attempts that were not sent because the budget was used up.
    pub hedges_unpaid: u64,
    /// Replies of engines and services that belonged to no open attempt.
    pub stale_replies: u64,
    /// Replies of engines that answered another question.
    pub crossed_replies: u64,
    /// Stages that were replaced and went on from KV cache.
    pub imports: u64,
    /// Stages that were replaced and ran kept inputs anew.
    pub replays: u64,
    /// Stages that were replaced together with all stages before them.
    pub restarts: u64,
    /// Positions that were run again by engines that took a stage over.
    pub repeated_positions: u64,
    /// Exports of KV cache that were asked for.
    pub exports: u64,
    /// Retries that waited because the budget was used up.
    pub budget_waits: u64,
    /// Steps that were not answered in time.
    pub step_timeouts: u64,
    /// Steps that were waited for longer, because their engine was busy.
    pub longer_waits: u64,
    /// Ejections of backend servers.
    pub health_ejections: u64,
    /// Times that the cap kept a backend server in that should be ejected.
    pub health_kept_in: u64,
    /// Requests that probed a backend server after an ejection.
    pub health_probes: u64,
    /// Returns of ejected backend servers, because probes were answered or the
    /// cap called them back.
    pub health_returns: u64,
    /// Messages of other nodes for running requests at most once.
    pub once_messages: u64,
    /// Answers that were held because their callers read slowly.
    pub holds: u64,
    /// Requests that were not run because a witness did not consent.
    pub once_unwitnessed: u64,
    /// Requests whose home did not answer, so that witnesses were asked.
    pub once_seals: u64,
    /// Reads of the log that failed.
    pub log_failures: u64,
}
