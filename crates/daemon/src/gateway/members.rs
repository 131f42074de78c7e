//! Keeps this node a member of the group of nodes, and knows the others.

use std::{sync::Arc, time::Duration};

use radishhaven_core::gateway::hubs::{self, Standing};
use radishhaven_platform::members::{self, Joined, Member};
use spdlog::prelude::*;

use super::{
    host::{GatewayHost, locked},
    store_sync::Dependency,
};

/// Time between two joins; three of them may be lost before the membership
/// runs out.
const JOIN_INTERVAL: Duration = Duration::from_millis(600);
/// Time to live of a membership; the store's least is taken if it is longer.
const TTL: Duration = Duration::from_millis(2_000);
/// Longest time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two lists of the members while nothing changes.
const LIST_INTERVAL: Duration = Duration::from_millis(20_000);
/// Time after a change of the group in which partitions have moved: members
/// give them up with their next join, and a new one shows only then.
const SETTLED: Duration = Duration::from_millis(1_300);
/// Part of the time to live during which a holder trusts that it leads, since
/// the join was sent.
const LEAD_PART: f64 = 0.9;
/// Pause while the node isn't ready to be a member.
const NOT_READY_PAUSE: Duration = Duration::from_millis(50);
/// Nodes added to those known when budgets are shared, for those that start.
const EXTRA_NODES: u32 = 1;

/// Returns what the others are to know of this node.
fn own(host: &GatewayHost) -> Member {
    let node = &host.settings.node;
    Member {
        vm: node.vm.clone(),
        domain: node.failure_domain.clone(),
        callers: node.callers,
        peers: node.peers,
    }
}

/// Stays a member until the shutdown.
pub(super) async fn follow(host: Arc<GatewayHost>) {
    let name = own(&host).name();
    let ttl = TTL.max(host.settings.store.least_ttl);
    let mut dependency = Dependency::new("members");
    let mut generation = 0;
    let mut next_list = host.now();
    while !host.is_draining() {
        if !host.is_ready() {
            tokio::time::sleep(NOT_READY_PAUSE).await;
            continue;
        }
        let sent = host.now();
        match members::join(&host.store, &name, generation, ttl, CALL_TIMEOUT).await {
            Ok(joined) => {
                dependency.answered(host.now());
                take_lead(&host, &joined, sent + ttl.mul_f64(LEAD_PART));
                let now = host.now();
                let changed = joined.generation != generation;
                generation = joined.generation;
                // A leaf lists once a change has settled: there are many, and
                // hubs tell them meanwhile who stops.
                if changed && host.is_leaf() {
                    next_list = next_list.min(now + SETTLED);
                } else if changed || now >= next_list {
                    list(&host, generation, &mut dependency).await;
                    next_list = now + if changed { SETTLED } else { LIST_INTERVAL };
                }
            }
            Err(error) => dependency.failed(&host, &error),
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
    locked(&host.peers).leads = None;
    if let Err(error) = members::leave(&host.store, &name, CALL_TIMEOUT).await {
        warn!("leaving the group failed; the membership runs out", kv: { error = error.to_string() });
    }
}

fn take_lead(host: &GatewayHost, joined: &Joined, until: radishhaven_core::time::Timestamp) {
    let mut peers = locked(&host.peers);
    let led = peers.leads.map(|(token, _)| token);
    peers.leads = joined.leads.map(|token| (token, until));
    drop(peers);
    if led != joined.leads {
        info!("the lease for orders changed", kv: {
            holds = joined.leads.is_some(),
            token = joined.leads.map_or(0, |token| token.0),
            generation = joined.generation,
        });
    }
}

async fn list(host: &GatewayHost, generation: u64, dependency: &mut Dependency) {
    match members::list(&host.store, CALL_TIMEOUT).await {
        Ok(members) => {
            let nodes = u32::try_from(members.len()).unwrap_or(u32::MAX);
            let now = host.now();
            host.decide(|g| g.set_nodes(now, nodes.saturating_add(EXTRA_NODES)));
            info!("the members were listed", kv: { nodes, generation });
            let standing = hubs::standing(members.iter().map(|m| &m.vm), &host.settings.node.vm);
            let mut peers = locked(&host.peers);
            let changed = peers.standing != standing;
            (peers.members, peers.standing) = (members, standing.clone());
            drop(peers);
            if changed {
                note_standing(&standing);
            }
        }
        Err(error) => dependency.failed(host, &error),
    }
}

fn note_standing(standing: &Standing) {
    let (part, hubs) = match standing {
        Standing::Hub { others, .. } => ("hub", others),
        Standing::Leaf { hubs } => ("leaf", hubs),
    };
    let hubs: Vec<&str> = hubs.iter().map(|vm| vm.as_str()).collect();
    info!("this node's part among the nodes changed", kv: { part, hubs = hubs.join(",").as_str() });
}
