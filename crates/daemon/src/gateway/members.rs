//! Keeps this node a member of the group of nodes, and lists the other members.

use std::{sync::Arc, time::Duration};

use radishhaven_core::gateway::{
    StoreEra,
    hubs::{self, HubRole},
    list_schedule::ListSchedule,
    members::{GroupGeneration, Member, MemberList, MemberPage},
};
use radishhaven_core::time::Timestamp;
use radishhaven_platform::members::{self, Membership};
use spdlog::prelude::*;

use super::{
    host::{GatewayHost, OrderLease, lock},
    store_sync::Dependency,
};

/// TTL of a membership as a fraction of the time after which a node must follow
/// all changes. If the store's minimum is longer, that is used.
const TTL_FRACTION: f64 = 0.66;
/// Interval at which the membership is renewed, as a fraction of the TTL. Three
/// renewals can fail before it expires.
const JOIN_FRACTION: f64 = 0.3;
/// Interval at which the membership is renewed while the group changes, unless a
/// hub sends the lists. A node owns a partition, and is listed, only after the
/// members before it have renewed theirs twice.
const CHANGE_JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a response of any hub after which a leaf lists the members
/// itself.
const HUB_LIST_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of join intervals after a change of the group within which partitions
/// have moved: members release them with their next join but one, and only then
/// a new member is listed.
const REBALANCE_JOINS: f64 = 2.2;
/// Fraction of the TTL for which a holder relies on the lease for orders,
/// counted from when the join was sent.
const LEASE_FRACTION: f64 = 0.9;
/// Delay before the next check while the node isn't ready to join.
const NOT_READY_DELAY: Duration = Duration::from_millis(50);
/// Nodes added to the listed ones when budgets are divided among nodes, for
/// those that are starting.
const STARTING_NODES: u32 = 1;

/// Returns the member entry of this node.
pub(super) fn own_member(host: &GatewayHost) -> Member {
    let node = &host.settings.node;
    Member {
        vm: node.vm.clone(),
        failure_domain: node.failure_domain.clone(),
        caller_address: node.callers,
        peer_address: node.peers,
        processor: node.processor,
    }
}

/// Renews the membership until the shutdown, then leaves the group.
pub(super) async fn run(host: Arc<GatewayHost>) {
    let name = members::encode_name(&own_member(&host));
    let store = &host.settings.store;
    let topics = members::topics(store.partitions, store.writes_per_s);
    let stability_time = host.settings.bounds.stability_time;
    let ttl = stability_time.mul_f64(TTL_FRACTION).max(store.min_ttl);
    let mut dependency = Dependency::new("members");
    let mut generation = 0;
    let mut era = StoreEra::default();
    let join_interval = ttl.mul_f64(JOIN_FRACTION);
    let mut schedule = ListSchedule::new(join_interval.mul_f64(REBALANCE_JOINS));
    while !host.is_draining() {
        if !host.is_ready() {
            tokio::time::sleep(NOT_READY_DELAY).await;
            continue;
        }
        let sent = host.now();
        let mut interval = join_interval;
        if host.store.era() != era {
            generation = 0;
        }
        match members::join(&host.store, &name, &topics, generation, ttl, CALL_TIMEOUT).await {
            Ok(joined) => {
                dependency.record_success(host.now());
                update_lease(&host, &joined, sent, ttl.mul_f64(LEASE_FRACTION));
                let now = host.now();
                let changed = (joined.era, joined.generation) != (era, generation);
                (era, generation) = (joined.era, joined.generation);
                let due = schedule.is_due(now, changed);
                if !is_listed_by_hub(&host, now) {
                    if changed || due {
                        interval = interval.min(CHANGE_JOIN_INTERVAL);
                    }
                    if due {
                        let generation = GroupGeneration { era, generation };
                        list_members(&host, generation, &mut dependency).await;
                        schedule.record_list(now, is_listed(&host));
                    }
                }
            }
            Err(error) => dependency.record_failure(&host, &error),
        }
        tokio::time::sleep(interval).await;
    }
    lock(&host.peers).order_lease = None;
    if let Err(error) = members::leave(&host.store, &name, CALL_TIMEOUT).await {
        warn!("failed to leave the group; the membership will expire", kv: { error = error.to_string() });
    }
}

/// Updates the lease from the response to a join that was sent at `sent`.
fn update_lease(host: &GatewayHost, joined: &Membership, sent: Timestamp, time: Duration) {
    let mut peers = lock(&host.peers);
    let previous = peers.order_lease.map(|lease| lease.token);
    let (until, era) = (sent + time, joined.era);
    let refused = peers.refused_token;
    // The response may be older than the refusal.
    let is_outdated = |token| refused.is_some_and(|(refused, at)| token <= refused && sent <= at);
    let granted = joined.order_token.filter(|token| !is_outdated(*token));
    peers.order_lease = granted.map(|token| OrderLease { token, until, era });
    drop(peers);
    if previous != granted {
        info!("the lease for orders changed", kv: {
            holds = granted.is_some(),
            token = granted.map_or(0, |token| token.0),
            generation = joined.generation,
        });
    }
}

/// Returns whether a hub sends the lists of members to this node.
pub(super) fn is_listed_by_hub(host: &GatewayHost, now: Timestamp) -> bool {
    let contact = lock(&host.peers).last_hub_contact;
    host.is_leaf() && contact.is_some_and(|at| now.since(at) < HUB_LIST_TIMEOUT)
}

/// Returns whether this node is in its list of members.
pub(super) fn is_listed(host: &GatewayHost) -> bool {
    let own = &host.settings.node.vm;
    let peers = lock(&host.peers);
    peers.members.members().iter().any(|m| m.vm == *own)
}

async fn list_members(
    host: &GatewayHost,
    generation: GroupGeneration,
    dependency: &mut Dependency,
) {
    match members::list(&host.store, CALL_TIMEOUT).await {
        // A list of another era belongs to another generation.
        Ok((listed, era)) if era == generation.era => {
            let list = MemberList::new(generation, listed);
            lock(&host.peers).members.set(list);
            apply_members(host, "store");
        }
        Ok(_) => {}
        Err(error) => dependency.record_failure(host, &error),
    }
}

/// Records the response of a hub, and applies its page of the list of members.
pub(super) fn apply_hub_page(host: &GatewayHost, now: Timestamp, page: Option<MemberPage>) {
    let is_complete = {
        let mut peers = lock(&host.peers);
        peers.last_hub_contact = Some(now);
        page.is_some_and(|page| peers.members.apply_page(page))
    };
    if is_complete {
        apply_members(host, "hub");
    }
}

/// Applies a new list of members; `source` is where it comes from.
fn apply_members(host: &GatewayHost, source: &str) {
    let now = host.now();
    let (nodes, role, changed) = {
        let mut peers = lock(&host.peers);
        let members = peers.members.members();
        let nodes = u32::try_from(members.len()).unwrap_or(u32::MAX);
        let role = hubs::hub_role(members, &own_member(host));
        let changed = peers.role != role;
        peers.role = role.clone();
        (nodes, role, changed)
    };
    let has_leaves = host.has_leaves();
    host.with_gateway(|g| {
        g.record_node_count(now, nodes.saturating_add(STARTING_NODES));
        g.keep_configuration_history(has_leaves);
    });
    info!("the members were listed", kv: { nodes, source });
    if changed {
        log_role(&role);
        host.report_soon.notify_one();
    }
}

fn log_role(role: &HubRole) {
    let hubs = match role {
        HubRole::Hub { others, .. } => others,
        HubRole::Leaf { hubs } => hubs,
    };
    let hubs: Vec<&str> = hubs.iter().map(|vm| vm.as_str()).collect();
    info!("the role of this node changed", kv: {
        part = role.as_str(),
        hubs = hubs.join(",").as_str(),
    });
}
