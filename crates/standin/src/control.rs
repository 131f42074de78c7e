//! The control paths that all stand-ins share: faults and records.
//!
//! They are no part of any published protocol; only tests and examples use
//! them, so that a checker can read what a stand-in itself recorded.

use std::collections::VecDeque;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::watch;
use volo_http::{request::Request, response::Response};

use crate::wire;

/// `GET`: the faults in force as a list; `POST`: a list that replaces them.
pub const FAULTS_PATH: &str = "/standin/faults";
/// `GET ?from=N`: records from a sequence number, as [`RecordPage`].
pub const RECORDS_PATH: &str = "/standin/records";
/// Records in one page.
pub const MAX_PAGE_RECORDS: usize = 1_000;
/// Default bound on the values that the kept records hold together.
pub const DEFAULT_MAX_RECORD_VALUES: usize = 1_000_000;

/// One page of records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordPage<R> {
    /// The lowest sequence number that is still kept.
    pub first: u64,
    /// The sequence number to ask from next.
    pub next: u64,
    /// The sequence number that the next record will get.
    pub end: u64,
    /// The records.
    pub records: Vec<R>,
}

/// A bounded ring of records; the oldest ones go first.
#[derive(Debug)]
pub struct RecordRing<R> {
    records: VecDeque<(usize, R)>,
    first: u64,
    values: usize,
    max_values: usize,
}

impl<R> RecordRing<R> {
    /// Makes a ring whose records hold at most `max_values` values together.
    pub fn new(max_values: usize) -> Self {
        Self {
            records: VecDeque::new(),
            first: 0,
            values: 0,
            max_values,
        }
    }

    /// Adds a record that holds `values` values and returns its sequence number.
    pub fn push(&mut self, values: usize, record: R) -> u64 {
        self.records.push_back((values, record));
        self.values += values;
        while self.values > self.max_values && self.records.len() > 1 {
            if let Some((dropped, _)) = self.records.pop_front() {
                self.values -= dropped;
                self.first += 1;
            }
        }
        self.end() - 1
    }

    /// Returns a kept record for change.
    pub fn get_mut(&mut self, seq: u64) -> Option<&mut R> {
        let index = usize::try_from(seq.checked_sub(self.first)?).ok()?;
        self.records.get_mut(index).map(|(_, record)| record)
    }

    /// Iterates over the kept records, the oldest one first.
    pub fn iter(&self) -> impl Iterator<Item = &R> {
        self.records.iter().map(|(_, record)| record)
    }

    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

impl<R: Clone> RecordRing<R> {
    /// Returns the page that begins at `from`.
    pub fn page(&self, from: u64) -> RecordPage<R> {
        let from = from.clamp(self.first, self.end());
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records: Vec<R> = self
            .iter()
            .skip(skip)
            .take(MAX_PAGE_RECORDS)
            .cloned()
            .collect();
        RecordPage {
            first: self.first,
            next: from + records.len() as u64,
            end: self.end(),
            records,
        }
    }
}

/// The faults in force in one stand-in.
#[derive(Debug)]
pub struct Faults<F> {
    list: watch::Sender<Vec<F>>,
}

impl<F> Faults<F> {
    /// Starts without faults.
    pub fn new() -> Self {
        Self {
            list: watch::Sender::new(Vec::new()),
        }
    }

    /// Replaces the faults in force.
    pub fn set(&self, list: Vec<F>) {
        self.list.send_replace(list);
    }

    /// Tells whether a fault matches.
    pub fn any(&self, matches: impl Fn(&F) -> bool) -> bool {
        self.list.borrow().iter().any(matches)
    }

    /// Returns the first value that `pick` finds in a fault.
    pub fn find<T>(&self, pick: impl Fn(&F) -> Option<T>) -> Option<T> {
        self.list.borrow().iter().find_map(pick)
    }

    /// Uses up one of the times left in the first counter that `counter` finds.
    pub fn take(&self, counter: impl Fn(&mut F) -> Option<&mut u32>) -> bool {
        let mut taken = false;
        self.list.send_if_modified(|list| {
            let left = list.iter_mut().filter_map(&counter).find(|n| **n > 0);
            if let Some(n) = left {
                *n -= 1;
                taken = true;
            }
            false
        });
        taken
    }

    /// Waits for as long as a fault matches.
    pub async fn wait_while(&self, matches: impl Fn(&F) -> bool) {
        let mut rx = self.list.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = rx.wait_for(|list| !list.iter().any(&matches)).await;
    }
}

impl<F> Default for Faults<F> {
    fn default() -> Self {
        Self::new()
    }
}

impl<F: Clone> Faults<F> {
    /// Returns the faults in force.
    pub fn list(&self) -> Vec<F> {
        self.list.borrow().clone()
    }
}

impl<F: Clone + Serialize + DeserializeOwned> Faults<F> {
    /// Answers a request to [`FAULTS_PATH`].
    pub(crate) async fn respond(&self, req: Request) -> Response {
        if req.method() == Method::GET {
            return wire::ok(&self.list());
        }
        match wire::read(req.into_body()).await {
            Ok(list) => {
                self.set(list);
                wire::empty(StatusCode::OK)
            }
            Err(e) => e.into(),
        }
    }
}

/// Answers a request to [`RECORDS_PATH`].
pub(crate) fn respond_records<R: Clone + Serialize>(
    req: &Request,
    ring: &RecordRing<R>,
) -> Response {
    let from = wire::query_u64(req.uri(), "from").unwrap_or(0);
    wire::ok(&ring.page(from))
}
