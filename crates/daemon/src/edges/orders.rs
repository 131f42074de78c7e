//! Follows the lease stream, appends to it, and talks to engines of what
//! they hold.

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

/// Records asked for in one read.
const MAX_RECORDS: u32 = 1_000;
/// Time beyond the log's own wait after which a read counts as failed.
const READ_SLACK: Duration = Duration::from_secs(2);
/// Pause after a read that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Reads the lease stream for as long as the process runs.
pub(crate) async fn follow_leases(host: Arc<Host>) {
    let cfg = host.settings.platform.clone();
    loop {
        let leases = |node: &radishhaven_core::node::Node| {
            let leases = node.tables().orders.leases.as_ref();
            leases.map(radishhaven_core::lease::Leases::next_offset)
        };
        let Some(from) = host.read(leases) else {
            return;
        };
        let path = format!(
            "{STREAMS_PATH}{LEASE_STREAM}/records?from={from}&max={MAX_RECORDS}&wait_ms={}",
            cfg.log_wait.as_millis()
        );
        let within = cfg.log_wait + READ_SLACK;
        match host.http.get::<Records>(cfg.log, &path, within).await {
            Ok(Records {
                first,
                end,
                records,
            }) => host.handle(Event::LeaseRecords {
                first,
                end,
                records,
            }),
            Err(_) => tokio::time::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Appends a record to the lease stream.
pub(crate) fn append(host: &Arc<Host>, body: String) {
    let host = host.clone();
    tokio::spawn(async move {
        let path = format!("{STREAMS_PATH}{LEASE_STREAM}/records");
        let log = host.settings.platform.log;
        // A record counts when it is read back, whatever is answered here.
        let _ = host
            .http
            .post::<_, Appended>(log, &path, &Append { body }, READ_SLACK)
            .await;
    });
}

/// Asks an engine what it holds.
pub(crate) fn read_holding(host: &Arc<Host>, vm: VmId, address: SocketAddr) {
    let host = host.clone();
    tokio::spawn(async move {
        let within = host.settings.orders.read_back_interval;
        let held = host
            .http
            .get::<Holding>(address, HOLDING_PATH, within)
            .await;
        let held = held.ok().map(self::held);
        host.handle(Event::HoldingsRead { vm, held });
    });
}

/// Turns what an engine said into what the decisions take.
pub(super) fn held(holding: Holding) -> EngineState {
    EngineState {
        model: holding.model,
        version: holding.version,
        layers: holding.layers,
        adapters: holding.adapters.into_iter().collect(),
        token: holding.token,
        loading: holding.loading,
    }
}

/// Gives an order, if the lease is still held.
pub(crate) fn give(
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
        let within = host.settings.orders.max_delay;
        // What became of it is seen when the engine is read back.
        let _ = host
            .http
            .post::<_, OrderReply>(address, ORDER_PATH, &order, within)
            .await;
    });
}
