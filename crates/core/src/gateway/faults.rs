//! Faults of engines that nodes tell each other.
//!
//! Load pattern: an engine crashes while it takes part in the requests of hundreds of
//! nodes. Each node would send it several requests until its own backoff is long enough,
//! and each of these draws on the retry budget that the callers of the other requests
//! need. A node therefore reports which engines failed, and the others don't use them
//! until progress is seen or the report is old.
//!
//! A node whose own links are cut sees faults of healthy engines. A reported fault is
//! therefore void once any node reports progress that is more recent than the fault.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Gateway, notices::Incarnation, peers::ReportRecipient, servers::ServerRow};
use crate::{ids::VmId, time::Timestamp};

/// Age after which a fault is no longer reported.
const MAX_FAULT_AGE: Duration = Duration::from_millis(1_000);
/// Time for which an engine is not used after a fault that a peer reported. Each node
/// adds a random part of [`MAX_EXTRA_BACKOFF`], so that one of them tests the engine
/// before the others would.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Largest random extension of [`MIN_BACKOFF`].
const MAX_EXTRA_BACKOFF: Duration = Duration::from_millis(1_200);
/// Age of the last progress up to which an engine that refuses requests is full, but not
/// dead. It exceeds the interval of reports.
const MAX_PROGRESS_AGE: Duration = Duration::from_millis(300);
/// Largest number of faults in a report.
pub const MAX_REPORTED_FAULTS: usize = 64;

/// A fault of an engine in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedFault {
    /// The incarnation of the engine that failed.
    pub incarnation: Incarnation,
    /// Milliseconds since the last failure.
    pub age_ms: u64,
}

/// The engines that recently failed at the nodes that a report covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultReport {
    /// The faults, at most [`MAX_REPORTED_FAULTS`].
    pub faults: BTreeMap<VmId, ReportedFault>,
}

/// Recent faults by engine.
type FaultTable = BTreeMap<VmId, (Incarnation, Timestamp)>;

fn expire(faults: &mut FaultTable, now: Timestamp) {
    faults.retain(|_, (_, at)| now.since(*at) < MAX_FAULT_AGE);
}

/// The recent faults that this node found, and those that peers reported.
#[derive(Debug, Default)]
pub(super) struct Faults {
    own: FaultTable,
    peers: BTreeMap<VmId, FaultTable>,
}

impl Faults {
    /// Records a fault that this node found. Returns whether none of this engine was
    /// recorded recently.
    fn record(&mut self, now: Timestamp, id: &VmId, incarnation: Incarnation) -> bool {
        expire(&mut self.own, now);
        self.own.insert(id.clone(), (incarnation, now)).is_none()
    }
}

/// A fault of an engine that a peer has reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PeerFault {
    /// Time of the failure.
    pub at: Timestamp,
    /// Time until which the engine is not used.
    pub backoff_until: Timestamp,
}

impl PeerFault {
    /// Returns whether an engine that last made progress at `last_progress` is not used.
    pub(super) fn holds(&self, now: Timestamp, last_progress: Timestamp) -> bool {
        now < self.backoff_until && last_progress <= self.at
    }
}

impl Gateway {
    /// Records that an engine failed a request of this node, for its peers. It has to be
    /// certain which engine failed, since the peers don't use it for some time.
    pub fn record_fault(&mut self, now: Timestamp, id: &VmId) {
        let Some(row) = self.servers.get(id).filter(|row| is_engine(row)) else {
            return;
        };
        let incarnation = Incarnation::from(&row.entry);
        self.has_new_fault |= self.faults.record(now, id, incarnation);
    }

    /// Returns whether an engine has recently made progress on a request of any node.
    pub(super) fn makes_progress(&self, now: Timestamp, id: &VmId) -> bool {
        let row = self.servers.get(id);
        row.is_some_and(|row| now.since(row.last_progress) < MAX_PROGRESS_AGE)
    }

    /// Returns whether this node found a fault since the last call that peers should
    /// learn at once.
    pub fn take_new_fault(&mut self) -> bool {
        std::mem::take(&mut self.has_new_fault)
    }

    /// Returns the number of engines that are not used because they failed at a peer.
    pub fn faulty_engines(&self, now: Timestamp) -> usize {
        let rows = self.servers.iter().filter(|(_, row)| {
            let fault = row.peer_fault;
            fault.is_some_and(|fault| fault.holds(now, row.last_progress))
        });
        rows.count()
    }

    /// Returns the recent faults for a peer.
    pub fn fault_report(&self, now: Timestamp, recipient: ReportRecipient<'_>) -> FaultReport {
        let mut latest = self.faults.own.clone();
        for (peer, _) in self.aggregated_peers(now, recipient) {
            for (id, fault) in self.faults.peers.get(peer).into_iter().flatten() {
                let known = latest.entry(id.clone()).or_insert_with(|| fault.clone());
                if known.1 < fault.1 {
                    *known = fault.clone();
                }
            }
        }
        expire(&mut latest, now);
        let mut latest: Vec<_> = latest.into_iter().collect();
        latest.sort_by_key(|(_, (_, at))| Reverse(*at));
        latest.truncate(MAX_REPORTED_FAULTS);
        FaultReport {
            faults: latest
                .into_iter()
                .map(|(id, (incarnation, at))| {
                    let age_ms = now.since(at).as_millis() as u64;
                    (
                        id,
                        ReportedFault {
                            incarnation,
                            age_ms,
                        },
                    )
                })
                .collect(),
        }
    }

    /// Applies the faults that a peer has reported. Returns whether this node did not
    /// know one of them, so that a hub passes it on at once.
    pub fn apply_faults(&mut self, now: Timestamp, peer: &VmId, report: FaultReport) -> bool {
        let mut is_new = false;
        let mut table = FaultTable::new();
        for (id, fault) in report.faults.into_iter().take(MAX_REPORTED_FAULTS) {
            let at = now - Duration::from_millis(fault.age_ms);
            if now.since(at) >= MAX_FAULT_AGE {
                continue;
            }
            let extra = self.draw_extra_backoff();
            if let Some(row) = self.servers.get_mut(&id)
                && Incarnation::from(&row.entry) == fault.incarnation
                && row
                    .peer_fault
                    .is_none_or(|known| at >= known.at + MIN_BACKOFF)
            {
                is_new |= row
                    .peer_fault
                    .is_none_or(|known| now >= known.backoff_until);
                row.peer_fault = Some(PeerFault {
                    at,
                    backoff_until: at + MIN_BACKOFF + extra,
                });
            }
            table.insert(id, (fault.incarnation, at));
        }
        let peers = &mut self.faults.peers;
        peers.insert(peer.clone(), table);
        for faults in peers.values_mut() {
            expire(faults, now);
        }
        peers.retain(|_, faults| !faults.is_empty());
        is_new
    }

    fn draw_extra_backoff(&mut self) -> Duration {
        use rand::Rng;
        MAX_EXTRA_BACKOFF.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

fn is_engine(row: &ServerRow) -> bool {
    row.entry.accelerator.is_some()
}
