//! Structured logs by `spdlog`: on standard error for the entry node, whose
//! standard output tells its addresses, and on standard output for a gateway.

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

/// Installs the process's logger.
///
/// # Errors
///
/// Fails if the log library refuses the sink.
pub fn init_stderr(cfg: &LogConfig) -> spdlog::Result<()> {
    let builder = StdStreamSink::builder().stderr();
    let sink: Arc<dyn Sink> = match cfg.format {
        LogFormat::Text => Arc::new(builder.formatter(FullFormatter::new()).build()?),
        LogFormat::Json => Arc::new(builder.formatter(JsonFormatter::new()).build()?),
    };
    install(cfg, sink)
}

/// Log records that wait to be written at most; more are dropped and counted.
const MAX_QUEUED: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log records that were dropped.
pub fn dropped_records() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Installs a logger on standard output that never blocks its callers.
///
/// # Errors
///
/// Fails if the log library refuses the sink or its thread.
pub fn init_stdout(cfg: &LogConfig) -> spdlog::Result<()> {
    let builder = StdStreamSink::builder().stdout();
    let sink: Arc<dyn Sink> = match cfg.format {
        LogFormat::Text => Arc::new(builder.formatter(FullFormatter::new()).build()?),
        LogFormat::Json => Arc::new(builder.formatter(JsonFormatter::new()).build()?),
    };
    spdlog::set_default_logger(Arc::new(async_logger(cfg, sink)?));
    Ok(())
}

/// Returns a logger that hands records on to `sink` in a thread of its own;
/// what comes while too many wait is dropped and counted.
///
/// # Errors
///
/// Fails if the log library refuses the thread.
pub fn async_logger(cfg: &LogConfig, sink: Arc<dyn Sink>) -> spdlog::Result<Logger> {
    let capacity = MAX_QUEUED.try_into().expect("the constant is not zero");
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    // A record that is dropped is an error of the logger, and one that is not
    // written is an error of the sink.
    let count = || {
        ErrorHandler::new(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
    };
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count())
        .build()?;
    Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(cfg))
        .error_handler(count())
        .build()
}

fn filter(cfg: &LogConfig) -> spdlog::LevelFilter {
    spdlog::LevelFilter::MoreSevereEqual(cfg.level)
}

fn install(cfg: &LogConfig, sink: Arc<dyn Sink>) -> spdlog::Result<()> {
    let level = filter(cfg);
    let logger = Logger::builder().sink(sink).level_filter(level).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
