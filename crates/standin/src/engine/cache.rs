//! The prefix cache of an engine and the events that report its changes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use radishhaven_proto::engine::{CacheEvent, CacheEvents, StageInput};

/// Length of a cached prompt prefix in positions.
pub const PREFIX_POSITIONS: usize = 16;
/// Maximum number of events retained for readers.
const MAX_RETAINED_EVENTS: usize = 4_096;
/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the digest of a prompt's prefix, or `None` if the prompt is shorter.
///
/// The digest is 64-bit FNV-1a over the first [`PREFIX_POSITIONS`] values, each
/// as 8 little-endian bytes.
pub fn prefix_digest(input: &StageInput) -> Option<u64> {
    if input.len() < PREFIX_POSITIONS {
        return None;
    }
    Some(match input {
        StageInput::Tokens(v) => fnv1a(v.iter().map(|t| u64::from(*t))),
        StageInput::Activations(v) => fnv1a(v.iter().copied()),
    })
}

fn fnv1a(values: impl Iterator<Item = u64>) -> u64 {
    let bytes = values.take(PREFIX_POSITIONS).flat_map(u64::to_le_bytes);
    bytes.fold(FNV_OFFSET, |hash, b| {
        (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME)
    })
}

/// A cache of prefix digests that evicts the least recently used one.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_prefixes: usize,
    uses: u64,
    last_use: BTreeMap<u64, u64>,
    prefix_by_use: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            uses: 0,
            last_use: BTreeMap::new(),
            prefix_by_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// Marks a prefix as used and returns whether it was cached.
    pub(super) fn use_prefix(&mut self, prefix: u64) -> bool {
        if self.max_prefixes == 0 {
            return false;
        }
        self.uses += 1;
        let previous_use = self.last_use.insert(prefix, self.uses);
        self.prefix_by_use.insert(self.uses, prefix);
        if let Some(previous_use) = previous_use {
            self.prefix_by_use.remove(&previous_use);
            return true;
        }
        self.publish(prefix, true);
        if self.last_use.len() > self.max_prefixes {
            self.evict();
        }
        false
    }

    /// Evicts all prefixes, for example when other weights are loaded.
    pub(super) fn clear(&mut self) {
        while !self.prefix_by_use.is_empty() {
            self.evict();
        }
    }

    fn evict(&mut self) {
        if let Some((_, prefix)) = self.prefix_by_use.pop_first() {
            self.last_use.remove(&prefix);
            self.publish(prefix, false);
        }
    }

    fn publish(&mut self, prefix: u64, cached: bool) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let event = CacheEvent {
            seq,
            prefix,
            cached,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from sequence number `from` on that are older than `lag`.
    ///
    /// If `gap_every` is nonzero, every `gap_every`th event is left out to simulate
    /// lost events.
    pub(super) fn events(&self, from: u64, lag: Duration, gap_every: u64) -> CacheEvents {
        let published: Vec<&CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| event.seq >= from && at.elapsed() >= lag)
            .map(|(_, event)| event)
            .collect();
        let next = published.last().map_or(from, |event| event.seq + 1);
        let missing = |seq: u64| gap_every > 0 && (seq + 1).is_multiple_of(gap_every);
        let events = published.into_iter().filter(|e| !missing(e.seq)).cloned();
        CacheEvents {
            events: events.collect(),
            next,
        }
    }
}
