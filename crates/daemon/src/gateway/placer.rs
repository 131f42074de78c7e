//! Gives engines their layers, while this node holds the lease for orders.

use std::{sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{
        EngineSpec,
        placement::{self, Assignment, PendingOrders},
    },
    ids::{FencingToken, ServiceId},
};
use radishhaven_platform::engine::{self, Ordered as Said};
use spdlog::prelude::*;

use super::host::{GatewayHost, locked};

/// Time between two looks at what engines hold.
const INTERVAL: Duration = Duration::from_millis(300);

/// Places layers until the process ends.
pub(super) async fn run(host: Arc<GatewayHost>) {
    let mut ordered = PendingOrders::new();
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = host.now();
        let leads = locked(&host.peers).leads;
        let Some((token, _)) = leads.filter(|(_, until)| now < *until) else {
            ordered.clear();
            continue;
        };
        for (service, spec) in engine_services(&host) {
            let next = host.decide(|g| {
                placement::next_orders(&spec, g.servers(), &service, &mut ordered, now)
            });
            for assignment in next {
                order(&host, assignment, token, &mut ordered).await;
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

async fn order(
    host: &GatewayHost,
    assignment: Assignment,
    token: FencingToken,
    ordered: &mut PendingOrders,
) {
    let address = host.decide(|g| g.servers().get(&assignment.server).map(|r| r.entry.address));
    let Some(address) = address else {
        return;
    };
    let now = host.now();
    ordered.insert(assignment.server.clone(), (assignment.layers, now));
    let result = engine::place(address, &assignment, token).await;
    let outcome = match &result {
        Ok(Said::Begun) => "begun",
        Ok(Said::Holds) => "holds already",
        Ok(Said::Conflict) => "conflict",
        Ok(Said::StaleToken) => "stale token",
        Ok(Said::Misdirected) => "misdirected",
        Ok(Said::Other(_)) => "refused",
        Err(_) => "no answer",
    };
    if matches!(result, Ok(Said::StaleToken)) {
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
