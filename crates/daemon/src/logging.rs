//! Structured logging with `spdlog`. The entry node logs to standard error,
//! since it prints its addresses on standard output; a gateway logs to standard
//! output.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use spdlog::{
    ErrorHandler, Logger, ThreadPool,
    formatter::{FullFormatter, JsonFormatter},
    sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink},
};

use crate::configs::{LogConfig, LogFormat};

/// Installs a logger on standard error.
///
/// # Errors
///
/// Returns an error if the logger or its sink can't be built.
pub fn init_stderr(cfg: &LogConfig) -> spdlog::Result<()> {
    let builder = StdStreamSink::builder().stderr();
    let sink: Arc<dyn Sink> = match cfg.format {
        LogFormat::Text => Arc::new(builder.formatter(FullFormatter::new()).build()?),
        LogFormat::Json => Arc::new(builder.formatter(JsonFormatter::new()).build()?),
    };
    install(cfg, sink)
}

/// Maximum number of queued log records; further ones are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of dropped log records.
pub fn dropped_records() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Installs a logger on standard output that never blocks its callers.
///
/// # Errors
///
/// Returns an error if the logger, its sink or its thread can't be created.
pub fn init_stdout(cfg: &LogConfig) -> spdlog::Result<()> {
    let builder = StdStreamSink::builder().stdout();
    let sink: Arc<dyn Sink> = match cfg.format {
        LogFormat::Text => Arc::new(builder.formatter(FullFormatter::new()).build()?),
        LogFormat::Json => Arc::new(builder.formatter(JsonFormatter::new()).build()?),
    };
    spdlog::set_default_logger(Arc::new(async_logger(cfg, sink)?));
    Ok(())
}

/// Returns a logger that writes records to `sink` in a separate thread. Records
/// that arrive while the queue is full are dropped and counted.
///
/// # Errors
///
/// Returns an error if the logger or its thread can't be created.
pub fn async_logger(cfg: &LogConfig, sink: Arc<dyn Sink>) -> spdlog::Result<Logger> {
    let capacity = MAX_QUEUED_RECORDS
        .try_into()
        .expect("the constant is not zero");
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    // The logger reports a dropped record as an error, and the sink reports a
    // record that could not be written.
    let count_dropped = || {
        ErrorHandler::new(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
    };
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count_dropped())
        .build()?;
    Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(level_filter(cfg))
        .error_handler(count_dropped())
        .build()
}

fn level_filter(cfg: &LogConfig) -> spdlog::LevelFilter {
    spdlog::LevelFilter::MoreSevereEqual(cfg.level)
}

fn install(cfg: &LogConfig, sink: Arc<dyn Sink>) -> spdlog::Result<()> {
    let level = level_filter(cfg);
    let logger = Logger::builder().sink(sink).level_filter(level).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
