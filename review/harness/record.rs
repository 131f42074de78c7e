//! The record of what was sent, answered and run.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Recorder(Arc<Inner>);

struct Inner {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Recorder {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record");
        Self(Arc::new(Inner {
            started: Instant::now(),
            file: Mutex::new(file),
            runs: Mutex::default(),
        }))
    }

    /// Writes a line with the time since the start of the script.
    pub fn note(&self, line: &str) {
        let at = self.0.started.elapsed().as_secs_f64();
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    /// Records that a server of a service began to run an attempt.
    pub fn ran(&self, attempt: &str, service: &str) {
        let mut runs = self.0.runs.lock().unwrap();
        runs.entry(attempt.to_owned())
            .or_default()
            .push(service.to_owned());
    }

    /// Returns the services that ran an attempt.
    pub fn runs(&self, attempt: &str) -> Vec<String> {
        self.0
            .runs
            .lock()
            .unwrap()
            .get(attempt)
            .cloned()
            .unwrap_or_default()
    }
}
