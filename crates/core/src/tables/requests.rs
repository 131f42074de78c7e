//! Requests: the open ones, and the outcomes of recent ones.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::{
    ids::{Attempt, OrganisationId, Priority, RequestId, RequestKey, ServiceId, VmId},
    outcome::Outcome,
    tables::CompletionState,
    time::{TimerId, Timestamp},
};

/// Number of outcomes that a node remembers.
const MAX_REMEMBERED_OUTCOMES: usize = 100_000;

/// An attempt of a call that was sent and not answered.
#[derive(Debug, Clone, Serialize)]
pub struct OpenCall {
    /// The attempt.
    pub attempt: Attempt,
    /// The backend server that was asked.
    pub vm: VmId,
    /// When it was sent.
    pub sent: Timestamp,
}

/// The state of a call.
#[derive(Debug, Clone, Serialize)]
pub struct CallState {
    /// The service.
    pub service: ServiceId,
    /// The operation.
    pub operation: String,
    /// Its argument.
    #[serde(skip)]
    pub body: serde_json::Value,
    /// Attempts that were sent and not answered: one, or two of a hedged call.
    pub open: Vec<OpenCall>,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// How often the call has waited for a retry.
    pub waits: u32,
    /// The subscription to the next retry or hedge.
    #[serde(skip)]
    pub timer: Option<TimerId>,
}

/// What a request needs.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Tokens from a pipeline.
    Completion(CompletionState),
    /// A call to a plain service.
    Call(CallState),
}

/// An open request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRow {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// Its priority.
    pub priority: Priority,
    /// When its answer is of no more use.
    pub deadline: Timestamp,
    /// When it was admitted.
    pub admitted: Timestamp,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The current attempt.
    pub attempt: Attempt,
    /// Whether it waits for room at this node; nothing was sent yet.
    pub waiting: bool,
    /// Whether any backend server may have started it.
    pub started: bool,
    /// Whether an earlier attempt may have started it.
    #[serde(rename = "doubt")]
    pub indeterminate: bool,
    /// Backend servers that failed it.
    pub failed: Vec<VmId>,
    /// What it needs.
    pub work: Work,
    /// The subscription to its deadline.
    #[serde(skip)]
    pub deadline_timer: Option<TimerId>,
}

/// Open requests and recent outcomes.
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
    /// Returns the number of the next id to mint, and counts it.
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

    /// Takes an open request out and remembers its outcome.
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

    /// Returns an open request for a change.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut RequestRow> {
        self.rows.get_mut(&key)
    }

    /// Returns the open request that has this id.
    pub fn open(&self, id: &RequestId) -> Option<RequestKey> {
        self.by_id.get(id).copied()
    }

    /// Returns what became of a recent request.
    pub fn outcome(&self, id: &RequestId) -> Option<Outcome> {
        self.outcomes.get(id).copied()
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of open requests of an organisation.
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.by_organisation.get(organisation).copied().unwrap_or(0)
    }
}
