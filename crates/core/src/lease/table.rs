//! Folds the lease stream and says which leases this node holds.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Holder, LEASE_FORMAT, LeaseChange, LeaseConfig, LeaseRecord, MAX_LEASE_DURATION};
use crate::{
    ids::{FencingToken, ShardId},
    platform::Record,
    time::Timestamp,
};

/// The lease of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeaseRow {
    /// The token of the newest claim that holds.
    pub token: FencingToken,
    /// Who made it.
    pub holder: Holder,
    /// When it is over for everybody, on this node's clock.
    pub over_at: Timestamp,
    /// When this node read the claim under this token.
    pub since: Timestamp,
    /// Until when this node holds it; absent when it never did.
    pub held_until: Option<Timestamp>,
}

/// The newest claim or renewal of a shard.
#[derive(Debug, Clone, Copy)]
struct Newest {
    offset: u64,
    /// When a lease that it stands for is over for everybody. A reader that
    /// missed records can't tell which of two tokens holds, so that any
    /// record keeps the shard from being free.
    over_at: Timestamp,
}

/// A record that was handed out to be appended.
#[derive(Debug, Clone, Serialize)]
struct Sent {
    seq: u64,
    at: Timestamp,
}

/// All leases as read from the log, and this node's part in them.
///
/// Records that it hands out are to be appended to the lease stream. What the
/// log answers doesn't matter: a record counts when it is read back.
#[derive(Debug, Serialize)]
pub struct Leases {
    own: Holder,
    #[serde(skip)]
    cfg: LeaseConfig,
    /// The offset of the next record to read.
    next: u64,
    /// The offset from which on every record was read.
    start: u64,
    /// When the stream was read to its end for the first time since `start`.
    caught_up: Option<Timestamp>,
    rows: BTreeMap<ShardId, LeaseRow>,
    /// The newest claim or renewal of each shard, whether it holds or not.
    #[serde(skip)]
    newest: BTreeMap<ShardId, Newest>,
    seq: u64,
    #[serde(skip)]
    sent: Vec<Sent>,
    #[serde(skip)]
    claimed: BTreeMap<ShardId, Timestamp>,
    /// Records that can't be read.
    broken_records: u64,
}

/// Records whose time of sending is remembered; older ones count as lost.
const MAX_SENT: usize = 64;

impl Leases {
    /// Makes the state before the first read.
    pub fn new(own: Holder, cfg: LeaseConfig) -> Self {
        Self {
            own,
            cfg,
            next: 0,
            start: 0,
            caught_up: None,
            rows: BTreeMap::new(),
            newest: BTreeMap::new(),
            seq: 0,
            sent: Vec::new(),
            claimed: BTreeMap::new(),
            broken_records: 0,
        }
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the leases by shard.
    pub fn rows(&self) -> &BTreeMap<ShardId, LeaseRow> {
        &self.rows
    }

    /// Returns the number of records that can't be read.
    pub fn broken_records(&self) -> u64 {
        self.broken_records
    }

    /// Folds what a read of the stream brought; `first` is the lowest offset
    /// that the log keeps, `end` the offset of its next record.
    pub fn read(&mut self, now: Timestamp, first: u64, end: u64, records: &[Record]) {
        if first > self.next {
            self.begin_at(first);
        }
        for record in records {
            if record.offset == self.next {
                self.next += 1;
                match LeaseRecord::parse(&record.body) {
                    Some(parsed) => self.fold(now, record.offset, &parsed),
                    None => self.broken_records += 1,
                }
            }
        }
        if self.next >= end {
            self.caught_up.get_or_insert(now);
        }
    }

    /// Records are missing: what was known can't be trusted any more.
    fn begin_at(&mut self, first: u64) {
        self.next = first;
        self.start = first;
        self.caught_up = None;
        self.rows.clear();
        self.newest.clear();
    }

    fn fold(&mut self, now: Timestamp, offset: u64, record: &LeaseRecord) {
        let own_sent = self.take_sent(record);
        for change in &record.changes {
            match change {
                LeaseChange::Claim { shard } => {
                    self.fold_claim(now, offset, record, shard, own_sent);
                }
                LeaseChange::Renew { shard, token } => {
                    self.fold_renewal(now, offset, record, shard, *token, own_sent);
                }
                LeaseChange::Release { shard, token } => {
                    if let Some(row) = self.rows.get_mut(shard).filter(|r| r.token == *token) {
                        row.over_at = now;
                        row.held_until = None;
                        if let Some(newest) = self.newest.get_mut(shard) {
                            newest.over_at = now;
                        }
                    }
                }
            }
        }
    }

    /// Returns when this node sent the record, if it is its own.
    fn take_sent(&mut self, record: &LeaseRecord) -> Option<Timestamp> {
        if record.holder != self.own {
            return None;
        }
        let at = self.sent.iter().position(|sent| sent.seq == record.seq)?;
        Some(self.sent[at].at)
    }

    fn fold_claim(
        &mut self,
        now: Timestamp,
        offset: u64,
        record: &LeaseRecord,
        shard: &ShardId,
        own_sent: Option<Timestamp>,
    ) {
        let over_at = now + self.cfg.expiry_wait(record.lease());
        let newest = self.note(shard, offset, over_at);
        // The claimant had not read what came between, so it may not know of
        // a lease that is in force. All readers of that part judge alike.
        let between = newest.is_some_and(|newest| newest.offset >= record.read_to);
        if between {
            return;
        }
        // A reader that missed a part can't judge; it believes the claim,
        // unless it is its own.
        let complete = record.read_to >= self.start;
        let lease = record.lease();
        let held = own_sent.filter(|_| complete).map(|sent| sent + lease);
        let row = LeaseRow {
            token: FencingToken(offset + 1),
            holder: record.holder.clone(),
            over_at,
            since: now,
            held_until: held,
        };
        self.rows.insert(shard.clone(), row);
    }

    /// Notes a claim or renewal; returns the one before.
    fn note(&mut self, shard: &ShardId, offset: u64, over_at: Timestamp) -> Option<Newest> {
        let before = self.newest.get(shard).copied();
        let over_at = before.map_or(over_at, |before| before.over_at.max(over_at));
        self.newest
            .insert(shard.clone(), Newest { offset, over_at });
        before
    }

    fn fold_renewal(
        &mut self,
        now: Timestamp,
        offset: u64,
        record: &LeaseRecord,
        shard: &ShardId,
        token: FencingToken,
        own_sent: Option<Timestamp>,
    ) {
        let over_at = now + self.cfg.expiry_wait(record.lease());
        self.note(shard, offset, over_at);
        let restated = |known: &LeaseRow| known.token < token && token.0 <= self.start;
        match self.rows.get_mut(shard) {
            Some(row) if row.token == token => {
                row.over_at = row.over_at.max(over_at);
                if let (Some(until), Some(sent)) = (row.held_until, own_sent) {
                    row.held_until = Some(until.max(sent + record.lease()));
                }
            }
            Some(row) if !restated(row) => {}
            // The claim was expired by the log before this node read it.
            Some(_) | None => {
                let row = LeaseRow {
                    token,
                    holder: record.holder.clone(),
                    over_at,
                    since: now,
                    held_until: None,
                };
                self.rows.insert(shard.clone(), row);
            }
        }
    }

    /// Returns the token under which this node may give an order right now.
    pub fn token(&self, now: Timestamp, shard: &ShardId) -> Option<FencingToken> {
        let row = self.rows.get(shard)?;
        let until = row.held_until?;
        (now < until).then_some(row.token)
    }

    /// Tells whether the shard is free as far as this node can know.
    pub fn is_free(&self, now: Timestamp, shard: &ShardId) -> bool {
        let Some(caught_up) = self.caught_up else {
            return false;
        };
        // Who missed records must give unknown holders the time to renew.
        let settled =
            self.start == 0 || now >= caught_up + self.cfg.expiry_wait(MAX_LEASE_DURATION);
        let newest = self.newest.get(shard);
        settled && newest.is_none_or(|newest| now >= newest.over_at)
    }

    /// Makes a claim of a shard that is free; at most one in the time of a
    /// renewal, because a record that is on its way may still hold.
    pub fn claim(&mut self, now: Timestamp, shard: &ShardId) -> Option<LeaseRecord> {
        let waits = self.claimed.get(shard);
        let waits = waits.is_some_and(|at| now < *at + self.cfg.renew_interval);
        if waits || !self.is_free(now, shard) {
            return None;
        }
        self.claimed.insert(shard.clone(), now);
        let shard = shard.clone();
        Some(self.record(now, vec![LeaseChange::Claim { shard }]))
    }

    /// Makes one renewal of all leases that this node holds.
    pub fn renew(&mut self, now: Timestamp) -> Option<LeaseRecord> {
        let held = self.held(now);
        let changes: Vec<LeaseChange> = held
            .map(|(shard, token)| LeaseChange::Renew { shard, token })
            .collect();
        (!changes.is_empty()).then(|| self.record(now, changes))
    }

    /// Gives up a lease at once, and makes the record that tells the others.
    pub fn release(&mut self, now: Timestamp, shard: &ShardId) -> Option<LeaseRecord> {
        let token = self.token(now, shard)?;
        if let Some(row) = self.rows.get_mut(shard) {
            row.held_until = None;
        }
        let shard = shard.clone();
        Some(self.record(now, vec![LeaseChange::Release { shard, token }]))
    }

    /// Returns the leases that this node holds.
    pub fn held(&self, now: Timestamp) -> impl Iterator<Item = (ShardId, FencingToken)> {
        let held = self.rows.keys();
        held.filter_map(move |shard| Some((shard.clone(), self.token(now, shard)?)))
    }

    fn record(&mut self, now: Timestamp, changes: Vec<LeaseChange>) -> LeaseRecord {
        self.seq += 1;
        self.sent.push(Sent {
            seq: self.seq,
            at: now,
        });
        if self.sent.len() > MAX_SENT {
            self.sent.remove(0);
        }
        LeaseRecord {
            format: LEASE_FORMAT,
            holder: self.own.clone(),
            seq: self.seq,
            read_to: self.next,
            lease_ms: u64::try_from(self.cfg.duration.as_millis()).unwrap_or(u64::MAX),
            changes,
        }
    }
}
