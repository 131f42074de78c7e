//! Tests of the VM list on real nodes: which nodes read it from the platform, and
//! how the others replicate it.

use std::time::{Duration, Instant};

use radishhaven_core::{ids::VmId, node::Node};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    vms::VmListFault,
};

const STATE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which a node that reads the list does so several times.
const SEVERAL_READS: Duration = Duration::from_secs(2);

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < STATE_TIMEOUT, "{what} takes too long");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn read_node<T>(deployment: &Deployment, vm: &VmId, read: impl FnOnce(&Node) -> T) -> T {
    deployment.nodes[vm].node.host.read(read)
}

/// Returns whether the node gets the list from another node.
fn is_subscriber(deployment: &Deployment, vm: &VmId) -> bool {
    read_node(deployment, vm, |node| {
        node.tables().vm_replication.source.is_some()
    })
}

/// Returns how many times the node has read the list from the platform.
fn read_count(deployment: &Deployment, vm: &VmId) -> u64 {
    read_node(deployment, vm, |node| {
        node.tables().vm_replication.counters.reads
    })
}

/// Returns whether the VM is in the list of every node (`listed` is `true`) or of
/// none.
fn all_nodes_have(deployment: &Deployment, target: &VmId, listed: bool) -> bool {
    let holds = |node: &Node| node.tables().vms.get(target).is_some() == listed;
    deployment
        .nodes
        .keys()
        .all(|vm| read_node(deployment, vm, holds))
}

/// Starts three nodes in each of three failure domains. One node of each domain
/// subscribes to the other two; returns these subscribers beside the deployment.
async fn start() -> (Deployment, Vec<VmId>) {
    let mut plan = Plan::bitacora(9, 2);
    plan.settings = "[vm_list]\nrefresh_ms = 500\n".to_owned();
    let deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    let vms: Vec<VmId> = deployment.nodes.keys().cloned().collect();
    let count = || {
        vms.iter()
            .filter(|vm| is_subscriber(&deployment, vm))
            .count()
    };
    wait_until("the subscription to readers", || count() == 3).await;
    let subscribers = vms.iter().filter(|vm| is_subscriber(&deployment, vm));
    let subscribers = subscribers.cloned().collect();
    (deployment, subscribers)
}

#[tokio::test(flavor = "multi_thread")]
async fn subscribers_receive_changes_without_reading_the_list() {
    let (mut deployment, subscribers) = start().await;
    let before: Vec<u64> = subscribers
        .iter()
        .map(|vm| read_count(&deployment, vm))
        .collect();
    deployment.remove_from_vm_list(&id("engine-0"));
    wait_until("the change", || {
        all_nodes_have(&deployment, &id("engine-0"), false)
    })
    .await;
    tokio::time::sleep(SEVERAL_READS).await;
    let after: Vec<u64> = subscribers
        .iter()
        .map(|vm| read_count(&deployment, vm))
        .collect();
    assert_eq!(before, after, "{subscribers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn subscribers_recover_from_the_loss_of_all_readers_during_a_list_outage() {
    let (mut deployment, subscribers) = start().await;
    let lost: Vec<VmId> = deployment
        .nodes
        .keys()
        .filter(|vm| !subscribers.contains(vm))
        .cloned()
        .collect();
    deployment.vms.state.set_faults(vec![VmListFault::Outage]);
    for vm in &lost {
        if let Some(node) = deployment.nodes.remove(vm) {
            node.kill();
        }
    }
    deployment.remove_from_vm_list(&id("engine-1"));
    tokio::time::sleep(SEVERAL_READS).await;
    assert!(all_nodes_have(&deployment, &id("engine-1"), true));
    deployment.vms.state.set_faults(Vec::new());
    wait_until("the change", || {
        all_nodes_have(&deployment, &id("engine-1"), false)
    })
    .await;
}
