//! Membership over several nodes, in virtual time and on loopback.

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
const SETTLE: Duration = Duration::from_secs(5);
const SEED: u64 = 5;
/// Tests that share the cases, so that they run at the same time.
const PARTS: u32 = 4;

fn quick() -> Links {
    Links {
        min_delay: Duration::from_micros(200),
        max_delay: Duration::from_millis(2),
        loss_percent: 0,
    }
}

fn net(nodes: usize, links: Links, seed: u64) -> SimNetwork {
    let mut net = SimNetwork::new(&DOMAINS, links, seed);
    for n in 0..nodes {
        net.start(n);
    }
    net.publish_vm_list();
    net.advance(SETTLE);
    net
}

fn named(node: &Node) -> BTreeSet<VmId> {
    let cfg = node.configs();
    let mut all = cfg.directory.clone();
    all.max_nodes = 1_000;
    let answer = directory::rank_nodes(node.tables(), &cfg.identity, &all, "caller");
    answer.into_iter().map(|entry| entry.vm).collect()
}

fn named_everywhere(net: &SimNetwork, vm: &VmId) -> bool {
    net.all(|node| named(node).contains(vm))
}

fn named_nowhere(net: &SimNetwork, vm: &VmId) -> bool {
    let others = |node: &Node| node.configs().identity.vm != *vm;
    net.all(|node| !others(node) || !named(node).contains(vm))
}

#[test]
fn nodes_that_start_together_hear_of_each_other() {
    for nodes in [2, 9, 40] {
        let net = net(nodes, quick(), 1);
        assert!(net.all(|node| named(node).len() == nodes), "{nodes}");
        let told = |node: &Node| node.tables().probes.view.live.len() + 1;
        assert!(net.all(|node| told(node) == nodes), "{nodes}");
    }
}

#[test]
fn a_killed_node_leaves_every_directory_within_three_seconds() {
    let mut net = net(9, quick(), 2);
    let lost = SimNetwork::vm(4);
    net.kill(&lost);
    net.advance(Duration::from_secs(3));
    assert!(named_nowhere(&net, &lost));
    net.advance(Duration::from_secs(2));
    let dead = |node: &Node| node.tables().members.get(&lost).map(|row| row.status);
    assert!(net.all(|node| dead(node) == Some(MemberStatus::Dead)));
}

#[test]
fn the_loss_of_a_failure_domain_is_seen_as_fast() {
    let mut net = net(30, quick(), 3);
    let lost: Vec<VmId> = (0..30).step_by(3).map(SimNetwork::vm).collect();
    for vm in &lost {
        net.kill(vm);
    }
    net.advance(Duration::from_secs(3));
    for vm in &lost {
        assert!(named_nowhere(&net, vm), "{vm}");
    }
}

#[test]
fn a_draining_node_leaves_every_directory_at_once() {
    let mut net = net(9, quick(), 4);
    let leaving = SimNetwork::vm(2);
    net.handle(&leaving, Event::Drain);
    net.advance(Duration::from_millis(100));
    assert!(net.all(|node| !named(node).contains(&leaving)));
}

#[test]
fn a_paused_node_that_resumes_is_taken_back() {
    let mut net = net(9, quick(), 5);
    let paused = SimNetwork::vm(7);
    net.pause(&paused);
    net.advance(Duration::from_secs(10));
    assert!(named_nowhere(&net, &paused));
    net.resume(&paused);
    net.advance(Duration::from_secs(2));
    assert!(named_everywhere(&net, &paused));
    assert!(net.all(|node| named(node).len() == 9), "it blames nobody");
}

#[test]
fn the_metrics_count_members_by_status() {
    let mut net = net(9, quick(), 12);
    net.kill(&SimNetwork::vm(4));
    net.advance(SETTLE);
    let node = &net.nodes[&SimNetwork::vm(0)].node;
    let page = radishhavend::metrics::render(node, net.now).expect("a page");
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
fn a_paused_node_blames_nobody_when_it_resumes() {
    let mut net = net(9, quick(), 10);
    let paused = SimNetwork::vm(3);
    net.pause(&paused);
    // What is sent to it meanwhile is lost.
    net.partitioned.insert(paused.clone());
    net.advance(Duration::from_secs(40));
    net.partitioned.clear();
    net.resume(&paused);
    // It does not name itself before it has asked the others.
    let mut all: BTreeSet<VmId> = (0..9).map(SimNetwork::vm).collect();
    all.remove(&paused);
    assert_eq!(named(&net.nodes[&paused].node), all);
    for _ in 0..40 {
        net.advance(Duration::from_millis(50));
        assert_eq!(named(&net.nodes[&paused].node).len(), 9);
    }
}

#[test]
fn a_slow_link_makes_nobody_suspect() {
    let links = Links {
        min_delay: Duration::from_millis(100),
        max_delay: Duration::from_millis(400),
        loss_percent: 0,
    };
    let mut net = net(12, links, 6);
    net.advance(SETTLE);
    for _ in 0..300 {
        net.advance(Duration::from_millis(100));
        assert!(net.all(|node| named(node).len() == 12));
    }
}

#[test]
fn both_sides_of_a_cut_find_each_other_again() {
    let mut net = net(9, quick(), 7);
    net.partitioned = [0, 1, 2].map(SimNetwork::vm).into();
    net.advance(Duration::from_secs(30));
    assert!(net.all(|node| matches!(named(node).len(), 3 | 6)));
    net.partitioned.clear();
    net.advance(Duration::from_secs(10));
    assert!(net.all(|node| named(node).len() == 9));
}

#[test]
fn messages_of_an_old_life_are_ignored() {
    let mut net = net(3, quick(), 8);
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
fn a_node_that_is_gone_from_the_list_is_forgotten() {
    let mut net = net(3, quick(), 9);
    let vm = SimNetwork::vm(2);
    net.kill(&vm);
    net.remove_from_vm_list(&vm);
    net.publish_vm_list();
    net.advance(Duration::from_secs(700));
    assert!(net.all(|node| node.tables().members.get(&vm).is_none()));
}

/// Longest wait for a state on loopback; no bound on how fast it should come.
const LOOPBACK_CAP: Duration = Duration::from_secs(30);

async fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let waited = async {
        while !reached() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(LOOPBACK_CAP, waited).await;
    waited.unwrap_or_else(|_| panic!("{what} took over {LOOPBACK_CAP:?}"));
}

fn named_by(deployment: &Deployment, vm: &VmId) -> usize {
    let nodes = deployment.nodes.values();
    nodes
        .filter(|node| node.node.host.read(|node| named(node).contains(vm)))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn real_nodes_drop_a_killed_node_and_take_its_next_life() {
    let plan = Plan::bitacora(4, 1);
    let mut deployment = Deployment::start(plan).await.expect("it starts");
    let (vm, domain) = deployment.plan.nodes[2].clone();
    let knows_all =
        |node: &Node| named(node).len() == 4 && node.tables().members.iter().count() == 3;
    let all_named = |deployment: &Deployment| {
        let mut nodes = deployment.nodes.values();
        nodes.all(|node| node.node.host.read(knows_all))
    };
    wait_until("hearing of each other", || all_named(&deployment)).await;
    deployment.nodes.remove(&vm).expect("it runs").kill();
    // The VM list still shows it as live.
    wait_until("dropping it", || named_by(&deployment, &vm) == 0).await;
    deployment
        .start_node(&vm, &domain)
        .expect("it starts again");
    wait_until("taking it back", || all_named(&deployment)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn real_nodes_drop_a_draining_node_while_it_still_serves() {
    let mut plan = Plan::roster(3, 1);
    plan.settings = "[directory]\nkeep_ms = 600000\n".to_owned();
    let deployment = Deployment::start(plan).await.expect("it starts");
    let vm: VmId = id("node-1");
    wait_until("hearing of it", || named_by(&deployment, &vm) == 3).await;
    deployment.nodes[&vm].node.host.handle(Event::Drain);
    wait_until("dropping it", || named_by(&deployment, &vm) == 0).await;
    let caller = Caller::new("small-firm").expect("a caller can be made");
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
    let outcome = answer.expect("it answers").outcome;
    assert_eq!(outcome, Some(Outcome::Completed));
}

#[derive(Debug, Clone, TypeGenerator)]
enum Fault {
    Kill(u8),
    Restart(u8),
    Pause(u8),
    Resume(u8),
    Cut(u8),
    Heal,
    Lose(u8),
    Run(u8),
}

fn apply(net: &mut SimNetwork, fault: &Fault, nodes: usize) {
    let vm = |n: &u8| SimNetwork::vm(usize::from(*n) % nodes);
    match fault {
        Fault::Kill(n) => net.kill(&vm(n)),
        Fault::Restart(n) => net.start(usize::from(*n) % nodes),
        Fault::Pause(n) => net.pause(&vm(n)),
        Fault::Resume(n) => net.resume(&vm(n)),
        Fault::Cut(n) => {
            net.partitioned.insert(vm(n));
        }
        Fault::Heal => net.partitioned.clear(),
        Fault::Lose(n) => net.links.loss_percent = n % 30,
        Fault::Run(n) => net.advance(Duration::from_millis(u64::from(*n) * 20)),
    }
}

fn newest(node: &Node) -> Vec<(VmId, radishhaven_core::ids::Incarnation)> {
    let members = node.tables().members.iter();
    members
        .map(|(vm, row)| (vm.clone(), row.incarnation))
        .collect()
}

/// Looks at whether all nodes name just those that live, until they do so at
/// two looks in turn or the time is over.
fn agree(net: &mut SimNetwork) -> bool {
    let live: BTreeSet<VmId> = net.nodes.keys().cloned().collect();
    // Who never heard of anybody can only answer from the VM list.
    let alone = |node: &Node| node.tables().members.iter().next().is_none();
    let agrees = |node: &Node| match live.len() {
        1 if alone(node) => live.is_subset(&named(node)),
        _ => named(node) == live,
    };
    let mut in_turn = 0;
    for _ in 0..24 {
        net.advance(Duration::from_millis(500));
        in_turn = if net.all(agrees) { in_turn + 1 } else { 0 };
        if in_turn == 2 {
            return true;
        }
    }
    false
}

/// Over any faults, a node never falls back to an old life of another; and
/// once the faults end, all agree on who lives.
fn no_old_life_comes_back_and_all_agree_in_the_end(part: u32) {
    for case in (0..INVARIANT_CASES).filter(|case| case % PARTS == part) {
        let nodes = 3 + (case % 2) as usize;
        let mut net = SimNetwork::new(&DOMAINS, quick(), case.into());
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
                .map(|(vm, n)| (vm.clone(), net.incarnation(vm), newest(&n.node)))
                .collect();
            apply(&mut net, fault, nodes);
            for (vm, life, seen) in before {
                let Some(node) = net.nodes.get(&vm).filter(|_| net.incarnation(&vm) == life) else {
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
        assert!(agree(&mut net), "case {case}");
        let right = |vm: &VmId, row: &radishhaven_core::tables::MemberRow| {
            net.incarnation(vm)
                .is_none_or(|life| life == row.incarnation)
        };
        assert!(
            net.all(|node| node.tables().members.iter().all(|(vm, row)| right(vm, row))),
            "case {case}"
        );
    }
}

#[test]
fn lives_and_agreement_in_the_first_quarter_of_cases() {
    no_old_life_comes_back_and_all_agree_in_the_end(0);
}

#[test]
fn lives_and_agreement_in_the_second_quarter_of_cases() {
    no_old_life_comes_back_and_all_agree_in_the_end(1);
}

#[test]
fn lives_and_agreement_in_the_third_quarter_of_cases() {
    no_old_life_comes_back_and_all_agree_in_the_end(2);
}

#[test]
fn lives_and_agreement_in_the_last_quarter_of_cases() {
    no_old_life_comes_back_and_all_agree_in_the_end(3);
}
