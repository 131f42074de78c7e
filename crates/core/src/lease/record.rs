//! The records in the lease stream of the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{FencingToken, Incarnation, ShardId, VmId};

/// Version of the lease record format that this build reads and writes.
pub const LEASE_FORMAT: u16 = 1;
/// Maximum duration of a lease. A node that can't read the stream from its
/// beginning waits this long, plus clock drift, before it claims a shard.
pub const MAX_LEASE_DURATION: Duration = Duration::from_secs(30);

/// A node that holds leases. A restarted node is a different holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM of the node.
    pub vm: VmId,
    /// The incarnation of the node, which changes with each restart.
    pub incarnation: Incarnation,
}

/// A change of the lease of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseChange {
    /// Acquires the lease, unless the log holds another claim or renewal of the
    /// shard that the claimant had not read.
    Claim {
        /// The shard.
        shard: ShardId,
    },
    /// Extends the lease. A renewal also repeats the holder and the token, because
    /// the log may already have dropped the claim.
    Renew {
        /// The shard.
        shard: ShardId,
        /// The token of the claim.
        token: FencingToken,
    },
    /// Releases the lease before it expires.
    Release {
        /// The shard.
        shard: ShardId,
        /// The token of the claim.
        token: FencingToken,
    },
}

/// A record with changes of one holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The version of the record format, [`LEASE_FORMAT`].
    pub format: u16,
    /// The node that appends the record.
    pub holder: Holder,
    /// The sequence number, by which the holder looks up when it sent the record.
    pub seq: u64,
    /// The offset up to which the holder had read the stream, exclusive.
    pub read_to: u64,
    /// The duration of the leases in milliseconds.
    pub lease_ms: u64,
    /// The changes of leases.
    pub changes: Vec<LeaseChange>,
}

impl LeaseRecord {
    /// Parses the body of a record. Returns `None` if it is malformed, has an
    /// unknown format or asks for more than [`MAX_LEASE_DURATION`]; every node
    /// then ignores the record.
    pub fn parse(body: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(body).ok()?;
        let valid = record.format == LEASE_FORMAT && record.duration() <= MAX_LEASE_DURATION;
        valid.then_some(record)
    }

    /// Returns the duration of the leases.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
