//! An entry node's decisions: its tables and the systems that run over them.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Batch, RefusedBatch},
    configs::Configs,
    ids::RequestId,
    message::{Action, Event},
    outcome::Outcome,
    systems::{self, Context, dissemination::LogRead, vm_list::VmListRead},
    tables::Tables,
    time::Timestamp,
};

/// An entry node without its edges.
///
/// Give it each event with the current time and carry out the actions that it
/// returns; see `docs/ARCHITECTURE.md`.
#[derive(Debug)]
pub struct Node {
    cfg: Configs,
    tables: Tables,
    rng: StdRng,
}

/// What became of a request, as far as a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Known {
    /// It runs here.
    Open,
    /// It ended here.
    Ended(Outcome),
    /// This node knows nothing of it.
    Nothing,
}

impl Node {
    /// Makes a node; `seed` feeds all its random choices.
    pub fn new(cfg: Configs, seed: u64) -> Self {
        let mut tables = Tables::default();
        let home = cfg.identity.failure_domain.clone();
        tables.backends.set_home(home);
        Self {
            cfg,
            tables,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Handles one event and returns what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        systems::dispatch(&mut self.context(now, &mut out), event);
        out
    }

    /// Mints an id for one request, which may be a non-idempotent one.
    pub fn mint(&mut self, now: Timestamp) -> RequestId {
        let mut out = Vec::new();
        systems::once::mint(&mut self.context(now, &mut out), true)
    }

    /// Returns the time after which a caller that can't be served should ask
    /// again.
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

    /// Returns the read of the log that should come next.
    pub fn next_log_read(&mut self, now: Timestamp) -> LogRead {
        let mut out = Vec::new();
        systems::dissemination::next_read(&mut self.context(now, &mut out))
    }

    /// Returns the read of the VM list that should come next.
    pub fn next_vms_read(&mut self, now: Timestamp) -> VmListRead {
        let mut out = Vec::new();
        systems::vm_list::next_read(&self.context(now, &mut out))
    }

    /// Notes that a read of the VM list begins, so that its answer can be told
    /// from what comes from peers meanwhile.
    pub fn begin_vms_read(&mut self, now: Timestamp) {
        let mut out = Vec::new();
        systems::vm_list::begin_read(&mut self.context(now, &mut out));
    }

    /// Tells what would become of a batch if it were the log's next record.
    ///
    /// # Errors
    ///
    /// Returns why it would be refused.
    pub fn preview(&mut self, batch: &Batch) -> Result<(), RefusedBatch> {
        self.tables.config.preview(batch)
    }

    /// Tells what this node knows of a request.
    pub fn known(&self, id: &RequestId) -> Known {
        if self.tables.requests.open(id).is_some() {
            return Known::Open;
        }
        self.tables
            .requests
            .outcome(id)
            .map_or(Known::Nothing, Known::Ended)
    }

    /// Returns the tables, for reading.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the settings.
    pub fn configs(&self) -> &Configs {
        &self.cfg
    }

    /// Returns the moment of the next subscription, if there is one.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.tables.timers.next_due()
    }

    /// Tells whether a graceful shutdown is over: callers that keep the
    /// address have had their time, and no request is open.
    pub fn drained(&self, now: Timestamp) -> bool {
        let begun = self.tables.draining;
        begun.is_some_and(|begun| now >= begun + self.keep()) && self.tables.requests.is_empty()
    }

    /// Returns how long callers may keep the directory answer.
    pub fn keep(&self) -> Duration {
        self.cfg.directory.keep
    }
}
