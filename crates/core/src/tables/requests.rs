//! Requests: the open ones and the outcomes of recent ones.
//!
//! An attempt is one try at a call or at one stage of a completion.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::{
    ids::{Attempt, OrganisationId, Priority, RequestId, RequestKey, ServiceId, VmId},
    outcome::Outcome,
    tables::CompletionState,
    time::{TimerId, Timestamp},
};

/// Maximum number of outcomes that a node remembers.
const MAX_REMEMBERED_OUTCOMES: usize = 100_000;

/// An attempt of a call that was sent and not answered.
#[derive(Debug, Clone, Serialize)]
pub struct OpenCall {
    /// The attempt.
    pub attempt: Attempt,
    /// The backend server that it was sent to.
    pub vm: VmId,
    /// When it was sent.
    pub sent: Timestamp,
}

/// The state of a call to a plain service.
#[derive(Debug, Clone, Serialize)]
pub struct CallState {
    /// The service.
    pub service: ServiceId,
    /// The operation.
    pub operation: String,
    /// The argument of the operation.
    #[serde(skip)]
    pub body: serde_json::Value,
    /// Attempts that were sent and not answered; two if the call is hedged.
    pub open: Vec<OpenCall>,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Number of backoffs before retries.
    pub waits: u32,
    /// The timer for the next retry or hedge.
    #[serde(skip)]
    pub timer: Option<TimerId>,
}

/// The work of a request.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Generates tokens with a pipeline.
    Completion(CompletionState),
    /// Calls a plain service.
    Call(CallState),
}

/// An open request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRow {
    /// The request id.
    pub id: RequestId,
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The priority.
    pub priority: Priority,
    /// The deadline; the caller has no use for a later answer.
    pub deadline: Timestamp,
    /// When the request was admitted.
    pub admitted: Timestamp,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The current attempt.
    pub attempt: Attempt,
    /// Whether the request is queued at this node and nothing has been sent for
    /// it.
    pub waiting: bool,
    /// Whether any backend server may have started the request.
    pub started: bool,
    /// Whether an earlier attempt may have started the request, which leaves
    /// its outcome indeterminate.
    #[serde(rename = "doubt")]
    pub indeterminate: bool,
    /// Backend servers that failed the request.
    pub failed: Vec<VmId>,
    /// The work to do.
    pub work: Work,
    /// The timer for the deadline.
    #[serde(skip)]
    pub deadline_timer: Option<TimerId>,
}

/// Open requests and the outcomes of recent ones.
#[derive(Debug, Default, Serialize)]
pub struct RequestTable {
    rows: BTreeMap<RequestKey, RequestRow>,
    #[serde(skip)]
    by_id: BTreeMap<RequestId, RequestKey>,
    by_organisation: BTreeMap<OrganisationId, u32>,
    #[serde(skip)]
    outcomes: BTreeMap<RequestId, Outcome>,
    #[serde(skip)]
    outcome_order: VecDeque<RequestId>,
    #[serde(rename = "minted")]
    ids_issued: u64,
}

impl RequestTable {
    /// Returns the number for the next request id.
    pub fn next_id_number(&mut self) -> u64 {
        self.ids_issued += 1;
        self.ids_issued
    }

    /// Adds an open request.
    pub fn insert(&mut self, key: RequestKey, row: RequestRow) {
        self.by_id.insert(row.id.clone(), key);
        *self
            .by_organisation
            .entry(row.organisation.clone())
            .or_default() += 1;
        self.rows.insert(key, row);
    }

    /// Removes an open request and remembers its outcome.
    pub fn finish(&mut self, key: RequestKey, outcome: Outcome) -> Option<RequestRow> {
        let row = self.rows.remove(&key)?;
        self.by_id.remove(&row.id);
        if let Some(count) = self.by_organisation.get_mut(&row.organisation) {
            *count -= 1;
        }
        self.remember_outcome(row.id.clone(), outcome);
        Some(row)
    }

    fn remember_outcome(&mut self, id: RequestId, outcome: Outcome) {
        if self.outcomes.insert(id.clone(), outcome).is_none() {
            self.outcome_order.push_back(id);
        }
        if self.outcome_order.len() > MAX_REMEMBERED_OUTCOMES
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// Returns an open request.
    pub fn get(&self, key: RequestKey) -> Option<&RequestRow> {
        self.rows.get(&key)
    }

    /// Returns an open request, to change it.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut RequestRow> {
        self.rows.get_mut(&key)
    }

    /// Returns the key of the open request with this id.
    pub fn open(&self, id: &RequestId) -> Option<RequestKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the outcome of a recent request.
    pub fn outcome(&self, id: &RequestId) -> Option<Outcome> {
        self.outcomes.get(id).copied()
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no open requests.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of open requests of an organisation.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.by_organisation.get(organisation).copied().unwrap_or(0)
    }
}
