//! The log never holds up whoever writes to it.

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

/// Longest time that the test waits; a writer that is held up never ends.
const PATIENCE: Duration = Duration::from_secs(60);

/// Stands for a standard output that nobody reads while the test holds the
/// lock.
struct Unread(Arc<Mutex<()>>);

impl SinkPropAccess for Unread {
    fn level_filter(&self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(Level::Trace)
    }

    fn set_level_filter(&self, _: LevelFilter) {}

    fn set_formatter(&self, _: Box<dyn spdlog::formatter::Formatter>) {}

    fn set_error_handler(&self, _: ErrorHandler) {}
}

impl Sink for Unread {
    fn log(&self, _: &Record) -> spdlog::Result<()> {
        drop(self.0.lock());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

#[test]
fn an_output_that_is_not_read_holds_up_nobody_and_what_is_dropped_is_counted() {
    const LINES: u64 = 20_000;
    let output = Arc::new(Mutex::new(()));
    let unread = output.lock().expect("no panic under the lock");
    let sink = Arc::new(Unread(output.clone()));
    let logger = async_logger(&LogConfig::default(), sink).expect("a thread for the log");
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in 0..LINES {
            info!(logger: logger, "a request was answered", kv: { line });
        }
        tx.send(logger).expect("the test waits");
    });
    let logger = rx.recv_timeout(PATIENCE);
    let counted = dropped_records();
    // The logger ends only when its output is read again.
    drop(unread);
    assert!(logger.is_ok(), "the writer was held up");
    assert!(counted > LINES / 2 && counted < LINES, "{counted} dropped");
}
