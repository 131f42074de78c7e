//! HTTP paths to set faults and read records, shared by the stand-ins.
//!
//! They belong to no published protocol. Only tests and examples use them, to
//! inject faults and to read the records that the checker needs.

use std::collections::VecDeque;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::watch;
use volo_http::{request::Request, response::Response};

use crate::wire;

/// `GET`: returns the list of active faults; `POST`: replaces it.
pub const FAULTS_PATH: &str = "/standin/faults";
/// `GET ?from=N`: returns records from sequence number `N` on, as [`RecordPage`].
pub const RECORDS_PATH: &str = "/standin/records";
/// Maximum number of records in one page.
pub const MAX_PAGE_RECORDS: usize = 1_000;
/// Default limit on the total number of values in the retained records.
pub const DEFAULT_MAX_RECORD_VALUES: usize = 1_000_000;

/// A page of records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordPage<R> {
    /// The lowest retained sequence number.
    pub first: u64,
    /// The sequence number that the next page begins at.
    pub next: u64,
    /// The sequence number of the next record that will be added.
    pub end: u64,
    /// The records.
    pub records: Vec<R>,
}

/// A bounded buffer of records that drops the oldest ones first.
#[derive(Debug)]
pub struct RecordRing<R> {
    records: VecDeque<(usize, R)>,
    first: u64,
    values: usize,
    max_values: usize,
}

impl<R> RecordRing<R> {
    /// Creates a buffer whose records contain at most `max_values` values in total.
    ///
    /// The newest record is always retained, even if it exceeds the limit alone.
    pub fn new(max_values: usize) -> Self {
        Self {
            records: VecDeque::new(),
            first: 0,
            values: 0,
            max_values,
        }
    }

    /// Adds a record with `values` values and returns its sequence number.
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

    /// Returns a retained record by its sequence number.
    pub fn get_mut(&mut self, seq: u64) -> Option<&mut R> {
        let index = usize::try_from(seq.checked_sub(self.first)?).ok()?;
        self.records.get_mut(index).map(|(_, record)| record)
    }

    /// Iterates over the retained records, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &R> {
        self.records.iter().map(|(_, record)| record)
    }

    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

impl<R: Clone> RecordRing<R> {
    /// Returns the page that begins at sequence number `from`.
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

/// The active faults of a stand-in.
#[derive(Debug)]
pub struct Faults<F> {
    active: watch::Sender<Vec<F>>,
}

impl<F> Faults<F> {
    /// Creates an empty list of faults.
    pub fn new() -> Self {
        Self {
            active: watch::Sender::new(Vec::new()),
        }
    }

    /// Replaces the active faults.
    pub fn set(&self, list: Vec<F>) {
        self.active.send_replace(list);
    }

    /// Returns whether any active fault matches.
    pub fn any(&self, matches: impl Fn(&F) -> bool) -> bool {
        self.active.borrow().iter().any(matches)
    }

    /// Returns the first value that `pick` extracts from an active fault.
    pub fn find<T>(&self, pick: impl Fn(&F) -> Option<T>) -> Option<T> {
        self.active.borrow().iter().find_map(pick)
    }

    /// Decrements the first nonzero counter that `counter` selects.
    ///
    /// Returns whether there was one.
    pub fn consume(&self, counter: impl Fn(&mut F) -> Option<&mut u32>) -> bool {
        let mut consumed = false;
        self.active.send_if_modified(|list| {
            let left = list.iter_mut().filter_map(&counter).find(|n| **n > 0);
            if let Some(n) = left {
                *n -= 1;
                consumed = true;
            }
            false
        });
        consumed
    }

    /// Waits until no active fault matches.
    pub async fn wait_while(&self, matches: impl Fn(&F) -> bool) {
        let mut rx = self.active.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = rx.wait_for(|list| !list.iter().any(&matches)).await;
    }
}

impl<F> Default for Faults<F> {
    fn default() -> Self {
        Self::new()
    }
}

impl<F: Clone> Faults<F> {
    /// Returns the active faults.
    pub fn list(&self) -> Vec<F> {
        self.active.borrow().clone()
    }
}

impl<F: Clone + Serialize + DeserializeOwned> Faults<F> {
    /// Returns the response to a request for [`FAULTS_PATH`].
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

/// Returns the response to a request for [`RECORDS_PATH`].
pub(crate) fn respond_records<R: Clone + Serialize>(
    req: &Request,
    ring: &RecordRing<R>,
) -> Response {
    let from = wire::query_u64(req.uri(), "from").unwrap_or(0);
    wire::ok(&ring.page(from))
}
