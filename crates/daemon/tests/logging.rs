//! Logging never blocks the threads that log.

use std::{
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use radishhavend::{
    configs::LogConfig,
    logging::{async_logger, dropped_records},
};
use spdlog::{
    ErrorHandler, LevelFilter, Record, info,
    prelude::Level,
    sink::{Sink, SinkPropAccess},
};

/// Time after which the writer counts as blocked.
const WRITER_TIMEOUT: Duration = Duration::from_secs(60);

/// A sink that blocks while the test holds the lock, like a standard output that
/// nobody reads.
struct BlockingSink(Arc<Mutex<()>>);

impl SinkPropAccess for BlockingSink {
    fn level_filter(&self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(Level::Trace)
    }

    fn set_level_filter(&self, _: LevelFilter) {}

    fn set_formatter(&self, _: Box<dyn spdlog::formatter::Formatter>) {}

    fn set_error_handler(&self, _: ErrorHandler) {}
}

impl Sink for BlockingSink {
    fn log(&self, _: &Record) -> spdlog::Result<()> {
        drop(self.0.lock());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// If standard output is a pipe that nobody reads, a synchronous logger would
/// block every thread of the node. The logger must drop records instead, and
/// count them.
#[test]
fn blocked_output_drops_records_without_blocking() {
    const LINES: u64 = 20_000;
    let output = Arc::new(Mutex::new(()));
    let blocked = output.lock().expect("no panic under the lock");
    let sink = Arc::new(BlockingSink(output.clone()));
    let logger = async_logger(&LogConfig::default(), sink).expect("a thread for the log");
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in 0..LINES {
            info!(logger: logger, "a request was answered", kv: { line });
        }
        tx.send(logger).expect("the test waits");
    });
    let logger = rx.recv_timeout(WRITER_TIMEOUT);
    let dropped = dropped_records();
    // The logger's thread ends only when the sink is no longer blocked.
    drop(blocked);
    assert!(logger.is_ok(), "the writer was blocked");
    assert!(dropped > LINES / 2 && dropped < LINES, "{dropped} dropped");
}
