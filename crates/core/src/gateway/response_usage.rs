//! Bound of the memory that responses of backend servers take while they are received,
//! and which of them end when it is used up.
//!
//! A response of a stated size is known to end and goes before one that may go on without
//! end; within each kind the largest one ends first. Small responses are never ended. See
//! `docs/design/hostile-servers.md`.

use std::collections::{BTreeMap, BTreeSet};

use super::caller_usage::PROCESS_BYTES;

/// Largest memory of a response in bytes that is not ended for others.
pub const SMALL_RESPONSE_BYTES: u64 = 16 * 1024;

/// Identifies a response that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseId(u64);

/// Whether the end of a response is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResponseSize {
    /// Its head states its size.
    Stated,
    /// Only its last bytes show its end.
    Open,
}

/// Whether a response may take more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseFit {
    /// It may, once these responses are ended.
    After(Vec<ResponseId>),
    /// It must end itself.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    size: ResponseSize,
    bytes: u64,
    is_ending: bool,
}

/// The responses that a process is receiving.
#[derive(Debug, Clone)]
pub struct ResponseUsage {
    /// Bytes that they may take together.
    bound: u64,
    received: BTreeMap<ResponseId, Received>,
    /// Responses that are not small and not ending, in the order in which they are kept.
    ranked: BTreeSet<(ResponseSize, u64, ResponseId)>,
    /// Bytes of all responses but those that are ending.
    bytes: u64,
    next: u64,
}

impl ResponseUsage {
    /// Derives the bound from the memory of the process in bytes. Requests, connections
    /// and receive buffers have the rest; see [`super::caller_usage::CallerBounds`].
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            bound: memory_bytes.saturating_sub(PROCESS_BYTES) / 6,
            received: BTreeMap::new(),
            ranked: BTreeSet::new(),
            bytes: 0,
            next: 0,
        }
    }

    /// Returns the bytes that the responses may take together.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Returns the bytes that the responses take.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a response without memory.
    pub fn open(&mut self, size: ResponseSize) -> ResponseId {
        let id = ResponseId(self.next);
        self.next += 1;
        let received = Received {
            size,
            bytes: 0,
            is_ending: false,
        };
        self.received.insert(id, received);
        id
    }

    /// Removes a response.
    pub fn close(&mut self, id: ResponseId) {
        self.take_out(id);
        self.received.remove(&id);
    }

    /// Decides whether a response may take `bytes` of memory from now on. `excess` is the
    /// number of bytes beyond their own bound that complete responses take, which wait for
    /// callers to read them.
    pub fn resize(&mut self, id: ResponseId, bytes: u64, excess: u64) -> ResponseFit {
        let Some(received) = self.received.get(&id).copied() else {
            return ResponseFit::Refused;
        };
        if received.is_ending {
            return ResponseFit::Refused;
        }
        self.take_out(id);
        let bound = self.bound.saturating_sub(excess);
        let mut over = (self.bytes + bytes).saturating_sub(bound);
        let mut ended = Vec::new();
        if bytes > SMALL_RESPONSE_BYTES && bytes > received.bytes {
            // A response never ends one that goes before it, and never one of its own size.
            let larger = self.ranked.iter().rev();
            let larger = larger.take_while(|(s, b, _)| (*s, *b) > (received.size, bytes));
            for (_, other_bytes, other) in larger {
                if over == 0 {
                    break;
                }
                ended.push(*other);
                over = over.saturating_sub(*other_bytes);
            }
            if over > 0 {
                self.put_in(id, received.bytes);
                return ResponseFit::Refused;
            }
        }
        for other in &ended {
            self.take_out(*other);
            if let Some(other) = self.received.get_mut(other) {
                other.is_ending = true;
            }
        }
        self.put_in(id, bytes);
        ResponseFit::After(ended)
    }

    fn take_out(&mut self, id: ResponseId) {
        let Some(received) = self.received.get_mut(&id).filter(|r| !r.is_ending) else {
            return;
        };
        self.ranked.remove(&(received.size, received.bytes, id));
        self.bytes -= std::mem::take(&mut received.bytes);
    }

    fn put_in(&mut self, id: ResponseId, bytes: u64) {
        let Some(received) = self.received.get_mut(&id) else {
            return;
        };
        received.bytes = bytes;
        self.bytes += bytes;
        if bytes > SMALL_RESPONSE_BYTES {
            self.ranked.insert((received.size, bytes, id));
        }
    }
}
