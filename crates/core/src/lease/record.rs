//! Records of the lease stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{FencingToken, Incarnation, ShardId, VmId};

/// The format that this version writes and reads.
pub const LEASE_FORMAT: u16 = 1;
/// Longest lease that a record may ask for; a reader that joins late waits
/// for as long before it claims.
pub const MAX_LEASE_DURATION: Duration = Duration::from_secs(30);

/// One life of a node that holds leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The node's VM.
    pub vm: VmId,
    /// The node's life.
    pub incarnation: Incarnation,
}

/// What a record does to one shard's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseChange {
    /// Takes the lease, unless another record of the shard came between.
    Claim {
        /// The shard.
        shard: ShardId,
    },
    /// Prolongs the lease, and says again who holds it, so that the claim
    /// itself may be expired by the log.
    Renew {
        /// The shard.
        shard: ShardId,
        /// The token of the claim.
        token: FencingToken,
    },
    /// Gives the lease back.
    Release {
        /// The shard.
        shard: ShardId,
        /// The token of the claim.
        token: FencingToken,
    },
}

/// A record: changes of one holder that are appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The record's format, [`LEASE_FORMAT`].
    pub format: u16,
    /// Who appends it.
    pub holder: Holder,
    /// Numbers the holder's records, so that it knows when it sent each.
    pub seq: u64,
    /// The offset up to which the holder had read the stream.
    pub read_to: u64,
    /// Time for which the leases hold, in milliseconds.
    pub lease_ms: u64,
    /// The changes.
    pub changes: Vec<LeaseChange>,
}

impl LeaseRecord {
    /// Reads a record; one that can't be read changes nothing, on each node
    /// the same.
    pub fn parse(body: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(body).ok()?;
        let known = record.format == LEASE_FORMAT && record.lease() <= MAX_LEASE_DURATION;
        known.then_some(record)
    }

    /// Returns the time for which the leases hold.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
