//! Assigns layers to engines while this node holds the lease for orders.

use std::{sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{
        EngineSpec,
        placement::{Assignment, SentOrders},
    },
    ids::{FencingToken, ServiceId},
};
use radishhaven_platform::engine::{self, OrderReply};
use spdlog::prelude::*;

use super::host::{GatewayHost, OrderLease};

/// Interval at which the layers that engines hold are checked.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// Assigns layers until the process ends.
pub(super) async fn run(host: Arc<GatewayHost>) {
    let mut orders = SentOrders::default();
    let mut interval = tokio::time::interval(PLACEMENT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = host.now();
        if host.order_lease().is_none() {
            orders.clear();
            continue;
        }
        for (service, spec) in engine_services(&host) {
            let assignments = host.with_gateway(|g| orders.next(&spec, g.servers(), &service, now));
            for assignment in assignments {
                // The lease may have ended during the orders before.
                let Some(OrderLease { token, .. }) = host.order_lease() else {
                    break;
                };
                send_order(&host, assignment, token, &mut orders).await;
            }
        }
    }
}

fn engine_services(host: &GatewayHost) -> Vec<(ServiceId, EngineSpec)> {
    let Some(configuration) = host.with_gateway(|g| g.configuration().cloned()) else {
        return Vec::new();
    };
    let services = configuration.services.iter();
    services
        .filter_map(|(id, service)| Some((id.clone(), service.engine.clone()?)))
        .collect()
}

async fn send_order(
    host: &GatewayHost,
    assignment: Assignment,
    token: FencingToken,
    orders: &mut SentOrders,
) {
    let address =
        host.with_gateway(|g| g.servers().get(&assignment.server).map(|r| r.entry.address));
    let Some(address) = address else {
        return;
    };
    let now = host.now();
    orders.record_sent(now, &assignment);
    let result = engine::order_layers(address, &assignment, token).await;
    let reply = result.as_ref().ok().map(|response| response.reply);
    let outcome = match reply {
        Some(OrderReply::Started) => "begun",
        Some(OrderReply::AlreadyHeld) => "holds already",
        Some(OrderReply::Conflict) => "conflict",
        Some(OrderReply::StaleToken) => "stale token",
        Some(OrderReply::Misdirected) => "misdirected",
        Some(OrderReply::Other(_)) => "refused",
        None => "no answer",
    };
    let notices = result.as_ref().ok().map(|response| response.notices);
    if notices.is_some_and(|notices| notices.leaving) {
        host.record_leaving(&assignment.server);
    }
    if let Some(limit) = notices.and_then(|notices| notices.limit) {
        host.record_limit(&assignment.server, now, Some(limit));
    }
    if reply == Some(OrderReply::Conflict) {
        orders.record_conflict(now, &assignment.server);
    }
    if reply == Some(OrderReply::StaleToken) {
        host.record_refused_token(token);
    }
    host.metrics.record_order(outcome);
    info!("an engine was told which layers to hold", kv: {
        server = assignment.server.as_str(),
        layers = assignment.layers.to_string(),
        token = token.0,
        outcome,
        error = result.err().map(|e| e.to_string()).unwrap_or_default(),
    });
}
