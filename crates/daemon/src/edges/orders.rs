//! Reads and appends to the lease stream, reads what engines hold, and sends them
//! orders.
//!
//! Only the node that holds a shard's lease sends orders to the shard's engines.
//! An order carries the lease's fencing token, so that engines can refuse orders
//! of an earlier holder.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_core::{
    ids::{FencingToken, ShardId, VmId},
    message::Event,
    orders::{DesiredState, EngineState},
};
use radishhaven_proto::{
    engine::{HOLDING_PATH, Holding, ORDER_PATH, Order, OrderReply},
    platform::{Append, Appended, LEASE_STREAM, Records, STREAMS_PATH},
};

use crate::host::Host;

/// Maximum number of records requested in one read.
const MAX_RECORDS: u32 = 1_000;
/// Time that is added to the wait at the log to get the timeout of a read. It is
/// also the timeout of an append.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the lease stream until the process ends. Returns at once if the node
/// does not take part in leases.
pub(crate) async fn replicate_leases(host: Arc<Host>) {
    let cfg = host.settings.platform.clone();
    loop {
        let next_offset = |node: &radishhaven_core::node::Node| {
            let leases = node.tables().orders.leases.as_ref();
            leases.map(radishhaven_core::lease::Leases::next_offset)
        };
        let Some(from) = host.read(next_offset) else {
            return;
        };
        let path = format!(
            "{STREAMS_PATH}{LEASE_STREAM}/records?from={from}&max={MAX_RECORDS}&wait_ms={}",
            cfg.log_wait.as_millis()
        );
        let timeout = cfg.log_wait + TIMEOUT_MARGIN;
        match host.http.get::<Records>(cfg.log, &path, timeout).await {
            Ok(Records {
                first,
                end,
                records,
            }) => host.handle(Event::LeaseRecords {
                first,
                end,
                records,
            }),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Appends a record to the lease stream.
pub(crate) fn append(host: &Arc<Host>, body: String) {
    let host = host.clone();
    tokio::spawn(async move {
        let path = format!("{STREAMS_PATH}{LEASE_STREAM}/records");
        let log = host.settings.platform.log;
        // The response is ignored: a record takes effect when it is read back
        // from the stream.
        let _ = host
            .http
            .post::<_, Appended>(log, &path, &Append { body }, TIMEOUT_MARGIN)
            .await;
    });
}

/// Reads what an engine holds and passes it to the decision core.
pub(crate) fn read_holdings(host: &Arc<Host>, vm: VmId, address: SocketAddr) {
    let host = host.clone();
    tokio::spawn(async move {
        let timeout = host.settings.orders.read_back_interval;
        let held = host
            .http
            .get::<Holding>(address, HOLDING_PATH, timeout)
            .await;
        let held = held.ok().map(self::engine_state);
        host.handle(Event::HoldingsRead { vm, held });
    });
}

/// Converts an engine's response into the type of the decision core.
pub(super) fn engine_state(holding: Holding) -> EngineState {
    EngineState {
        model: holding.model,
        version: holding.version,
        layers: holding.layers,
        adapters: holding.adapters.into_iter().collect(),
        token: holding.token,
        loading: holding.loading,
    }
}

/// Sends an order to an engine, if this node still holds the lease.
pub(crate) fn send_order(
    host: &Arc<Host>,
    address: SocketAddr,
    shard: ShardId,
    token: FencingToken,
    desired: DesiredState,
) {
    let host = host.clone();
    tokio::spawn(async move {
        if !host.holds_lease(&shard, token) {
            return;
        }
        let order = Order {
            token,
            model: desired.model,
            version: desired.version,
            layers: desired.layers,
            adapters: desired.adapters.into_iter().collect(),
        };
        let timeout = host.settings.orders.max_delay;
        // The response is ignored: the next read of the engine shows the result.
        let _ = host
            .http
            .post::<_, OrderReply>(address, ORDER_PATH, &order, timeout)
            .await;
    });
}
