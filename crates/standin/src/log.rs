//! The append-only log service of the platform, with limits on rate and retention.

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

/// Maximum number of records that a read without a limit returns.
const DEFAULT_READ_RECORDS: u64 = 1_000;
/// Maximum wait for new records in milliseconds; longer requested waits are capped.
const MAX_WAIT_MS: u64 = 60_000;

/// Settings of [`LogService`].
#[derive(Debug, Clone)]
pub struct LogCfg {
    /// Limit on appends per second over all streams; further appends return status
    /// 429.
    pub appends_per_s: u32,
    /// Maximum number of retained records per stream, or `None` for no limit.
    pub retain_records: Option<usize>,
    /// Retention of a record in milliseconds, or `None` for no limit.
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

/// A fault of the log service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum LogFault {
    /// Every request returns status 503 and has no effect.
    Outage,
    /// Every request is delayed.
    Slow {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// The next `n` appends take effect but return status 500.
    LoseAckNext {
        /// Number of remaining appends that the fault affects.
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

    fn drop_expired(&mut self, cfg: &LogCfg, now: Instant) {
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
    append_tokens: f64,
    refilled_at: Instant,
}

/// Serves append-only streams of records.
#[derive(Debug)]
pub struct LogService {
    cfg: LogCfg,
    faults: Faults<LogFault>,
    inner: Mutex<Inner>,
    appended: watch::Sender<()>,
}

impl LogService {
    /// Creates a log without streams.
    pub fn new(cfg: LogCfg) -> Self {
        let inner = Inner {
            streams: BTreeMap::new(),
            append_tokens: f64::from(cfg.appends_per_s),
            refilled_at: Instant::now(),
        };
        Self {
            cfg,
            faults: Faults::new(),
            inner: Mutex::new(inner),
            appended: watch::Sender::new(()),
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Vec<LogFault>) {
        self.faults.set(faults);
    }

    /// Appends a record and returns its offset.
    ///
    /// The rate limit does not apply.
    pub fn append(&self, stream: &str, body: String) -> u64 {
        let now = Instant::now();
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        stream.records.push_back((now, body));
        stream.drop_expired(&self.cfg, now);
        drop(inner);
        self.appended.send_replace(());
        offset
    }

    /// Returns at most `max` records from offset `from` on.
    pub fn read(&self, stream: &str, from: u64, max: u64) -> Records {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        stream.drop_expired(&self.cfg, Instant::now());
        stream.read(from, max)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn try_take_append(&self) -> bool {
        let rate = f64::from(self.cfg.appends_per_s);
        let now = Instant::now();
        let mut inner = self.lock();
        let refill = now.duration_since(inner.refilled_at).as_secs_f64() * rate;
        inner.append_tokens = (inner.append_tokens + refill).min(rate);
        inner.refilled_at = now;
        if inner.append_tokens < 1.0 {
            return false;
        }
        inner.append_tokens -= 1.0;
        true
    }

    async fn respond_append(&self, stream: &str, req: Request) -> Response {
        let append: Append = match wire::read(req.into_body()).await {
            Ok(append) => append,
            Err(e) => return e.into(),
        };
        if !self.try_take_append() {
            return wire::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        let offset = self.append(stream, append.body);
        if self.faults.consume(lost_ack_counter) {
            return wire::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        wire::ok(&Appended { offset })
    }

    async fn respond_read(&self, stream: &str, req: Request) -> Response {
        let from = wire::query_u64(req.uri(), "from").unwrap_or(0);
        let max = wire::query_u64(req.uri(), "max").unwrap_or(DEFAULT_READ_RECORDS);
        let wait_ms = wire::query_u64(req.uri(), "wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let result = tokio::time::timeout(wait, self.wait_for_records(stream, from, max)).await;
        if self.faults.any(|f| *f == LogFault::Outage) {
            return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        wire::ok(&result.unwrap_or_else(|_| self.read(stream, from, max)))
    }

    async fn wait_for_records(&self, stream: &str, from: u64, max: u64) -> Records {
        let mut rx = self.appended.subscribe();
        loop {
            let records = self.read(stream, from, max);
            if !records.records.is_empty() || rx.changed().await.is_err() {
                return records;
            }
        }
    }
}

fn lost_ack_counter(fault: &mut LogFault) -> Option<&mut u32> {
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

fn stream_name(path: &str) -> Option<&str> {
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
        match (req.method(), stream_name(&path)) {
            (&Method::POST, Some(stream)) => self.respond_append(stream, req).await,
            (&Method::GET, Some(stream)) => self.respond_read(stream, req).await,
            _ => wire::empty(StatusCode::NOT_FOUND),
        }
    }
}
