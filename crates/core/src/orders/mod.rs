//! Orders to engines: what each is to hold, given as the desired state.
//!
//! Only the holder of a shard's lease gives orders, each under the lease's
//! fencing token. An engine that checks tokens refuses older ones; with one
//! that ignores them, a new holder waits until orders of the one before can't
//! be on their way any more, and in any case reads back what is held and
//! corrects it. Engines that read weights at the same time are bounded, and
//! those go first that make most layers of a pipeline usable again. The
//! design note is `docs/design/orders.md`.

mod plan;
#[cfg(test)]
mod tests;

pub use plan::{DesiredState, EngineState, LeaseTerm, OrderAction, OrderRow, ShardOrders};

use std::time::Duration;

/// Shapes orders; the INI section `[orders]`.
#[derive(Debug, Clone)]
pub struct OrderConfig {
    /// Whether the node takes leases and orders engines. Default: no.
    pub enabled: bool,
    /// Time between two looks at what an engine holds. Default: 2 s.
    pub read_back_interval: Duration,
    /// Time for which an order can be on its way. Default: 2 s.
    pub max_delay: Duration,
    /// Engines of one shard that load weights at the same time. Default: 8.
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
