//! Structured logs by `spdlog`, on standard error.

use std::sync::Arc;

use spdlog::{
    Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::{Sink, StdStreamSink},
};

use crate::configs::{LogConfig, LogFormat};

/// Installs the process's logger.
///
/// # Errors
///
/// Fails if the log library refuses the sink.
pub fn init(cfg: &LogConfig) -> spdlog::Result<()> {
    let builder = StdStreamSink::builder().stderr();
    let sink: Arc<dyn Sink> = match cfg.format {
        LogFormat::Text => Arc::new(builder.formatter(FullFormatter::new()).build()?),
        LogFormat::Json => Arc::new(builder.formatter(JsonFormatter::new()).build()?),
    };
    let filter = spdlog::LevelFilter::MoreSevereEqual(cfg.level);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
