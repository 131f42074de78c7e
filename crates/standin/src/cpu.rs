//! Processor time of the threads of this process, by their names.
//!
//! Nodes and stand-ins run in one process, each on threads that carry its
//! name, so the cost of each can be told apart.

use std::{fs, io, time::Duration};

/// Longest name that the system keeps for a thread, in bytes.
pub const MAX_THREAD_NAME_BYTES: usize = 15;

/// Returns the processor time that threads whose names begin with `prefix`
/// have used so far; threads that have ended are not counted.
///
/// # Errors
///
/// Fails where the system does not show threads under `/proc`.
pub fn thread_time(prefix: &str) -> io::Result<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end between the listing and the reading.
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
