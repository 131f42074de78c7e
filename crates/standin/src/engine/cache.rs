//! The prefix cache of an engine and the events that it publishes about it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use radishhaven_proto::engine::{CacheEvent, CacheEvents, StageInput};

/// Positions at the start of a prompt that make up its cached prefix.
pub const PREFIX_POSITIONS: usize = 16;
/// Events that are kept for readers.
const MAX_EVENTS: usize = 4_096;
/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the digest of a prompt's prefix, or nothing for a shorter prompt.
///
/// It is 64-bit FNV-1a over the first [`PREFIX_POSITIONS`] values as 8
/// little-endian bytes each.
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

/// The prefixes that are cached; the one that was used longest ago goes first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    used: u64,
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            last_use: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// Uses a prefix and tells whether it was cached before.
    pub(super) fn touch(&mut self, prefix: u64) -> bool {
        if self.limit == 0 {
            return false;
        }
        self.used += 1;
        let before = self.last_use.insert(prefix, self.used);
        self.by_use.insert(self.used, prefix);
        if let Some(before) = before {
            self.by_use.remove(&before);
            return true;
        }
        self.publish(prefix, true);
        if self.last_use.len() > self.limit {
            self.evict();
        }
        false
    }

    /// Drops all prefixes, as when other weights are loaded.
    pub(super) fn clear(&mut self) {
        while !self.by_use.is_empty() {
            self.evict();
        }
    }

    fn evict(&mut self) {
        if let Some((_, prefix)) = self.by_use.pop_first() {
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
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from `from` that are older than `lag`.
    ///
    /// Every event whose number divides by `gap_every` is left out.
    pub(super) fn events(&self, from: u64, lag: Duration, gap_every: u64) -> CacheEvents {
        let shown: Vec<&CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| event.seq >= from && at.elapsed() >= lag)
            .map(|(_, event)| event)
            .collect();
        let next = shown.last().map_or(from, |event| event.seq + 1);
        let missing = |seq: u64| gap_every > 0 && (seq + 1).is_multiple_of(gap_every);
        let events = shown.into_iter().filter(|e| !missing(e.seq)).cloned();
        CacheEvents {
            events: events.collect(),
            next,
        }
    }
}
