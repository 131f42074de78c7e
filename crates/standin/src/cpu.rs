//! Measures the processor time of threads of this process by name.
//!
//! Nodes and stand-ins run in one process, and the threads of each node have its
//! name, so that its processor time can be measured separately.

use std::{fs, io, time::Duration};

/// Maximum length of a thread name in bytes; Linux truncates longer names.
pub const MAX_THREAD_NAME_BYTES: usize = 15;

/// Returns the total processor time of running threads whose name starts with
/// `prefix`.
///
/// Threads that have ended are not counted.
///
/// # Errors
///
/// Returns an error if `/proc/self/task` cannot be read.
pub fn thread_time(prefix: &str) -> io::Result<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // The thread may have ended since it was listed.
        let Ok(name) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if !name.starts_with(prefix) {
            continue;
        }
        let Ok(stat) = fs::read_to_string(path.join("schedstat")) else {
            continue;
        };
        let on_cpu = stat
            .split_whitespace()
            .next()
            .and_then(|field| field.parse::<u64>().ok());
        nanos += on_cpu.unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}
