//! Leases, and the engines that are ordered under them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::{ShardId, VmId},
    lease::Leases,
    orders::Orders,
    time::Timestamp,
};

/// What this node knows and does of leases and orders.
#[derive(Debug, Default, Serialize)]
pub struct OrderTable {
    /// The leases as read from the log; absent before the node's start.
    pub leases: Option<Leases>,
    /// Engines by shard.
    pub shards: BTreeMap<ShardId, Orders>,
    /// The shard of each engine.
    #[serde(skip)]
    pub shard_of: BTreeMap<VmId, ShardId>,
    /// When this node renewed its leases last.
    #[serde(rename = "renewed")]
    pub last_renewed: Timestamp,
    /// Orders that were given.
    #[serde(rename = "given")]
    pub orders_sent: u64,
}
