//! Applies the lease stream and tracks which leases this node holds.

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
    /// The fencing token of the newest accepted claim.
    pub token: FencingToken,
    /// The node that made the claim.
    pub holder: Holder,
    /// When the lease has expired on the clock of every node; on this node's
    /// clock.
    #[serde(rename = "over_at")]
    pub expires_at: Timestamp,
    /// When this node read the first record with this token.
    pub since: Timestamp,
    /// Until when this node holds the lease; `None` if it never held
    /// it or released it.
    pub held_until: Option<Timestamp>,
}

/// The newest claim or renewal of a shard, accepted or not.
#[derive(Debug, Clone, Copy)]
struct NewestRecord {
    offset: u64,
    /// When every lease that this or an earlier record may have granted has
    /// expired. A node that missed records can't decide which of two tokens is
    /// valid, so any claim or renewal prevents the shard from being free.
    expires_at: Timestamp,
}

/// A record that this node returned to be appended.
#[derive(Debug, Clone, Serialize)]
struct SentRecord {
    seq: u64,
    at: Timestamp,
}

/// The leases of all shards, as read from the log, and the state of this node
/// as a holder.
///
/// The caller appends the returned records to the lease stream. The result of
/// the append doesn't matter: a record takes effect once it is read back.
#[derive(Debug, Serialize)]
pub struct Leases {
    own: Holder,
    #[serde(skip)]
    cfg: LeaseConfig,
    /// The offset of the next record to read.
    next: u64,
    /// The offset from which this node has read every record.
    start: u64,
    /// When the stream was first read to its end after reading began at `start`.
    caught_up: Option<Timestamp>,
    rows: BTreeMap<ShardId, LeaseRow>,
    /// The newest claim or renewal of each shard, accepted or not.
    #[serde(skip)]
    newest: BTreeMap<ShardId, NewestRecord>,
    seq: u64,
    #[serde(skip)]
    sent: Vec<SentRecord>,
    #[serde(skip)]
    claimed: BTreeMap<ShardId, Timestamp>,
    /// Number of records that can't be read.
    broken_records: u64,
}

/// Maximum number of records whose send time is kept. The node treats older
/// records as if it had not sent them.
const MAX_SENT_RECORDS: usize = 64;

impl Leases {
    /// Creates the state before the first read of the stream.
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

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the leases of all shards.
    pub fn rows(&self) -> &BTreeMap<ShardId, LeaseRow> {
        &self.rows
    }

    /// Returns the number of records that can't be read.
    pub fn broken_records(&self) -> u64 {
        self.broken_records
    }

    /// Applies the result of a read of the stream. `first` is the lowest offset
    /// that the log retains, `end` the offset of the next record to be appended.
    pub fn apply_read(&mut self, now: Timestamp, first: u64, end: u64, records: &[Record]) {
        if first > self.next {
            self.restart_at(first);
        }
        for record in records {
            if record.offset == self.next {
                self.next += 1;
                match LeaseRecord::parse(&record.body) {
                    Some(parsed) => self.apply(now, record.offset, &parsed),
                    None => self.broken_records += 1,
                }
            }
        }
        if self.next >= end {
            self.caught_up.get_or_insert(now);
        }
    }

    /// Discards all leases and continues at `first`, because the log no longer
    /// retains the records before it.
    fn restart_at(&mut self, first: u64) {
        self.next = first;
        self.start = first;
        self.caught_up = None;
        self.rows.clear();
        self.newest.clear();
    }

    fn apply(&mut self, now: Timestamp, offset: u64, record: &LeaseRecord) {
        let sent_at = self.sent_at(record);
        for change in &record.changes {
            match change {
                LeaseChange::Claim { shard } => {
                    self.apply_claim(now, offset, record, shard, sent_at);
                }
                LeaseChange::Renew { shard, token } => {
                    self.apply_renewal(now, offset, record, shard, *token, sent_at);
                }
                LeaseChange::Release { shard, token } => {
                    if let Some(row) = self.rows.get_mut(shard).filter(|r| r.token == *token) {
                        row.expires_at = now;
                        row.held_until = None;
                        if let Some(newest) = self.newest.get_mut(shard) {
                            newest.expires_at = now;
                        }
                    }
                }
            }
        }
    }

    /// Returns when this node sent a record, or `None` if it didn't send it or no
    /// longer has the time.
    fn sent_at(&mut self, record: &LeaseRecord) -> Option<Timestamp> {
        if record.holder != self.own {
            return None;
        }
        let at = self.sent.iter().position(|sent| sent.seq == record.seq)?;
        Some(self.sent[at].at)
    }

    fn apply_claim(
        &mut self,
        now: Timestamp,
        offset: u64,
        record: &LeaseRecord,
        shard: &ShardId,
        sent_at: Option<Timestamp>,
    ) {
        let expires_at = now + self.cfg.expiry_wait(record.duration());
        let newest = self.track_newest(shard, offset, expires_at);
        // The claimant had not read the newest claim or renewal of the shard, so
        // it may have missed a valid lease. All nodes that read those records
        // reject the claim alike.
        let superseded = newest.is_some_and(|newest| newest.offset >= record.read_to);
        if superseded {
            return;
        }
        // A node that missed some of the records that the claimant had read can't
        // check the claim. It accepts the claim of another node, but never
        // considers itself the holder.
        let complete = record.read_to >= self.start;
        let duration = record.duration();
        let held = sent_at.filter(|_| complete).map(|sent| sent + duration);
        let row = LeaseRow {
            token: FencingToken(offset + 1),
            holder: record.holder.clone(),
            expires_at,
            since: now,
            held_until: held,
        };
        self.rows.insert(shard.clone(), row);
    }

    /// Records the newest claim or renewal of a shard; returns the previous one.
    fn track_newest(
        &mut self,
        shard: &ShardId,
        offset: u64,
        expires_at: Timestamp,
    ) -> Option<NewestRecord> {
        let before = self.newest.get(shard).copied();
        let expires_at = before.map_or(expires_at, |before| before.expires_at.max(expires_at));
        self.newest
            .insert(shard.clone(), NewestRecord { offset, expires_at });
        before
    }

    fn apply_renewal(
        &mut self,
        now: Timestamp,
        offset: u64,
        record: &LeaseRecord,
        shard: &ShardId,
        token: FencingToken,
        sent_at: Option<Timestamp>,
    ) {
        let expires_at = now + self.cfg.expiry_wait(record.duration());
        self.track_newest(shard, offset, expires_at);
        let missed_claim = |row: &LeaseRow| row.token < token && token.0 <= self.start;
        match self.rows.get_mut(shard) {
            Some(row) if row.token == token => {
                row.expires_at = row.expires_at.max(expires_at);
                if let (Some(until), Some(sent)) = (row.held_until, sent_at) {
                    row.held_until = Some(until.max(sent + record.duration()));
                }
            }
            Some(row) if !missed_claim(row) => {}
            // The log dropped the claim before this node read it.
            Some(_) | None => {
                let row = LeaseRow {
                    token,
                    holder: record.holder.clone(),
                    expires_at,
                    since: now,
                    held_until: None,
                };
                self.rows.insert(shard.clone(), row);
            }
        }
    }

    /// Returns the fencing token under which this node may send orders at `now`,
    /// or `None` if it doesn't hold the lease.
    pub fn token(&self, now: Timestamp, shard: &ShardId) -> Option<FencingToken> {
        let row = self.rows.get(shard)?;
        let until = row.held_until?;
        (now < until).then_some(row.token)
    }

    /// Returns whether no node can hold the lease of the shard, going by the
    /// records that this node has read.
    pub fn is_free(&self, now: Timestamp, shard: &ShardId) -> bool {
        let Some(caught_up) = self.caught_up else {
            return false;
        };
        // A node that missed records waits until every holder missing
        // from its table has either renewed its lease or lost it.
        let holders_known =
            self.start == 0 || now >= caught_up + self.cfg.expiry_wait(MAX_LEASE_DURATION);
        let newest = self.newest.get(shard);
        holders_known && newest.is_none_or(|newest| now >= newest.expires_at)
    }

    /// Creates a claim of a shard if the shard is free. Returns at most one claim
    /// per renewal interval, because an earlier claim may still be in flight.
    pub fn claim(&mut self, now: Timestamp, shard: &ShardId) -> Option<LeaseRecord> {
        let claimed_at = self.claimed.get(shard);
        let in_flight = claimed_at.is_some_and(|at| now < *at + self.cfg.renew_interval);
        if in_flight || !self.is_free(now, shard) {
            return None;
        }
        self.claimed.insert(shard.clone(), now);
        let shard = shard.clone();
        Some(self.record(now, vec![LeaseChange::Claim { shard }]))
    }

    /// Creates a renewal of all leases that this node holds, or `None` if it
    /// holds none.
    pub fn renew(&mut self, now: Timestamp) -> Option<LeaseRecord> {
        let held = self.held(now);
        let changes: Vec<LeaseChange> = held
            .map(|(shard, token)| LeaseChange::Renew { shard, token })
            .collect();
        (!changes.is_empty()).then(|| self.record(now, changes))
    }

    /// Gives up a lease immediately, and returns the record that releases it for
    /// the other nodes.
    pub fn release(&mut self, now: Timestamp, shard: &ShardId) -> Option<LeaseRecord> {
        let token = self.token(now, shard)?;
        if let Some(row) = self.rows.get_mut(shard) {
            row.held_until = None;
        }
        let shard = shard.clone();
        Some(self.record(now, vec![LeaseChange::Release { shard, token }]))
    }

    /// Returns the leases that this node holds at `now`, with their tokens.
    pub fn held(&self, now: Timestamp) -> impl Iterator<Item = (ShardId, FencingToken)> {
        let held = self.rows.keys();
        held.filter_map(move |shard| Some((shard.clone(), self.token(now, shard)?)))
    }

    fn record(&mut self, now: Timestamp, changes: Vec<LeaseChange>) -> LeaseRecord {
        self.seq += 1;
        self.sent.push(SentRecord {
            seq: self.seq,
            at: now,
        });
        if self.sent.len() > MAX_SENT_RECORDS {
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
