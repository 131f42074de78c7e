//! The VM list over real nodes: who reads it, and what the others hold.

use std::time::{Duration, Instant};

use radishhaven_core::{ids::VmId, node::Node};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    vms::VmListFault,
};

const WITHIN: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);
/// Time in which a node that reads would do so many times.
const MANY_READS: Duration = Duration::from_secs(2);

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < WITHIN, "{what} takes too long");
        tokio::time::sleep(POLL).await;
    }
}

fn look<T>(deployment: &Deployment, vm: &VmId, look: impl FnOnce(&Node) -> T) -> T {
    deployment.nodes[vm].node.host.read(look)
}

fn relies(deployment: &Deployment, vm: &VmId) -> bool {
    look(deployment, vm, |node| {
        node.tables().vm_replication.source.is_some()
    })
}

fn reads(deployment: &Deployment, vm: &VmId) -> u64 {
    look(deployment, vm, |node| {
        node.tables().vm_replication.counters.reads
    })
}

fn all_hold(deployment: &Deployment, of: &VmId, listed: bool) -> bool {
    let holds = |node: &Node| node.tables().vms.get(of).is_some() == listed;
    deployment
        .nodes
        .keys()
        .all(|vm| look(deployment, vm, holds))
}

/// Starts three nodes in each of three failure domains; one of each relies on
/// the other two.
async fn start() -> (Deployment, Vec<VmId>) {
    let mut plan = Plan::bitacora(9, 2);
    plan.settings = "[vm_list]\nrefresh_ms = 500\n".to_owned();
    let deployment = Deployment::start(plan).await.expect("it starts");
    let vms: Vec<VmId> = deployment.nodes.keys().cloned().collect();
    let relying = || vms.iter().filter(|vm| relies(&deployment, vm)).count();
    until("reliance on readers", || relying() == 3).await;
    let followers = vms.iter().filter(|vm| relies(&deployment, vm));
    let followers = followers.cloned().collect();
    (deployment, followers)
}

#[tokio::test(flavor = "multi_thread")]
async fn those_that_rely_on_readers_hold_what_changes_and_read_nothing() {
    let (mut deployment, followers) = start().await;
    let before: Vec<u64> = followers.iter().map(|vm| reads(&deployment, vm)).collect();
    deployment.remove_from_vm_list(&id("engine-0"));
    until("the change", || {
        all_hold(&deployment, &id("engine-0"), false)
    })
    .await;
    tokio::time::sleep(MANY_READS).await;
    let after: Vec<u64> = followers.iter().map(|vm| reads(&deployment, vm)).collect();
    assert_eq!(before, after, "{followers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_all_readers_and_an_outage_of_the_list_are_survived() {
    let (mut deployment, followers) = start().await;
    let lost: Vec<VmId> = deployment
        .nodes
        .keys()
        .filter(|vm| !followers.contains(vm))
        .cloned()
        .collect();
    deployment.vms.state.set_faults(vec![VmListFault::Outage]);
    for vm in &lost {
        if let Some(node) = deployment.nodes.remove(vm) {
            node.kill();
        }
    }
    deployment.remove_from_vm_list(&id("engine-1"));
    tokio::time::sleep(MANY_READS).await;
    assert!(all_hold(&deployment, &id("engine-1"), true));
    deployment.vms.state.set_faults(Vec::new());
    until("the change", || {
        all_hold(&deployment, &id("engine-1"), false)
    })
    .await;
}
