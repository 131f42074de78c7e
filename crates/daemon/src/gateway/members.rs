//! Keeps this node a member of the group of nodes, and lists the other members.

use std::{sync::Arc, time::Duration};

use radishhaven_core::gateway::hubs::{self, HubRole};
use radishhaven_platform::members::{self, Member, Membership};
use spdlog::prelude::*;

use super::{
    host::{GatewayHost, lock},
    store_sync::Dependency,
};

/// Interval at which the membership is renewed. Three renewals can fail before
/// it expires.
const JOIN_INTERVAL: Duration = Duration::from_millis(600);
/// TTL of a membership. If the store's minimum is longer, that is used.
const TTL: Duration = Duration::from_millis(2_000);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which the members are listed while the group doesn't change.
const LIST_INTERVAL: Duration = Duration::from_millis(20_000);
/// Time after a change of the group within which partitions have moved: members
/// release them with their next join, and only then a new member is listed.
const REBALANCE_TIME: Duration = Duration::from_millis(1_300);
/// Fraction of the TTL for which a holder relies on the lease for orders,
/// counted from when the join was sent.
const LEASE_FRACTION: f64 = 0.9;
/// Delay before the next check while the node isn't ready to join.
const NOT_READY_DELAY: Duration = Duration::from_millis(50);
/// Nodes added to the listed ones when budgets are divided among nodes, for
/// those that are starting.
const STARTING_NODES: u32 = 1;

/// Returns the member entry of this node.
fn own_member(host: &GatewayHost) -> Member {
    let node = &host.settings.node;
    Member {
        vm: node.vm.clone(),
        failure_domain: node.failure_domain.clone(),
        caller_address: node.callers,
        peer_address: node.peers,
    }
}

/// Renews the membership until the shutdown, then leaves the group.
pub(super) async fn run(host: Arc<GatewayHost>) {
    let name = own_member(&host).name();
    let ttl = TTL.max(host.settings.store.min_ttl);
    let mut dependency = Dependency::new("members");
    let mut generation = 0;
    let mut next_list = host.now();
    while !host.is_draining() {
        if !host.is_ready() {
            tokio::time::sleep(NOT_READY_DELAY).await;
            continue;
        }
        let sent = host.now();
        match members::join(&host.store, &name, generation, ttl, CALL_TIMEOUT).await {
            Ok(joined) => {
                dependency.record_success(host.now());
                update_lease(&host, &joined, sent + ttl.mul_f64(LEASE_FRACTION));
                let now = host.now();
                let changed = joined.generation != generation;
                generation = joined.generation;
                // A leaf lists the members only after the change has settled:
                // there are many leaves, and until then hubs report the nodes
                // that stop.
                if changed && host.is_leaf() {
                    next_list = next_list.min(now + REBALANCE_TIME);
                } else if changed || now >= next_list {
                    list_members(&host, generation, &mut dependency).await;
                    next_list = now
                        + if changed {
                            REBALANCE_TIME
                        } else {
                            LIST_INTERVAL
                        };
                }
            }
            Err(error) => dependency.record_failure(&host, &error),
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
    lock(&host.peers).order_lease = None;
    if let Err(error) = members::leave(&host.store, &name, CALL_TIMEOUT).await {
        warn!("failed to leave the group; the membership will expire", kv: { error = error.to_string() });
    }
}

fn update_lease(host: &GatewayHost, joined: &Membership, until: radishhaven_core::time::Timestamp) {
    let mut peers = lock(&host.peers);
    let previous = peers.order_lease.map(|(token, _)| token);
    peers.order_lease = joined.order_token.map(|token| (token, until));
    drop(peers);
    if previous != joined.order_token {
        info!("the lease for orders changed", kv: {
            holds = joined.order_token.is_some(),
            token = joined.order_token.map_or(0, |token| token.0),
            generation = joined.generation,
        });
    }
}

async fn list_members(host: &GatewayHost, generation: u64, dependency: &mut Dependency) {
    match members::list(&host.store, CALL_TIMEOUT).await {
        Ok(members) => {
            let nodes = u32::try_from(members.len()).unwrap_or(u32::MAX);
            let now = host.now();
            host.with_gateway(|g| g.record_node_count(now, nodes.saturating_add(STARTING_NODES)));
            info!("the members were listed", kv: { nodes, generation });
            let role = hubs::hub_role(members.iter().map(|m| &m.vm), &host.settings.node.vm);
            let mut peers = lock(&host.peers);
            let changed = peers.role != role;
            (peers.members, peers.role) = (members, role.clone());
            drop(peers);
            if changed {
                log_role(&role);
            }
        }
        Err(error) => dependency.record_failure(host, &error),
    }
}

fn log_role(role: &HubRole) {
    let (part, hubs) = match role {
        HubRole::Hub { others, .. } => ("hub", others),
        HubRole::Leaf { hubs } => ("leaf", hubs),
    };
    let hubs: Vec<&str> = hubs.iter().map(|vm| vm.as_str()).collect();
    info!("the role of this node changed", kv: { part, hubs = hubs.join(",").as_str() });
}
