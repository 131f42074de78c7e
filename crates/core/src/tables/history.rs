//! Recently applied configuration records, for peers and for comparing digests.

use std::collections::{BTreeMap, VecDeque};

use crate::{config::Config, ids::Revision, language::DigestMatch, platform::Record};

/// Maximum total size of the kept records, in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of kept digests.
const MAX_DIGESTS: usize = 8_192;

/// Recent configuration records, and the digest after each of them.
#[derive(Debug)]
pub struct History {
    records: VecDeque<Record>,
    bytes: usize,
    digests: BTreeMap<Revision, u64>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(&Config::new())
    }
}

impl History {
    /// Creates a history that begins with a configuration.
    pub fn new(config: &Config) -> Self {
        Self {
            records: VecDeque::new(),
            bytes: 0,
            digests: BTreeMap::from([(config.revision(), config.digest().short())]),
        }
    }

    /// Appends a record and drops the oldest ones beyond `max_records`.
    /// `config` is the configuration after the record.
    pub fn push(&mut self, record: Record, config: &Config, max_records: usize) {
        self.bytes += record.body.len();
        self.records.push_back(record);
        while self.records.len() > max_records || self.bytes > MAX_BYTES {
            let oldest = self.records.pop_front();
            self.bytes -= oldest.map_or(0, |record| record.body.len());
        }
        let digest = config.digest().short();
        self.digests.insert(config.revision(), digest);
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
    }

    /// Returns the record at an offset, if it is kept.
    pub fn get(&self, offset: u64) -> Option<&Record> {
        let first = self.records.front()?.offset;
        let index = offset.checked_sub(first)?;
        self.records.get(usize::try_from(index).ok()?)
    }

    /// Returns the digest at a revision, if it is kept.
    pub fn digest(&self, at: Revision) -> Option<u64> {
        self.digests.get(&at).copied()
    }

    /// Compares another node's digest at a revision with this node's.
    pub fn compare(&self, at: Revision, digest: u64) -> DigestMatch {
        match self.digest(at) {
            None => DigestMatch::Unknown,
            Some(own) if own == digest => DigestMatch::Same,
            Some(_) => DigestMatch::Differs,
        }
    }

    /// Returns the records from a revision on, up to `max_records` and
    /// `max_bytes` but at least one. Returns none if the record at `from` is
    /// not kept.
    pub fn since(&self, from: Revision, max_records: usize, max_bytes: usize) -> Vec<Record> {
        let Some(first) = self.records.front().map(|record| record.offset) else {
            return Vec::new();
        };
        let Some(skip) = from.0.checked_sub(first) else {
            return Vec::new();
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |record: &&Record| {
            bytes += record.body.len();
            bytes <= max_bytes || bytes == record.body.len()
        };
        let records = self.records.iter().skip(skip).take(max_records);
        records.take_while(fits).cloned().collect()
    }
}
