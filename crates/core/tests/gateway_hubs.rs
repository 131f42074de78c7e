//! Hub election, load reports between nodes, and store updates from hubs to
//! leaves.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use gateway_fakes::{
    ENGINES, HOST, KEY, TYPICAL, configuration, empty_engines, engine, gateway, gateway_config, id,
    member, ms, name, placed_engines, position,
};
use radishhaven_core::{
    gateway::{
        Gateway, ServerState,
        hubs::{HubRole, MAX_MESH_NODES, hub_role},
        members::Member,
        peers::{ReportRecipient, Source},
        servers::ServerChange,
        state::Admission,
    },
    ids::VmId,
    time::Timestamp,
};

fn nodes(count: usize) -> Vec<Member> {
    (0..count).map(|n| member(n, "centro", 250)).collect()
}

fn hubs_of(members: &[Member]) -> Vec<&VmId> {
    let is_hub = |own: &&Member| matches!(hub_role(members, own), HubRole::Hub { .. });
    members.iter().filter(is_hub).map(|own| &own.vm).collect()
}

#[test]
fn few_nodes_are_all_hubs() {
    let members = nodes(MAX_MESH_NODES);
    for own in &members {
        match hub_role(&members, own) {
            HubRole::Hub { others, has_leaves } => {
                assert_eq!(others.len(), MAX_MESH_NODES - 1);
                assert!(!has_leaves);
            }
            HubRole::Leaf { .. } => panic!("{} is a leaf", own.vm),
        }
    }
}

/// The store lists only nodes that own a partition. Guards against nodes that
/// each read the store because they never find themselves listed.
#[test]
fn unlisted_node_is_a_leaf_of_a_large_deployment() {
    let members = nodes(77);
    let role = hub_role(&members, &member(500, "centro", 500));
    assert!(matches!(role, HubRole::Leaf { hubs } if hubs.len() == 4));
}

#[test]
fn unlisted_node_reads_the_store_itself_in_a_small_deployment() {
    let members = nodes(MAX_MESH_NODES);
    let role = hub_role(&members, &member(500, "centro", 500));
    assert!(matches!(role, HubRole::Hub { has_leaves, .. } if !has_leaves));
}

/// With two hubs of two leaves each, of which a hub and a leaf are unlisted,
/// every node counts both of them once, apart from itself.
#[test]
fn unlisted_nodes_are_counted_once_by_all_others() {
    let names = ["hub-a", "hub-b", "leaf-a1", "leaf-a2", "leaf-b1", "leaf-b2"];
    let mut all: BTreeMap<&str, Gateway> = names
        .map(|name| (name, gateway(ms(0), placed_engines())))
        .into();
    let own = |name: &str| match name {
        "hub-b" => Some(member(1, "centro", 250)),
        "leaf-a1" => Some(member(2, "centro", 250)),
        _ => None,
    };
    for at in [200, 400].map(ms) {
        for (hub, leaf) in [("hub-a", "leaf-a"), ("hub-b", "leaf-b")] {
            for leaf in [1, 2].map(|n| format!("{leaf}{n}")) {
                let name = leaf.as_str();
                let report = all[name].report(at, true, own(name), ReportRecipient::Hub);
                let hub = all.get_mut(hub).expect("the entry exists");
                hub.apply_report(at, id(name), Source::Leaf, report);
            }
        }
        for (from, to) in [("hub-a", "hub-b"), ("hub-b", "hub-a")] {
            let report = all[from].report(at, true, own(from), ReportRecipient::Hub);
            let to = all.get_mut(to).expect("the entry exists");
            to.apply_report(at, id(from), Source::Hub, report);
        }
        for (hub, leaf) in [("hub-a", "leaf-a"), ("hub-b", "leaf-b")] {
            for leaf in [1, 2].map(|n| format!("{leaf}{n}")) {
                let to = id(&leaf);
                let report = all[hub].report(at, true, own(hub), ReportRecipient::Leaf(&to));
                let leaf = all.get_mut(leaf.as_str()).expect("the entry exists");
                leaf.apply_report(at, id(hub), Source::Hub, report);
            }
        }
    }
    for (name, node) in &all {
        let unlisted = node.unlisted_nodes(ms(500));
        let expected = 2 - u32::from(own(name).is_some());
        assert_eq!(unlisted.count, expected, "at {name}");
        assert_eq!(unlisted.members.len() as u32, expected, "at {name}");
    }
}

/// Guards against too many reads of the store in large deployments: there is
/// one hub per 24 nodes, and no hub has far more leaves than the others.
#[test]
fn hubs_and_leaves_are_balanced_in_large_deployments() {
    for (count, expected) in [(13, 3), (77, 4), (360, 15), (1_200, 50)] {
        let members = nodes(count);
        let hubs = hubs_of(&members);
        assert_eq!(hubs.len(), expected, "of {count} nodes");
        let mut leaves: BTreeMap<VmId, usize> = BTreeMap::new();
        for own in &members {
            if let HubRole::Leaf { hubs: order } = hub_role(&members, own) {
                assert_eq!(order.len(), hubs.len());
                *leaves.entry(order[0].clone()).or_default() += 1;
            }
        }
        let max_leaves = leaves.values().max().copied().unwrap_or_default();
        assert!(
            max_leaves <= 2 * 24,
            "one of {count} nodes has {max_leaves} leaves"
        );
    }
}

#[test]
fn losing_a_hub_keeps_the_other_hubs() {
    let members = nodes(77);
    let before = hubs_of(&members);
    let failed_hub = before[0].clone();
    let left: Vec<Member> = members
        .iter()
        .filter(|member| member.vm != failed_hub)
        .cloned()
        .collect();
    let after = hubs_of(&left);
    let kept = before.iter().filter(|vm| after.contains(vm)).count();
    assert_eq!(kept, before.len() - 1);
}

/// A hub works for many leaves, so small VMs are hubs only if there are not
/// enough large ones. Leaves use a hub of their own failure domain.
#[test]
fn hubs_are_large_nodes_and_serve_their_own_failure_domain() {
    let domains = ["centro", "cordon", "pocitos", "malvin", "prado"];
    let nodes = (0..295).map(|n| member(n, domains[n % 5], if n < 15 { 500 } else { 120 }));
    let members: Vec<Member> = nodes.collect();
    let hubs = hubs_of(&members);
    assert_eq!(hubs.len(), 13);
    assert!(
        hubs.iter()
            .all(|hub| members[..15].iter().any(|m| m.vm == **hub))
    );
    let domain_of = |vm: &VmId| {
        let member = members.iter().find(|member| member.vm == *vm);
        member.map(|member| member.failure_domain.clone())
    };
    for own in &members {
        if let HubRole::Leaf { hubs: order } = hub_role(&members, own) {
            assert_eq!(domain_of(&order[0]), domain_of(&own.vm));
        }
    }
    let small = hubs_of(&members[10..]);
    assert_eq!(small.len(), 12);
    assert!(members[10..15].iter().all(|m| small.contains(&&m.vm)));
}

fn start(gateway: &mut Gateway, now: Timestamp) {
    let routed = gateway
        .route(now, HOST, "/trip/1", Some(KEY))
        .expect("the route exists");
    let admission = gateway.admit(now, &routed, &id(ENGINES), Some(TYPICAL));
    assert!(matches!(admission, Admission::Start(_)), "{admission:?}");
}

fn request_counts(gateway: &Gateway) -> (u32, u32) {
    let rows = gateway.servers().iter().map(|(_, row)| row);
    rows.fold((0, 0), |(own, peers), row| {
        (own + row.requests, peers + row.peer_requests)
    })
}

/// Guards against load that is counted twice or not at all: with two hubs of
/// two leaves each, every node has the load of all others after an exchange.
#[test]
fn load_of_each_node_is_counted_once_by_all_others() {
    let names = ["hub-a", "hub-b", "leaf-a1", "leaf-a2", "leaf-b1", "leaf-b2"];
    let mut all: BTreeMap<&str, Gateway> = names
        .map(|name| (name, gateway(ms(0), placed_engines())))
        .into();
    for (requests, name) in names.iter().enumerate() {
        let node = all.get_mut(name).expect("the entry exists");
        (0..=requests).for_each(|_| start(node, ms(1)));
    }
    let pairs = [("hub-a", "leaf-a"), ("hub-b", "leaf-b")];
    for at in [200, 400].map(ms) {
        for (hub, leaf) in pairs {
            for leaf in [1, 2].map(|n| format!("{leaf}{n}")) {
                let report = all[leaf.as_str()].report(at, true, None, ReportRecipient::Hub);
                let hub = all.get_mut(hub).expect("the entry exists");
                hub.apply_report(at, id(&leaf), Source::Leaf, report);
            }
        }
        for (from, to) in [("hub-a", "hub-b"), ("hub-b", "hub-a")] {
            let report = all[from].report(at, true, None, ReportRecipient::Hub);
            let to = all.get_mut(to).expect("the entry exists");
            to.apply_report(at, id(from), Source::Hub, report);
        }
        for (hub, leaf) in pairs {
            for leaf in [1, 2].map(|n| format!("{leaf}{n}")) {
                let report = all[hub].report(at, true, None, ReportRecipient::Leaf(&id(&leaf)));
                let leaf = all.get_mut(leaf.as_str()).expect("the entry exists");
                leaf.apply_report(at, id(hub), Source::Hub, report);
            }
        }
    }
    let total: u32 = all.values().map(|node| request_counts(node).0).sum();
    for (name, node) in &all {
        let (own, peers) = request_counts(node);
        assert_eq!(own + peers, total, "at {name}");
    }
}

/// A leaf's shutdown reaches the leaves of the other hub too.
#[test]
fn stopped_leaf_is_reported_to_all_nodes() {
    let mut nodes = [0, 1, 2].map(|_| gateway(ms(0), placed_engines()));
    let [hub_a, hub_b, leaf_b] = &mut nodes;
    let stopping =
        gateway(ms(0), placed_engines()).report(ms(5), false, None, ReportRecipient::Hub);
    hub_a.apply_report(ms(5), id("leaf-a"), Source::Leaf, stopping);
    let report = hub_a.report(ms(6), true, None, ReportRecipient::Hub);
    hub_b.apply_report(ms(6), id("hub-a"), Source::Hub, report);
    let report = hub_b.report(ms(7), true, None, ReportRecipient::Leaf(&id("leaf-b")));
    leaf_b.apply_report(ms(7), id("hub-b"), Source::Hub, report);
    assert!(leaf_b.has_stopped(ms(8), &id("leaf-a")));
    assert!(!leaf_b.has_stopped(ms(8), &id("hub-a")));
}

/// Guards against a reported age that shrinks on its way between nodes. A dead
/// server would then appear healthy for as long as the nodes report it to each
/// other.
#[test]
fn relayed_progress_age_does_not_shrink() {
    let mut nodes = [0, 1].map(|_| gateway(ms(0), placed_engines()));
    nodes.iter_mut().for_each(|node| start(node, ms(0)));
    for at in (200..2_000).step_by(200) {
        let report = nodes[0].report(ms(at), true, None, ReportRecipient::Hub);
        // Each message is in transit for 50 ms.
        nodes[1].apply_report(ms(at + 50), id("node-0"), Source::Hub, report);
        let report = nodes[1].report(ms(at + 50), true, None, ReportRecipient::Hub);
        nodes[0].apply_report(ms(at + 100), id("node-1"), Source::Hub, report);
    }
    let now = ms(2_000);
    let rows = nodes[0].servers().iter().map(|(_, row)| row);
    let stalls = rows
        .filter(|row| row.requests > 0)
        .map(|row| row.stalled_for(now));
    let shortest = stalls.min().expect("a request is running");
    assert!(shortest >= Duration::from_millis(1_850), "{shortest:?}");
}

/// A hub and a leaf that both read the registry up to offset 10, after which
/// the hub applies two changes.
fn hub_and_leaf() -> (Gateway, Gateway) {
    let mut pair = [0, 1].map(|_| {
        let mut node = gateway(ms(0), empty_engines());
        node.record_registry_read(ms(0), position(10));
        node
    });
    let hub = &mut pair[0];
    hub.set_server(ms(500), &name(3), None);
    let mut leaving = engine(5, "cordon", "l40s", Some((0, 16)));
    leaving.state = ServerState::Draining;
    hub.set_server(ms(500), &name(5), Some(leaving));
    hub.record_registry_read(ms(499), position(14));
    pair.into()
}

#[test]
fn leaf_applies_registry_changes_from_its_hub() {
    let (hub, mut leaf) = hub_and_leaf();
    let view = hub.store_view(ms(600), leaf.registry_end());
    // The clocks differ: the leaf sent its request at 7,590 ms of its own
    // clock.
    let effects = leaf.apply_store_view(ms(7_605), ms(7_590), view);
    let expected = [
        (name(3), ServerChange::Removed),
        (name(5), ServerChange::Changed),
    ];
    assert_eq!(effects.changes, expected);
    assert_eq!(leaf.registry_end(), Some(position(14)));
    // The hub's read was 101 ms old when it responded. The leaf cannot
    // determine when that was, so the round trip of 15 ms counts too.
    let age = leaf.registry_age(ms(7_605));
    assert_eq!(age, Some(Duration::from_millis(101 + 15)));
    assert_eq!(leaf.servers().get(&name(3)), None);
    // The same update again changes nothing, and the leaf can now serve it
    // itself.
    let view = hub.store_view(ms(700), leaf.registry_end());
    let effects = leaf.apply_store_view(ms(7_705), ms(7_690), view);
    assert_eq!(effects.changes, []);
    let passed_on = leaf.store_view(ms(7_800), Some(position(10))).registry;
    assert_eq!(passed_on.map(|update| update.changes.len()), Some(2));
}

#[test]
fn leaf_gets_no_update_that_the_hub_cannot_cover() {
    let (mut hub, mut leaf) = hub_and_leaf();
    assert_eq!(
        hub.store_view(ms(600), Some(position(9))).registry,
        None,
        "before the first recorded read"
    );
    assert_eq!(hub.store_view(ms(600), None).registry, None);
    let late = hub.store_view(ms(600), leaf.registry_end());
    leaf.record_registry_read(ms(601), position(20));
    let effects = leaf.apply_store_view(ms(605), ms(590), late);
    assert_eq!(effects.changes, [], "the leaf has read further");
    assert_eq!(leaf.registry_end(), Some(position(20)));
    for read in 0..200 {
        let mut changed = engine(7, "cordon", "l40s", Some((0, 16)));
        changed.slots = 100 + read as u32;
        hub.set_server(ms(700), &name(7), Some(changed));
        hub.record_registry_read(ms(700 + read), position(21 + read));
    }
    assert_eq!(hub.store_view(ms(900), Some(position(20))).registry, None);
    let near = hub.store_view(ms(900), Some(position(215))).registry;
    assert_eq!(near.map(|update| update.changes.len()), Some(1));
}

/// A hub's confirmation counts from the time of the leaf's request, because the
/// response may have been delayed by any amount.
#[test]
fn relayed_confirmation_is_not_newer_than_at_the_hub() {
    let bound = gateway_config().max_confirmation_age;
    let hub = gateway(ms(0), BTreeMap::new());
    let mut leaf = gateway(ms(0), BTreeMap::new());
    let view = hub.store_view(ms(1_000), None);
    leaf.apply_store_view(ms(9_040), ms(9_000), view);
    assert_eq!(
        leaf.confirmation_age(ms(9_040)),
        Some(Duration::from_millis(1_040))
    );
    let stale = ms(8_000) + bound;
    assert!(leaf.route(stale, HOST, "/log/1", Some(KEY)).is_err());
}

#[test]
fn confirmation_of_another_version_is_ignored() {
    let mut hub = gateway(ms(0), BTreeMap::new());
    let mut leaf = gateway(ms(0), BTreeMap::new());
    hub.set_configuration(configuration(8));
    hub.confirm_configuration(ms(950));
    let effects = leaf.apply_store_view(ms(5_020), ms(5_000), hub.store_view(ms(1_000), None));
    assert!(effects.newer_configuration);
    assert_eq!(
        leaf.confirmation_age(ms(5_020)),
        Some(Duration::from_millis(5_020))
    );
    leaf.set_configuration(configuration(9));
    let effects = leaf.apply_store_view(ms(5_220), ms(5_200), hub.store_view(ms(1_200), None));
    assert!(!effects.newer_configuration, "the hub is behind");
    assert_eq!(
        leaf.confirmation_age(ms(5_220)),
        Some(Duration::from_millis(5_220))
    );
}
