//! Leases, and the orders to engines that they cover.
//!
//! A lease makes one node responsible for the engines of a shard. Its fencing
//! token lets engines reject orders from earlier holders.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::{ShardId, VmId},
    lease::Leases,
    orders::ShardOrders,
    time::Timestamp,
};

/// Leases and orders as this node holds them.
#[derive(Debug, Default, Serialize)]
pub struct OrderTable {
    /// The leases according to the log; `None` before the node's start.
    pub leases: Option<Leases>,
    /// The engines of each shard and their orders.
    pub shards: BTreeMap<ShardId, ShardOrders>,
    /// The shard of each engine.
    #[serde(skip)]
    pub shard_of: BTreeMap<VmId, ShardId>,
    /// When this node last renewed its leases.
    #[serde(rename = "renewed")]
    pub last_renewed: Timestamp,
    /// Number of orders sent to engines.
    #[serde(rename = "given")]
    pub orders_sent: u64,
}
