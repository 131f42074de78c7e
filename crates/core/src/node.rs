//! The state machine of an entry node: its tables and the systems that operate
//! on them.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Batch, BatchRefusal},
    configs::Configs,
    ids::RequestId,
    message::{Action, Event},
    outcome::Outcome,
    systems::{self, Context, dissemination::LogRead, vm_list::VmListRead},
    tables::Tables,
    time::Timestamp,
};

/// An entry node without its input and output.
///
/// Pass each event to [`Node::handle`] with the current time and carry out the
/// actions that it returns; see `docs/ARCHITECTURE.md`.
#[derive(Debug)]
pub struct Node {
    cfg: Configs,
    tables: Tables,
    rng: StdRng,
}

/// The state of a request according to the records of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestState {
    /// The request is running here.
    Open,
    /// The request ended here.
    Ended(Outcome),
    /// This node has no record of the request.
    Nothing,
}

impl Node {
    /// Creates a node; `seed` determines all its random choices.
    pub fn new(cfg: Configs, seed: u64) -> Self {
        let mut tables = Tables::default();
        let domain = cfg.identity.failure_domain.clone();
        tables.backends.set_local_domain(domain);
        Self {
            cfg,
            tables,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        systems::dispatch(&mut self.context(now, &mut out), event);
        out
    }

    /// Issues an id for one request, which may be non-idempotent.
    pub fn issue_id(&mut self, now: Timestamp) -> RequestId {
        let mut out = Vec::new();
        systems::once::issue_id(&mut self.context(now, &mut out), true)
    }

    /// Returns the time after which a caller that can't be served should retry.
    pub fn retry_after(&mut self, now: Timestamp) -> Duration {
        let mut out = Vec::new();
        systems::admission::retry_after(&mut self.context(now, &mut out))
    }

    pub(crate) fn context<'a>(
        &'a mut self,
        now: Timestamp,
        out: &'a mut Vec<Action>,
    ) -> Context<'a> {
        Context {
            now,
            cfg: &self.cfg,
            tables: &mut self.tables,
            rng: &mut self.rng,
            out,
        }
    }

    /// Returns what to read from the log next.
    pub fn next_log_read(&mut self, now: Timestamp) -> LogRead {
        let mut out = Vec::new();
        systems::dissemination::next_read(&mut self.context(now, &mut out))
    }

    /// Returns when and how to read the VM list next.
    pub fn next_vms_read(&mut self, now: Timestamp) -> VmListRead {
        let mut out = Vec::new();
        systems::vm_list::next_read(&self.context(now, &mut out))
    }

    /// Records that a read of the VM list begins. Lists that arrive from peers
    /// meanwhile can then be recognised as newer than the answer.
    pub fn begin_vms_read(&mut self, now: Timestamp) {
        let mut out = Vec::new();
        systems::vm_list::begin_read(&mut self.context(now, &mut out));
    }

    /// Checks whether a batch would be accepted as the log's next record.
    ///
    /// # Errors
    ///
    /// Returns the reason why the batch would be refused.
    pub fn preview(&mut self, batch: &Batch) -> Result<(), BatchRefusal> {
        self.tables.config.preview(batch)
    }

    /// Returns the state of a request at this node.
    pub fn request_state(&self, id: &RequestId) -> RequestState {
        if self.tables.requests.open(id).is_some() {
            return RequestState::Open;
        }
        self.tables
            .requests
            .outcome(id)
            .map_or(RequestState::Nothing, RequestState::Ended)
    }

    /// Returns the tables, read-only.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the settings.
    pub fn configs(&self) -> &Configs {
        &self.cfg
    }

    /// Returns the time of the next timer, if there is one.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.tables.timers.next_due()
    }

    /// Returns whether a graceful shutdown is complete: the callers' cached
    /// directory answers have expired, and no request is open.
    pub fn is_drained(&self, now: Timestamp) -> bool {
        let started = self.tables.draining_since;
        started.is_some_and(|started| now >= started + self.directory_retention())
            && self.tables.requests.is_empty()
    }

    /// Returns how long callers may cache a directory answer.
    pub fn directory_retention(&self) -> Duration {
        self.cfg.directory.ttl
    }
}
