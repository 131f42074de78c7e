//! A plain service: it runs every call that it is asked for.
//!
//! The service never looks for calls that it has run before. `lookup` may be
//! repeated without harm; `book` and `append` may not, and a second run of one
//! of these is what a checker looks for in the records.

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

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCfg {
    /// Time that a call takes, in microseconds.
    pub call_duration_us: u64,
    /// Records that are kept.
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

/// A way in which a plain service fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum ServiceFault {
    /// Calls are run and answered by 500.
    LoseReplyNext {
        /// The number of calls that are still to be hit.
        n: u32,
    },
    /// Requests are neither run nor answered while this is in force.
    Stall,
    /// Every request is answered by 503 and has no effect.
    Outage,
}

/// One call that the service started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The operation.
    pub operation: String,
    /// The call's argument.
    pub body: serde_json::Value,
    /// Milliseconds after which the caller has no use for the result.
    pub deadline_ms: Option<u64>,
    /// Wall-clock time of the start in microseconds.
    pub started_us: u64,
    /// True once the call has run to its end.
    pub finished: bool,
}

/// A plain service.
#[derive(Debug)]
pub struct PlainService {
    cfg: ServiceCfg,
    faults: Faults<ServiceFault>,
    records: Mutex<RecordRing<CallRecord>>,
}

impl PlainService {
    /// Makes a service that has run nothing yet.
    pub fn new(cfg: ServiceCfg) -> Self {
        let records = Mutex::new(RecordRing::new(cfg.max_records));
        Self {
            cfg,
            faults: Faults::new(),
            records,
        }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Vec<ServiceFault>) {
        self.faults.set(faults);
    }

    /// Returns the calls that were started and are still on record.
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
        // A call that has started runs to its end, even when its caller goes.
        let Ok(reply) = tokio::spawn(self.clone().run(call)).await else {
            return wire::empty(StatusCode::INTERNAL_SERVER_ERROR);
        };
        if self.faults.take(lost_replies) {
            return wire::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        self.faults.wait_while(|f| *f == ServiceFault::Stall).await;
        wire::ok(&reply)
    }
}

fn lost_replies(fault: &mut ServiceFault) -> Option<&mut u32> {
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
