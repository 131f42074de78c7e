//! How many nodes share the reading of the store and the exchange of load.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use gateway_fakes::{
    ENGINES, HOST, KEY, USUAL, configuration, empty_engines, engine, gateway, gateway_config, id,
    ms, name, placed_engines,
};
use radishhaven_core::{
    gateway::{
        Gateway, ServerState,
        hubs::{HubRole, MESH, hub_role},
        peers::{ReportRecipient, Source},
        servers::ServerChange,
        state::Admission,
    },
    ids::VmId,
    time::Timestamp,
};

fn nodes(count: usize) -> Vec<VmId> {
    (0..count).map(|n| id(&format!("front-{n}"))).collect()
}

fn hubs_of(members: &[VmId]) -> Vec<&VmId> {
    let is_hub = |vm: &&VmId| matches!(hub_role(members.iter(), vm), HubRole::Hub { .. });
    members.iter().filter(is_hub).collect()
}

#[test]
fn few_nodes_all_read_the_store_and_report_to_each_other() {
    let members = nodes(MESH);
    for vm in &members {
        match hub_role(members.iter(), vm) {
            HubRole::Hub { others, has_leaves } => {
                assert_eq!(others.len(), MESH - 1);
                assert!(!has_leaves);
            }
            HubRole::Leaf { .. } => panic!("{vm} is a leaf"),
        }
    }
}

/// A node that starts reads the store itself until the others know it.
#[test]
fn a_node_that_is_no_member_yet_relies_on_no_hub() {
    let members = nodes(77);
    let role = hub_role(members.iter(), &id("front-new"));
    assert!(matches!(role, HubRole::Hub { has_leaves, .. } if !has_leaves));
}

/// Readers of the store grow with the nodes divided by sixteen, and each has a
/// share of the leaves.
#[test]
fn of_many_nodes_few_read_the_store_for_all() {
    for (count, expected) in [(13, 3), (77, 5), (360, 23)] {
        let members = nodes(count);
        let hubs = hubs_of(&members);
        assert_eq!(hubs.len(), expected, "of {count} nodes");
        let mut leaves: BTreeMap<VmId, usize> = BTreeMap::new();
        for vm in &members {
            if let HubRole::Leaf { hubs: order } = hub_role(members.iter(), vm) {
                assert_eq!(order.len(), hubs.len());
                *leaves.entry(order[0].clone()).or_default() += 1;
            }
        }
        let most = leaves.values().max().copied().unwrap_or_default();
        assert!(most <= 32, "one of {count} nodes has {most} leaves");
    }
}

#[test]
fn the_loss_of_a_hub_leaves_the_others_in_place() {
    let members = nodes(77);
    let before = hubs_of(&members);
    let lost = before[0].clone();
    let left: Vec<VmId> = members.iter().filter(|vm| **vm != lost).cloned().collect();
    let after = hubs_of(&left);
    let kept = before.iter().filter(|vm| after.contains(vm)).count();
    assert_eq!(kept, before.len() - 1);
}

fn start(gateway: &mut Gateway, now: Timestamp) {
    let routed = gateway
        .route(now, HOST, "/trip/1", Some(KEY))
        .expect("the route is there");
    let begin = gateway.admit(now, &routed, &id(ENGINES), Some(USUAL));
    assert!(matches!(begin, Admission::Start(_)), "{begin:?}");
}

fn held(gateway: &Gateway) -> (u32, u32) {
    let rows = gateway.servers().iter().map(|(_, row)| row);
    rows.fold((0, 0), |(own, peers), row| {
        (own + row.requests, peers + row.peer_requests)
    })
}

/// Two hubs with two leaves each: after an exchange every node knows the load
/// of all others, and none is counted twice.
#[test]
fn every_node_counts_the_load_of_each_other_node_once() {
    let names = ["hub-a", "hub-b", "leaf-a1", "leaf-a2", "leaf-b1", "leaf-b2"];
    let mut all: BTreeMap<&str, Gateway> = names
        .map(|name| (name, gateway(ms(0), placed_engines())))
        .into();
    for (requests, name) in names.iter().enumerate() {
        let node = all.get_mut(name).expect("it is there");
        (0..=requests).for_each(|_| start(node, ms(1)));
    }
    let pairs = [("hub-a", "leaf-a"), ("hub-b", "leaf-b")];
    for at in [200, 400].map(ms) {
        for (hub, leaf) in pairs {
            for leaf in [1, 2].map(|n| format!("{leaf}{n}")) {
                let told = all[leaf.as_str()].report(at, true, ReportRecipient::Hub);
                let hub = all.get_mut(hub).expect("it is there");
                hub.apply_report(at, id(&leaf), Source::Leaf, told);
            }
        }
        for (from, to) in [("hub-a", "hub-b"), ("hub-b", "hub-a")] {
            let told = all[from].report(at, true, ReportRecipient::Hub);
            let to = all.get_mut(to).expect("it is there");
            to.apply_report(at, id(from), Source::Hub, told);
        }
        for (hub, leaf) in pairs {
            for leaf in [1, 2].map(|n| format!("{leaf}{n}")) {
                let told = all[hub].report(at, true, ReportRecipient::Leaf(&id(&leaf)));
                let leaf = all.get_mut(leaf.as_str()).expect("it is there");
                leaf.apply_report(at, id(hub), Source::Hub, told);
            }
        }
    }
    let total: u32 = all.values().map(|node| held(node).0).sum();
    for (name, node) in &all {
        let (own, peers) = held(node);
        assert_eq!(own + peers, total, "at {name}");
    }
}

/// A leaf that shuts down is known to have stopped at the other hub's leaves.
#[test]
fn a_leaf_that_stops_is_known_everywhere() {
    let mut nodes = [0, 1, 2].map(|_| gateway(ms(0), placed_engines()));
    let [hub_a, hub_b, leaf_b] = &mut nodes;
    let stopping = gateway(ms(0), placed_engines()).report(ms(5), false, ReportRecipient::Hub);
    hub_a.apply_report(ms(5), id("leaf-a"), Source::Leaf, stopping);
    let told = hub_a.report(ms(6), true, ReportRecipient::Hub);
    hub_b.apply_report(ms(6), id("hub-a"), Source::Hub, told);
    let told = hub_b.report(ms(7), true, ReportRecipient::Leaf(&id("leaf-b")));
    leaf_b.apply_report(ms(7), id("hub-b"), Source::Hub, told);
    assert!(leaf_b.has_stopped(ms(8), &id("leaf-a")));
    assert!(!leaf_b.has_stopped(ms(8), &id("hub-a")));
}

/// An age that travels round must not shrink on its way: a server that is dead
/// would look alive for as long as nodes tell each other so.
#[test]
fn progress_does_not_grow_younger_on_its_way_round() {
    let mut nodes = [0, 1].map(|_| gateway(ms(0), placed_engines()));
    nodes.iter_mut().for_each(|node| start(node, ms(0)));
    for at in (200..2_000).step_by(200) {
        let told = nodes[0].report(ms(at), true, ReportRecipient::Hub);
        // A message is under way for 50 ms.
        nodes[1].apply_report(ms(at + 50), id("node-0"), Source::Hub, told);
        let told = nodes[1].report(ms(at + 50), true, ReportRecipient::Hub);
        nodes[0].apply_report(ms(at + 100), id("node-1"), Source::Hub, told);
    }
    let now = ms(2_000);
    let rows = nodes[0].servers().iter().map(|(_, row)| row);
    let quietest = rows
        .filter(|row| row.requests > 0)
        .map(|row| row.quiet(now));
    let least = quietest.min().expect("a request runs");
    assert!(least >= Duration::from_millis(1_850), "{least:?}");
}

/// A hub that read the registry at offset 10 as a leaf did, and then changes.
fn hub_and_leaf() -> (Gateway, Gateway) {
    let mut pair = [0, 1].map(|_| {
        let mut node = gateway(ms(0), empty_engines());
        node.record_registry_read(ms(0), 10);
        node
    });
    let hub = &mut pair[0];
    hub.set_server(ms(500), &name(3), None);
    let mut leaving = engine(5, "cordon", "l40s", Some((0, 16)));
    leaving.state = ServerState::Draining;
    hub.set_server(ms(500), &name(5), Some(leaving));
    hub.record_registry_read(ms(499), 14);
    pair.into()
}

#[test]
fn a_leaf_learns_from_its_hub_what_changed_in_the_registry() {
    let (hub, mut leaf) = hub_and_leaf();
    let view = hub.store_view(ms(600), leaf.registry_end());
    // The clocks differ: the leaf asked at 7,590 ms of its own.
    let learned = leaf.apply_store_view(ms(7_605), ms(7_590), view);
    let expected = [
        (name(3), ServerChange::Removed),
        (name(5), ServerChange::Changed),
    ];
    assert_eq!(learned.changes, expected);
    assert_eq!(leaf.registry_end(), Some(14));
    // The hub's read was 101 ms old, and the leaf can't tell when it answered.
    let age = leaf.registry_age(ms(7_605));
    assert_eq!(age, Some(Duration::from_millis(101 + 15)));
    assert_eq!(leaf.servers().get(&name(3)), None);
    // A second answer changes nothing, and the leaf can pass on what it knows.
    let view = hub.store_view(ms(700), leaf.registry_end());
    let learned = leaf.apply_store_view(ms(7_705), ms(7_690), view);
    assert_eq!(learned.changes, []);
    let passed_on = leaf.store_view(ms(7_800), Some(10)).registry;
    assert_eq!(passed_on.map(|update| update.changes.len()), Some(2));
}

#[test]
fn a_leaf_that_missed_too_much_or_knows_more_reads_for_itself() {
    let (mut hub, mut leaf) = hub_and_leaf();
    assert_eq!(
        hub.store_view(ms(600), Some(9)).registry,
        None,
        "before all"
    );
    assert_eq!(hub.store_view(ms(600), None).registry, None);
    let late = hub.store_view(ms(600), leaf.registry_end());
    leaf.record_registry_read(ms(601), 20);
    let learned = leaf.apply_store_view(ms(605), ms(590), late);
    assert_eq!(learned.changes, [], "the leaf had read further");
    assert_eq!(leaf.registry_end(), Some(20));
    for read in 0..200 {
        let mut changed = engine(7, "cordon", "l40s", Some((0, 16)));
        changed.slots = 100 + read as u32;
        hub.set_server(ms(700), &name(7), Some(changed));
        hub.record_registry_read(ms(700 + read), 21 + read);
    }
    assert_eq!(hub.store_view(ms(900), Some(20)).registry, None);
    let near = hub.store_view(ms(900), Some(215)).registry;
    assert_eq!(near.map(|update| update.changes.len()), Some(1));
}

/// What a hub proved counts from the leaf's question: nothing is known of the
/// time that the answer took.
#[test]
fn proof_from_a_hub_is_no_younger_than_what_the_hub_has() {
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
fn proof_of_another_version_is_not_taken() {
    let mut hub = gateway(ms(0), BTreeMap::new());
    let mut leaf = gateway(ms(0), BTreeMap::new());
    hub.set_configuration(configuration(8));
    hub.confirm_configuration(ms(950));
    let learned = leaf.apply_store_view(ms(5_020), ms(5_000), hub.store_view(ms(1_000), None));
    assert!(learned.newer_configuration);
    assert_eq!(
        leaf.confirmation_age(ms(5_020)),
        Some(Duration::from_millis(5_020))
    );
    leaf.set_configuration(configuration(9));
    let learned = leaf.apply_store_view(ms(5_220), ms(5_200), hub.store_view(ms(1_200), None));
    assert!(!learned.newer_configuration, "the hub is behind");
    assert_eq!(
        leaf.confirmation_age(ms(5_220)),
        Some(Duration::from_millis(5_220))
    );
}
