//! Tests of membership across several nodes, in virtual time and on loopback.

use std::{collections::BTreeSet, time::Duration};

use bolero_generator::TypeGenerator;
use radishhaven_cases::{CaseId, INVARIANT_CASES};
use radishhaven_client::{Caller, RequestOptions};
use radishhaven_core::{
    ids::VmId, message::Event, node::Node, outcome::Outcome, peer::MemberStatus, systems::directory,
};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    net::{Links, SimNetwork},
};

const DOMAINS: [&str; 3] = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
/// Virtual time in which all nodes discover each other.
const SETTLE: Duration = Duration::from_secs(5);
const SEED: u64 = 5;
/// Number of tests that the cases are divided among, which run in parallel.
const CASE_GROUPS: u32 = 4;

fn fast_links() -> Links {
    Links {
        min_delay: Duration::from_micros(200),
        max_delay: Duration::from_millis(2),
        loss_percent: 0,
    }
}

fn settled_net(nodes: usize, links: Links, seed: u64) -> SimNetwork {
    let mut net = SimNetwork::new(&DOMAINS, links, seed);
    for n in 0..nodes {
        net.start(n);
    }
    net.publish_vm_list();
    net.advance(SETTLE);
    net
}

fn listed(node: &Node) -> BTreeSet<VmId> {
    let cfg = node.configs();
    let mut all = cfg.directory.clone();
    all.max_nodes = 1_000;
    let answer = directory::rank_nodes(node.tables(), &cfg.identity, &all, "caller");
    answer.into_iter().map(|entry| entry.vm).collect()
}

fn listed_everywhere(net: &SimNetwork, vm: &VmId) -> bool {
    net.all(|node| listed(node).contains(vm))
}

fn listed_nowhere(net: &SimNetwork, vm: &VmId) -> bool {
    let is_other = |node: &Node| node.configs().identity.vm != *vm;
    net.all(|node| !is_other(node) || !listed(node).contains(vm))
}

#[test]
fn nodes_that_start_together_discover_each_other() {
    for nodes in [2, 9, 40] {
        let net = settled_net(nodes, fast_links(), 1);
        assert!(net.all(|node| listed(node).len() == nodes), "{nodes}");
        let alive = |node: &Node| node.tables().probes.view.live.len() + 1;
        assert!(net.all(|node| alive(node) == nodes), "{nodes}");
    }
}

#[test]
fn a_killed_node_is_removed_from_every_directory_within_three_seconds() {
    let mut net = settled_net(9, fast_links(), 2);
    let lost = SimNetwork::vm(4);
    net.kill(&lost);
    net.advance(Duration::from_secs(3));
    assert!(listed_nowhere(&net, &lost));
    net.advance(Duration::from_secs(2));
    let dead = |node: &Node| node.tables().members.get(&lost).map(|row| row.status);
    assert!(net.all(|node| dead(node) == Some(MemberStatus::Dead)));
}

#[test]
fn the_loss_of_a_failure_domain_is_detected_within_three_seconds() {
    let mut net = settled_net(30, fast_links(), 3);
    let lost: Vec<VmId> = (0..30).step_by(3).map(SimNetwork::vm).collect();
    for vm in &lost {
        net.kill(vm);
    }
    net.advance(Duration::from_secs(3));
    for vm in &lost {
        assert!(listed_nowhere(&net, vm), "{vm}");
    }
}

#[test]
fn a_draining_node_is_removed_from_every_directory_at_once() {
    let mut net = settled_net(9, fast_links(), 4);
    let leaving = SimNetwork::vm(2);
    net.handle(&leaving, Event::Drain);
    net.advance(Duration::from_millis(100));
    assert!(net.all(|node| !listed(node).contains(&leaving)));
}

#[test]
fn a_resumed_node_is_listed_again() {
    let mut net = settled_net(9, fast_links(), 5);
    let paused = SimNetwork::vm(7);
    net.pause(&paused);
    net.advance(Duration::from_secs(10));
    assert!(listed_nowhere(&net, &paused));
    net.resume(&paused);
    net.advance(Duration::from_secs(2));
    assert!(listed_everywhere(&net, &paused));
    assert!(
        net.all(|node| listed(node).len() == 9),
        "the resumed node suspects another node"
    );
}

#[test]
fn the_metrics_count_members_by_status() {
    let mut net = settled_net(9, fast_links(), 12);
    net.kill(&SimNetwork::vm(4));
    net.advance(SETTLE);
    let node = &net.nodes[&SimNetwork::vm(0)].node;
    let page = radishhavend::metrics::render(node, net.now).expect("the metrics are rendered");
    let value = |name: &str| {
        let mut lines = page.lines().filter_map(|line| line.rsplit_once(' '));
        let found = lines.find(|(key, _)| *key == format!("radishhaven_{name}"));
        found.map(|(_, value)| value.to_owned())
    };
    let counts = [
        "members_alive_count",
        "members_suspect_count",
        "members_dead_count",
    ];
    assert_eq!(
        counts.map(value),
        ["7", "0", "1"].map(|n| Some(n.to_owned())),
        "{page}"
    );
    for name in [
        "member_old_messages",
        "member_own_pauses",
        "member_superseded",
    ] {
        assert_eq!(
            value(&format!("{name}_total")).as_deref(),
            Some("0"),
            "{page}"
        );
    }
}

#[test]
fn a_resumed_node_suspects_no_other_node() {
    let mut net = settled_net(9, fast_links(), 10);
    let paused = SimNetwork::vm(3);
    net.pause(&paused);
    // Messages to the paused node are lost.
    net.partitioned.insert(paused.clone());
    net.advance(Duration::from_secs(40));
    net.partitioned.clear();
    net.resume(&paused);
    // The resumed node omits itself from its directory until it has queried
    // the others.
    let mut all: BTreeSet<VmId> = (0..9).map(SimNetwork::vm).collect();
    all.remove(&paused);
    assert_eq!(listed(&net.nodes[&paused].node), all);
    for _ in 0..40 {
        net.advance(Duration::from_millis(50));
        assert_eq!(listed(&net.nodes[&paused].node).len(), 9);
    }
}

#[test]
fn slow_links_cause_no_suspicion() {
    let links = Links {
        min_delay: Duration::from_millis(100),
        max_delay: Duration::from_millis(400),
        loss_percent: 0,
    };
    let mut net = settled_net(12, links, 6);
    net.advance(SETTLE);
    for _ in 0..300 {
        net.advance(Duration::from_millis(100));
        assert!(net.all(|node| listed(node).len() == 12));
    }
}

#[test]
fn both_sides_of_a_partition_rejoin_after_it_heals() {
    let mut net = settled_net(9, fast_links(), 7);
    net.partitioned = [0, 1, 2].map(SimNetwork::vm).into();
    net.advance(Duration::from_secs(30));
    assert!(net.all(|node| matches!(listed(node).len(), 3 | 6)));
    net.partitioned.clear();
    net.advance(Duration::from_secs(10));
    assert!(net.all(|node| listed(node).len() == 9));
}

#[test]
fn messages_of_an_earlier_incarnation_are_ignored() {
    let mut net = settled_net(3, fast_links(), 8);
    let vm = SimNetwork::vm(1);
    let old = net.nodes[&vm].node.configs().identity.incarnation;
    net.start(1);
    net.advance(SETTLE);
    let new = net.incarnation(&vm);
    assert!(new > Some(old));
    assert!(net.all(|node| {
        let row = node.tables().members.get(&vm);
        row.is_none_or(|row| Some(row.incarnation) == new)
    }));
}

#[test]
fn a_node_removed_from_the_vm_list_is_forgotten() {
    let mut net = settled_net(3, fast_links(), 9);
    let vm = SimNetwork::vm(2);
    net.kill(&vm);
    net.remove_from_vm_list(&vm);
    net.publish_vm_list();
    net.advance(Duration::from_secs(700));
    assert!(net.all(|node| node.tables().members.get(&vm).is_none()));
}

/// Timeout for reaching a state on loopback. It only ends a hung test and is no
/// latency requirement.
const LOOPBACK_TIMEOUT: Duration = Duration::from_secs(30);

async fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let waited = async {
        while !reached() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(LOOPBACK_TIMEOUT, waited).await;
    waited.unwrap_or_else(|_| panic!("{what} took over {LOOPBACK_TIMEOUT:?}"));
}

/// Returns how many nodes list the VM in their directories.
fn listed_by(deployment: &Deployment, vm: &VmId) -> usize {
    let nodes = deployment.nodes.values();
    nodes
        .filter(|node| node.node.host.read(|node| listed(node).contains(vm)))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn real_nodes_remove_a_killed_node_and_accept_its_restart() {
    let plan = Plan::bitacora(4, 1);
    let mut deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    let (vm, domain) = deployment.plan.nodes[2].clone();
    let has_all =
        |node: &Node| listed(node).len() == 4 && node.tables().members.iter().count() == 3;
    let all_listed = |deployment: &Deployment| {
        let mut nodes = deployment.nodes.values();
        nodes.all(|node| node.node.host.read(has_all))
    };
    wait_until("discovery of all nodes", || all_listed(&deployment)).await;
    deployment.nodes.remove(&vm).expect("the node runs").kill();
    // The VM list still lists the node as live.
    wait_until("its removal", || listed_by(&deployment, &vm) == 0).await;
    deployment
        .start_node(&vm, &domain)
        .expect("the node restarts");
    wait_until("return of the restarted node", || all_listed(&deployment)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn real_nodes_remove_a_draining_node_while_it_still_serves() {
    let mut plan = Plan::roster(3, 1);
    plan.settings = "[directory]\nkeep_ms = 600000\n".to_owned();
    let deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    let vm: VmId = id("node-1");
    wait_until("its discovery", || listed_by(&deployment, &vm) == 3).await;
    deployment.nodes[&vm].node.host.handle(Event::Drain);
    wait_until("its removal", || listed_by(&deployment, &vm) == 0).await;
    let caller = Caller::new("small-firm").expect("the caller is created");
    let node = deployment.callers_address("node-1");
    let pipeline = &deployment.plan.pipeline;
    let answer = caller
        .complete(
            node,
            &RequestOptions::default(),
            pipeline,
            "kept address",
            8,
        )
        .await;
    let outcome = answer.expect("the node answers").outcome;
    assert_eq!(outcome, Some(Outcome::Completed));
}

#[derive(Debug, Clone, TypeGenerator)]
enum Fault {
    Kill(u8),
    Restart(u8),
    Pause(u8),
    Resume(u8),
    CutOff(u8),
    HealPartition,
    LoseMessages(u8),
    Run(u8),
}

fn apply(net: &mut SimNetwork, fault: &Fault, nodes: usize) {
    let vm = |n: &u8| SimNetwork::vm(usize::from(*n) % nodes);
    match fault {
        Fault::Kill(n) => net.kill(&vm(n)),
        Fault::Restart(n) => net.start(usize::from(*n) % nodes),
        Fault::Pause(n) => net.pause(&vm(n)),
        Fault::Resume(n) => net.resume(&vm(n)),
        Fault::CutOff(n) => {
            net.partitioned.insert(vm(n));
        }
        Fault::HealPartition => net.partitioned.clear(),
        Fault::LoseMessages(n) => net.links.loss_percent = n % 30,
        Fault::Run(n) => net.advance(Duration::from_millis(u64::from(*n) * 20)),
    }
}

fn incarnations(node: &Node) -> Vec<(VmId, radishhaven_core::ids::Incarnation)> {
    let members = node.tables().members.iter();
    members
        .map(|(vm, row)| (vm.clone(), row.incarnation))
        .collect()
}

/// Checks every 500 ms of virtual time whether each node lists exactly the live
/// nodes. Returns `true` after two consecutive successful checks, `false` if
/// 24 checks don't include two such checks.
fn reach_agreement(net: &mut SimNetwork) -> bool {
    let live: BTreeSet<VmId> = net.nodes.keys().cloned().collect();
    // A node without any members can only answer from the VM list.
    let alone = |node: &Node| node.tables().members.iter().next().is_none();
    let agrees = |node: &Node| match live.len() {
        1 if alone(node) => live.is_subset(&listed(node)),
        _ => listed(node) == live,
    };
    let mut consecutive = 0;
    for _ in 0..24 {
        net.advance(Duration::from_millis(500));
        consecutive = if net.all(agrees) { consecutive + 1 } else { 0 };
        if consecutive == 2 {
            return true;
        }
    }
    false
}

/// Applies random faults and checks that no node ever returns to an earlier
/// incarnation of another node, and that all nodes agree on the live nodes
/// once the faults end.
fn check_incarnations_and_agreement(group: u32) {
    for case in (0..INVARIANT_CASES).filter(|case| case % CASE_GROUPS == group) {
        let nodes = 3 + (case % 2) as usize;
        let mut net = SimNetwork::new(&DOMAINS, fast_links(), case.into());
        net.membership.forget_after = Duration::from_secs(3_600);
        for n in 0..nodes {
            net.start(n);
        }
        net.publish_vm_list();
        let faults: [Fault; 8] = radishhaven_cases::case(CaseId {
            seed: SEED,
            number: case,
        });
        for fault in &faults {
            let before: Vec<_> = net
                .nodes
                .iter()
                .map(|(vm, n)| (vm.clone(), net.incarnation(vm), incarnations(&n.node)))
                .collect();
            apply(&mut net, fault, nodes);
            for (vm, own, seen) in before {
                let Some(node) = net.nodes.get(&vm).filter(|_| net.incarnation(&vm) == own) else {
                    continue;
                };
                for (other, incarnation) in seen {
                    let row = node.node.tables().members.get(&other);
                    assert!(
                        row.is_some_and(|row| row.incarnation >= incarnation),
                        "case {case}: {vm} on {other}"
                    );
                }
            }
        }
        net.partitioned.clear();
        net.links.loss_percent = 0;
        for n in 0..nodes {
            net.resume(&SimNetwork::vm(n));
        }
        net.publish_vm_list();
        assert!(reach_agreement(&mut net), "case {case}");
        let current = |vm: &VmId, row: &radishhaven_core::tables::MemberRow| {
            net.incarnation(vm)
                .is_none_or(|newest| newest == row.incarnation)
        };
        assert!(
            net.all(|node| node
                .tables()
                .members
                .iter()
                .all(|(vm, row)| current(vm, row))),
            "case {case}"
        );
    }
}

#[test]
fn incarnations_and_agreement_in_the_first_quarter_of_cases() {
    check_incarnations_and_agreement(0);
}

#[test]
fn incarnations_and_agreement_in_the_second_quarter_of_cases() {
    check_incarnations_and_agreement(1);
}

#[test]
fn incarnations_and_agreement_in_the_third_quarter_of_cases() {
    check_incarnations_and_agreement(2);
}

#[test]
fn incarnations_and_agreement_in_the_last_quarter_of_cases() {
    check_incarnations_and_agreement(3);
}
