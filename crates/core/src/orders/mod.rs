//! Orders, which set the model layers and adapters that an engine must hold.
//!
//! An *engine* is a backend server that runs a range of layers of a model. Only
//! the holder of the lease of a shard sends orders to its engines, each with the
//! fencing token of the lease. An engine that checks tokens refuses orders with
//! an older one. For an engine that doesn't, a new holder waits until no order
//! of the previous holder can still be in flight.
//!
//! In both cases the holder regularly reads back the state of each engine and
//! corrects it. The number of engines that load weights at the same time is
//! bounded. Engines that restore the most throughput of a pipeline load first.
//! See `docs/design/orders.md`.

mod plan;
#[cfg(test)]
mod tests;

pub use plan::{DesiredState, EngineState, LeaseTerm, OrderAction, OrderRow, ShardOrders};

use std::time::Duration;

/// Settings of orders; the INI section `[orders]`.
#[derive(Debug, Clone)]
pub struct OrderConfig {
    /// Whether the node claims leases and sends orders; the key `give`.
    /// Default: no.
    pub enabled: bool,
    /// Time between reads of the state of an engine; the key `read_back_ms`.
    /// Default: 2 s.
    pub read_back_interval: Duration,
    /// Maximum time for which an order can be in flight. Default: 2 s.
    pub max_delay: Duration,
    /// Maximum number of engines of a shard that load weights at the same time.
    /// Default: 8.
    pub max_loading: u32,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            enabled: false,
            read_back_interval: Duration::from_secs(2),
            max_delay: Duration::from_secs(2),
            max_loading: 8,
        }
    }
}
