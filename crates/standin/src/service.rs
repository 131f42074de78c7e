//! A plain service, which runs every call that it receives.
//!
//! The service does not detect repeated calls. The operation `lookup` is
//! idempotent; `book` and `append` are not, and the checker searches the records
//! for calls of these that ran twice.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use radishhaven_core::ids::RequestId;
use radishhaven_proto::service::{CALL_PATH, Call, CallReply};
use serde::{Deserialize, Serialize};
use volo_http::{request::Request, response::Response};

use crate::{
    control::{self, DEFAULT_MAX_RECORD_VALUES, FAULTS_PATH, Faults, RECORDS_PATH, RecordRing},
    runtime::RequestHandler,
    wire,
};

/// Settings of [`PlainService`].
#[derive(Debug, Clone)]
pub struct ServiceCfg {
    /// Duration of a call in microseconds.
    pub call_duration_us: u64,
    /// Maximum number of retained records.
    pub max_records: usize,
}

impl Default for ServiceCfg {
    fn default() -> Self {
        Self {
            call_duration_us: 2_000,
            max_records: DEFAULT_MAX_RECORD_VALUES,
        }
    }
}

/// A fault of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum ServiceFault {
    /// The next `n` calls run but return status 500.
    LoseReplyNext {
        /// Number of remaining calls that the fault affects.
        n: u32,
    },
    /// New requests do not run and no responses are sent while the fault is active.
    Stall,
    /// Every request returns status 503 and has no effect.
    Outage,
}

/// A call that the service started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The operation.
    pub operation: String,
    /// The call's argument.
    pub body: serde_json::Value,
    /// Time in milliseconds after which the caller discards the result.
    pub deadline_ms: Option<u64>,
    /// Wall-clock time of the start in microseconds since the Unix epoch.
    pub started_us: u64,
    /// Whether the call has finished.
    pub finished: bool,
}

/// A service with calls that take a fixed time and record their start and end.
#[derive(Debug)]
pub struct PlainService {
    cfg: ServiceCfg,
    faults: Faults<ServiceFault>,
    records: Mutex<RecordRing<CallRecord>>,
}

impl PlainService {
    /// Creates a service without records.
    pub fn new(cfg: ServiceCfg) -> Self {
        let records = Mutex::new(RecordRing::new(cfg.max_records));
        Self {
            cfg,
            faults: Faults::new(),
            records,
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Vec<ServiceFault>) {
        self.faults.set(faults);
    }

    /// Returns the retained records of started calls, oldest first.
    pub fn records(&self) -> Vec<CallRecord> {
        self.lock().iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, RecordRing<CallRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self, call: &Call) -> u64 {
        let record = CallRecord {
            request: call.request.clone(),
            operation: call.operation.clone(),
            body: call.body.clone(),
            deadline_ms: call.deadline_ms,
            started_us: wire::wall_clock_us(),
            finished: false,
        };
        self.lock().push(1, record)
    }

    async fn run(self: Arc<Self>, call: Call) -> CallReply {
        let seq = self.start(&call);
        tokio::time::sleep(Duration::from_micros(self.cfg.call_duration_us)).await;
        if let Some(record) = self.lock().get_mut(seq) {
            record.finished = true;
        }
        let body = serde_json::json!({ "operation": call.operation, "call": seq });
        CallReply {
            request: call.request,
            body,
        }
    }

    async fn respond_call(self: Arc<Self>, req: Request) -> Response {
        let call: Call = match wire::read(req.into_body()).await {
            Ok(call) => call,
            Err(e) => return e.into(),
        };
        // The call runs in its own task, so that it finishes even if its caller
        // disconnects.
        let Ok(reply) = tokio::spawn(self.clone().run(call)).await else {
            return wire::empty(StatusCode::INTERNAL_SERVER_ERROR);
        };
        if self.faults.consume(lost_reply_counter) {
            return wire::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        self.faults.wait_while(|f| *f == ServiceFault::Stall).await;
        wire::ok(&reply)
    }
}

fn lost_reply_counter(fault: &mut ServiceFault) -> Option<&mut u32> {
    match fault {
        ServiceFault::LoseReplyNext { n } => Some(n),
        _ => None,
    }
}

impl RequestHandler for PlainService {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        match req.uri().path() {
            FAULTS_PATH => return self.faults.respond(req).await,
            RECORDS_PATH => return control::respond_records(&req, &self.lock()),
            _ => {}
        }
        self.faults.wait_while(|f| *f == ServiceFault::Stall).await;
        if self.faults.any(|f| *f == ServiceFault::Outage) {
            return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (req.method(), req.uri().path()) {
            (&Method::POST, CALL_PATH) => self.respond_call(req).await,
            _ => wire::empty(StatusCode::NOT_FOUND),
        }
    }
}
