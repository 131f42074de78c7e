//! The append-only log service of the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use radishhaven_proto::platform::{Append, Appended, Record, Records, STREAMS_PATH};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use volo_http::{request::Request, response::Response};

use crate::{
    control::{FAULTS_PATH, Faults},
    runtime::RequestHandler,
    wire,
};

/// Records that a read gives when it names no maximum.
const DEFAULT_READ_RECORDS: u64 = 1_000;
/// Longest wait that a read may ask for, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct LogCfg {
    /// Appends a second over all streams; more are answered by 429.
    pub appends_per_s: u32,
    /// Records that each stream keeps at most; no bound when absent.
    pub retain_records: Option<usize>,
    /// Time for which a record is kept, in milliseconds; for ever when absent.
    pub retain_ms: Option<u64>,
}

impl Default for LogCfg {
    fn default() -> Self {
        Self {
            appends_per_s: 400,
            retain_records: None,
            retain_ms: None,
        }
    }
}

/// A way in which the log fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum LogFault {
    /// Every request is answered by 503 and has no effect.
    Outage,
    /// Every request takes longer.
    Slow {
        /// The added time in milliseconds.
        delay_ms: u64,
    },
    /// Appends take effect and are answered by 500.
    LoseAckNext {
        /// The number of appends that are still to be hit.
        n: u32,
    },
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Instant, String)>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, cfg: &LogCfg, now: Instant) {
        let retain = cfg.retain_ms.map(Duration::from_millis);
        while let Some((at, _)) = self.records.front() {
            let too_many = cfg.retain_records.is_some_and(|n| self.records.len() > n);
            let too_old = retain.is_some_and(|d| now.duration_since(*at) > d);
            if !too_many && !too_old {
                break;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn read(&self, from: u64, max: u64) -> Records {
        let skip = from.saturating_sub(self.first);
        let records = self
            .records
            .iter()
            .zip(self.first..)
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
            .take(usize::try_from(max).unwrap_or(usize::MAX))
            .map(|((_, body), offset)| Record {
                offset,
                body: body.clone(),
            })
            .collect();
        Records {
            first: self.first,
            end: self.end(),
            records,
        }
    }
}

#[derive(Debug)]
struct Inner {
    streams: BTreeMap<String, Stream>,
    budget: f64,
    refilled: Instant,
}

/// The log.
#[derive(Debug)]
pub struct LogService {
    cfg: LogCfg,
    faults: Faults<LogFault>,
    inner: Mutex<Inner>,
    appended: watch::Sender<()>,
}

impl LogService {
    /// Makes an empty log.
    pub fn new(cfg: LogCfg) -> Self {
        let inner = Inner {
            streams: BTreeMap::new(),
            budget: f64::from(cfg.appends_per_s),
            refilled: Instant::now(),
        };
        Self {
            cfg,
            faults: Faults::new(),
            inner: Mutex::new(inner),
            appended: watch::Sender::new(()),
        }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Vec<LogFault>) {
        self.faults.set(faults);
    }

    /// Appends a record past the rate limit and returns its offset.
    pub fn append(&self, stream: &str, body: String) -> u64 {
        let now = Instant::now();
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        stream.records.push_back((now, body));
        stream.expire(&self.cfg, now);
        drop(inner);
        self.appended.send_replace(());
        offset
    }

    /// Reads at most `max` records from the offset `from`.
    pub fn read(&self, stream: &str, from: u64, max: u64) -> Records {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.expire(&self.cfg, Instant::now());
        stream.read(from, max)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_budget(&self) -> bool {
        let rate = f64::from(self.cfg.appends_per_s);
        let now = Instant::now();
        let mut inner = self.lock();
        let refill = now.duration_since(inner.refilled).as_secs_f64() * rate;
        inner.budget = (inner.budget + refill).min(rate);
        inner.refilled = now;
        if inner.budget < 1.0 {
            return false;
        }
        inner.budget -= 1.0;
        true
    }

    async fn respond_append(&self, stream: &str, req: Request) -> Response {
        let append: Append = match wire::read(req.into_body()).await {
            Ok(append) => append,
            Err(e) => return e.into(),
        };
        if !self.take_budget() {
            return wire::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let offset = self.append(stream, append.body);
        if self.faults.take(lost_acks) {
            return wire::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        wire::ok(&Appended { offset })
    }

    async fn respond_read(&self, stream: &str, req: Request) -> Response {
        let from = wire::query_u64(req.uri(), "from").unwrap_or(0);
        let max = wire::query_u64(req.uri(), "max").unwrap_or(DEFAULT_READ_RECORDS);
        let wait_ms = wire::query_u64(req.uri(), "wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let waited = tokio::time::timeout(wait, self.read_some(stream, from, max)).await;
        if self.faults.any(|f| *f == LogFault::Outage) {
            return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        wire::ok(&waited.unwrap_or_else(|_| self.read(stream, from, max)))
    }

    async fn read_some(&self, stream: &str, from: u64, max: u64) -> Records {
        let mut rx = self.appended.subscribe();
        loop {
            let records = self.read(stream, from, max);
            if !records.records.is_empty() || rx.changed().await.is_err() {
                return records;
            }
        }
    }
}

fn lost_acks(fault: &mut LogFault) -> Option<&mut u32> {
    match fault {
        LogFault::LoseAckNext { n } => Some(n),
        _ => None,
    }
}

fn delay_ms(fault: &LogFault) -> Option<u64> {
    match fault {
        LogFault::Slow { delay_ms } => Some(*delay_ms),
        _ => None,
    }
}

fn stream_of(path: &str) -> Option<&str> {
    path.strip_prefix(STREAMS_PATH)?.strip_suffix("/records")
}

impl RequestHandler for LogService {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        let path = req.uri().path().to_owned();
        if path == FAULTS_PATH {
            return self.faults.respond(req).await;
        }
        if let Some(ms) = self.faults.find(delay_ms) {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if self.faults.any(|f| *f == LogFault::Outage) {
            return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (req.method(), stream_of(&path)) {
            (&Method::POST, Some(stream)) => self.respond_append(stream, req).await,
            (&Method::GET, Some(stream)) => self.respond_read(stream, req).await,
            _ => wire::empty(StatusCode::NOT_FOUND),
        }
    }
}
