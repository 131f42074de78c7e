//! A model engine that runs the reference model.
//!
//! It serves the complete protocol of [`radishhaven_proto::engine`]. Steps run in
//! batches whose duration follows the cost model of an accelerator. A step is
//! recorded when it starts to run, so a refused step has no run record.

mod batch;
mod cache;
mod cfg;
mod fault;
mod kv;
mod load;
mod order;
mod queue;
mod record;
mod session;
mod state;
mod submit;
#[cfg(test)]
mod tests;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use radishhaven_proto::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, EngineRefusal, HOLDING_PATH, Holding, KV_EXPORT_PATH,
    KV_IMPORT_PATH, LOAD_PATH, ORDER_PATH, STEP_PATH,
};
use tokio::sync::Notify;
use volo_http::{request::Request, response::Response};

use self::state::State;
pub use self::{
    cache::{PREFIX_POSITIONS, prefix_digest},
    cfg::{Accelerator, AcceleratorError, EngineCfg, StepCost},
    fault::EngineFault,
    record::{EngineRecord, KvRecord, OrderRecord, RunRecord, SessionRecord},
};
use crate::{
    control::{self, FAULTS_PATH, Faults, RECORDS_PATH},
    runtime::RequestHandler,
    wire::{self, WireError},
};

/// A model engine and its state.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineCfg,
    faults: Faults<EngineFault>,
    state: Mutex<State>,
    wake: Notify,
    /// Start time as part of run ids, which makes them unique across restarts.
    started_us: u64,
}

/// An error that prevents a result.
#[derive(Debug, thiserror::Error)]
enum EngineError {
    /// The request cannot be read.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The engine refuses the request.
    #[error("the engine refused the request")]
    Refused(EngineRefusal),
    /// An injected fault.
    #[error("the request failed due to an injected fault")]
    Fault,
}

impl From<EngineRefusal> for EngineError {
    fn from(refusal: EngineRefusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<EngineError> for Response {
    fn from(e: EngineError) -> Self {
        match e {
            EngineError::Wire(e) => e.into(),
            EngineError::Refused(refusal) => wire::json(StatusCode::CONFLICT, &refusal),
            EngineError::Fault => wire::empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

impl Engine {
    /// Creates an engine that initially holds the layers in its settings.
    pub fn new(cfg: EngineCfg) -> Self {
        let state = Mutex::new(State::new(&cfg));
        Self {
            cfg,
            faults: Faults::new(),
            state,
            wake: Notify::new(),
            started_us: wire::wall_clock_us(),
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Vec<EngineFault>) {
        self.faults.set(faults);
    }

    /// Returns the retained records, oldest first.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.lock().records.iter().cloned().collect()
    }

    /// Returns the retained run records, oldest first.
    pub fn runs(&self) -> Vec<RunRecord> {
        let state = self.lock();
        let runs = state.records.iter().filter_map(|record| match record {
            EngineRecord::Run(run) => Some(run.clone()),
            _ => None,
        });
        runs.collect()
    }

    /// Returns the model, layers and adapters that the engine currently holds.
    pub fn holding(&self) -> Holding {
        self.lock().holding.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay_on_link(&self) {
        let delay = Duration::from_micros(self.cfg.link_delay_us) + self.faults.link_delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn dispatch(self: &Arc<Self>, req: Request) -> Result<Response, EngineError> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, STEP_PATH) => self.respond_step(req).await,
            (&Method::POST, CANCEL_PATH) => {
                let session = wire::read(req.into_body()).await?;
                Ok(wire::empty(self.cancel(session)))
            }
            (&Method::POST, KV_EXPORT_PATH) => {
                let session = wire::read(req.into_body()).await?;
                Ok(wire::ok(&self.export(session).await?))
            }
            (&Method::POST, KV_IMPORT_PATH) => {
                let import = wire::read(req.into_body()).await?;
                self.import(import).await?;
                Ok(wire::empty(StatusCode::OK))
            }
            (&Method::POST, ORDER_PATH) => {
                let order = wire::read(req.into_body()).await?;
                Ok(wire::ok(&self.order(order)))
            }
            (&Method::GET, LOAD_PATH) => Ok(wire::ok(&self.load_report())),
            (&Method::GET, HOLDING_PATH) => Ok(wire::ok(&self.holding())),
            (&Method::GET, CACHE_EVENTS_PATH) => Ok(self.respond_cache_events(&req)),
            _ => Ok(wire::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn respond_step(&self, req: Request) -> Result<Response, EngineError> {
        let step = wire::read(req.into_body()).await?;
        let reply = self.step(step).await?;
        if self.faults.consume_lost_reply() {
            return Err(EngineError::Fault);
        }
        let delay = self.faults.reply_delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(wire::ok(&reply))
    }

    fn respond_cache_events(&self, req: &Request) -> Response {
        let from = wire::query_u64(req.uri(), "from").unwrap_or(0);
        let lag = Duration::from_millis(self.cfg.cache_lag_ms);
        let gap_every = self.cfg.cache_gap_every;
        wire::ok(&self.lock().cache.events(from, lag, gap_every))
    }
}

impl RequestHandler for Engine {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        match req.uri().path() {
            FAULTS_PATH => return self.faults.respond(req).await,
            RECORDS_PATH => return control::respond_records(&req, &self.lock().records),
            _ => {}
        }
        self.faults.wait_while_stalled().await;
        self.delay_on_link().await;
        let response = self.dispatch(req).await.unwrap_or_else(Response::from);
        self.delay_on_link().await;
        self.faults.wait_while_stalled().await;
        response
    }

    async fn background(self: Arc<Self>) {
        tokio::join!(self.clone().run_batches(), self.sample_load());
    }
}
