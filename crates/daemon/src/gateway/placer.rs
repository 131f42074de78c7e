//! Gives engines their layers, while this node holds the lease for orders.

use std::{sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{
        EngineSpec,
        placement::{self, Assignment},
    },
    ids::{FencingToken, ServiceId},
    time::Timestamp,
};
use radishhaven_platform::engine::{self, Ordered};
use spdlog::prelude::*;

use super::host::{GatewayHost, locked};

/// Time between two looks at what engines hold.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time without a new engine after which the first plan is made; engines
/// register within a heartbeat of their start.
const SETTLE: Duration = Duration::from_millis(1_300);
/// Time beyond loading after which an order counts as lost: the registry
/// follows within two heartbeats.
const ORDER_SLACK: Duration = Duration::from_millis(3_500);

type Busy = placement::Ordered;

/// Places layers until the process ends.
pub(super) async fn run(host: Arc<GatewayHost>) {
    let mut busy = Busy::new();
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = host.now();
        let leads = locked(&host.peers).leads;
        let Some((token, _)) = leads.filter(|(_, until)| now < *until) else {
            busy.clear();
            continue;
        };
        for (service, spec) in engine_services(&host) {
            let orders = plan(&host, &service, &spec, &mut busy, now);
            for assignment in orders {
                order(&host, assignment, token, &mut busy).await;
            }
        }
    }
}

fn engine_services(host: &GatewayHost) -> Vec<(ServiceId, EngineSpec)> {
    let Some(configuration) = host.decide(|g| g.configuration().cloned()) else {
        return Vec::new();
    };
    let services = configuration.services.iter();
    services
        .filter_map(|(id, service)| Some((id.clone(), service.engine.clone()?)))
        .collect()
}

fn plan(
    host: &GatewayHost,
    service: &ServiceId,
    spec: &EngineSpec,
    busy: &mut Busy,
    now: Timestamp,
) -> Vec<Assignment> {
    let mut orders = host.decide(|g| {
        let servers = g.servers();
        busy.retain(|id, (layers, at)| {
            let Some(row) = servers.get(id) else {
                return false;
            };
            let share = f64::from(layers.count()) / f64::from(spec.layers);
            let limit = spec.load.mul_f64(share) * 2 + ORDER_SLACK;
            let done = row.entry.layers == Some(*layers);
            !done && row.since <= *at && now.since(*at) < limit
        });
        let newest = servers.of(service).map(|(_, row)| row.since).max();
        let fresh = servers
            .of(service)
            .all(|(id, row)| row.entry.layers.is_none() && !busy.contains_key(id));
        let settled = newest.is_some_and(|newest| now.since(newest) >= SETTLE);
        if fresh && !settled {
            return Vec::new();
        }
        let orders = placement::plan(spec, servers, service, busy);
        if orders.is_empty() && busy.is_empty() {
            let next = placement::rebalance(spec, servers, service, busy);
            return next.into_iter().collect();
        }
        if fresh {
            return orders;
        }
        let room = (spec.loads_at_once as usize).saturating_sub(busy.len());
        orders.into_iter().take(room).collect()
    });
    orders.sort_by_key(|a| a.layers);
    orders
}

async fn order(host: &GatewayHost, assignment: Assignment, token: FencingToken, busy: &mut Busy) {
    let address = host.decide(|g| g.servers().get(&assignment.server).map(|r| r.entry.address));
    let Some(address) = address else {
        return;
    };
    let now = host.now();
    busy.insert(assignment.server.clone(), (assignment.layers, now));
    let result = engine::place(address, &assignment, token).await;
    let outcome = match &result {
        Ok(Ordered::Begun) => "begun",
        Ok(Ordered::Holds) => "holds already",
        Ok(Ordered::Conflict) => "conflict",
        Ok(Ordered::StaleToken) => "stale token",
        Ok(Ordered::Misdirected) => "misdirected",
        Ok(Ordered::Other(_)) => "refused",
        Err(_) => "no answer",
    };
    if matches!(result, Ok(Ordered::StaleToken)) {
        // Another node leads; this one learns it with its next join.
        locked(&host.peers).leads = None;
    }
    host.metrics.ordered(outcome);
    info!("an engine was told which layers to hold", kv: {
        server = assignment.server.as_str(),
        layers = assignment.layers.to_string(),
        token = token.0,
        outcome,
        error = result.err().map(|e| e.to_string()).unwrap_or_default(),
    });
}
