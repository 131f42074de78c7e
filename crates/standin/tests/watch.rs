//! Tests of the watch over engines, with real nodes and fake engines on loopback.

use std::{collections::BTreeMap, time::Duration};

use radishhaven_client::{Caller, JsonClient, RequestOptions};
use radishhaven_core::{
    config::Workload,
    ids::{FencingToken, VmId},
    node::Node,
    outcome::{NotRun, Outcome},
    watch::HeldDigest,
};
use radishhaven_proto::engine::{Holding, ORDER_PATH, Order, OrderReply};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    reference,
};

/// Timeout for reaching a state. It only ends a hung test and is no latency
/// requirement.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of an order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_TOKENS: u32 = 8;
/// Requests in each round, during and after the loading of a version.
const REQUESTS: usize = 16;

async fn start(nodes: usize, replicas: usize) -> Deployment {
    let mut plan = Plan::bitacora(nodes, replicas);
    plan.settings = "[watch]\ninterval_ms = 100\nreads_per_s = 1000\n".to_owned();
    let deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    wait_until(&deployment, "the first reports", |node| {
        let mut rows = node.tables().backends.iter();
        rows.all(|row| row.report.is_some() || matches!(row.carries, Workload::Service(_)))
    })
    .await;
    deployment
}

/// Waits until the condition is true on every node.
async fn wait_until(deployment: &Deployment, what: &str, condition: impl Fn(&Node) -> bool) {
    let reached = async {
        while !deployment
            .nodes
            .values()
            .all(|node| node.node.host.read(&condition))
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(STATE_TIMEOUT, reached).await;
    assert!(reached.is_ok(), "{what} took over {STATE_TIMEOUT:?}");
}

/// Waits until every node has a report that the engines have loaded the version.
async fn wait_until_reported(deployment: &Deployment, version: &str, engines: &[VmId]) {
    let expected: BTreeMap<VmId, HeldDigest> = engines
        .iter()
        .map(|vm| (vm.clone(), loaded_digest(deployment, vm, version)))
        .collect();
    wait_until(deployment, "the reports", |node| {
        expected.iter().all(|(vm, holds)| {
            let report = node.tables().backends.get(vm).and_then(|row| row.report);
            report.is_some_and(|report| report.body.holds == *holds)
        })
    })
    .await;
}

/// Returns the digest that the engine reports once it has loaded the version.
fn loaded_digest(deployment: &Deployment, vm: &VmId, version: &str) -> HeldDigest {
    let mut engines = deployment.plan.engines.iter();
    let engine = engines
        .find(|engine| engine.vm == *vm)
        .expect("the engine is in the plan");
    let carries = Workload::Layers {
        model: id(deployment.plan.pipeline.as_str()),
        version: id(version),
        layers: engine.layers,
        adapters: Default::default(),
    };
    HeldDigest::from_carries(&carries).expect("the workload consists of layers")
}

/// Orders the engine to load the version, in place of the one it holds.
async fn order(deployment: &Deployment, vm: &VmId, version: &str) {
    let http = JsonClient::new().expect("the client is created");
    let engine = &deployment.engines[vm];
    let held: Holding = engine.state.holding();
    let order = Order {
        token: FencingToken(held.token.0 + 1),
        model: held.model,
        version: id(version),
        layers: held.layers,
        adapters: held.adapters,
    };
    let reply = http.post::<_, OrderReply>(engine.addr, ORDER_PATH, &order, ORDER_TIMEOUT);
    let reply = reply.await.expect("the engine answers");
    assert_eq!(reply, OrderReply::Accepted);
}

/// Sends requests to all nodes in round-robin order and returns their outcomes.
/// Checks the text of completed answers.
async fn send_requests(deployment: &Deployment, version: &str) -> Vec<Outcome> {
    let caller = Caller::new("small-firm").expect("the caller is created");
    let pipeline = &deployment.plan.pipeline;
    let nodes: Vec<_> = deployment.nodes.values().collect();
    let (ask, mut outcomes) = (RequestOptions::default(), Vec::new());
    for n in 0..REQUESTS {
        let prompt = format!("trip {n}");
        let node = nodes[n % nodes.len()].node.callers_address;
        let sent = caller.complete(node, &ask, pipeline, &prompt, MAX_TOKENS);
        let answer = sent.await.expect("the node answers");
        let outcome = answer.outcome.expect("the answer has an outcome");
        if outcome == Outcome::Completed {
            let model = id(pipeline.as_str());
            let layers = deployment.plan.layers;
            let expected = reference::generate(&model, &id(version), layers, &prompt, MAX_TOKENS);
            assert_eq!(answer.text, expected);
        }
        outcomes.push(outcome);
    }
    outcomes
}

/// Returns the sum of a counter over all nodes.
fn sum_over_nodes(deployment: &Deployment, count: impl Fn(&Node) -> u64) -> u64 {
    let nodes = deployment.nodes.values();
    nodes.map(|node| node.node.host.read(&count)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_get_no_work_for_a_version_before_they_load_it() {
    let deployment = start(3, 2).await;
    let revision = deployment.publish(&deployment.plan.batch_to_version("v2")) + 1;
    wait_until(&deployment, "the batch", |node| {
        node.tables().config.revision().0 >= revision
    })
    .await;
    // No engine has loaded the version, so no step is sent.
    let outcomes = send_requests(&deployment, "v2").await;
    let none = Outcome::NotRun(NotRun::NoCapacity);
    assert!(outcomes.iter().all(|o| *o == none), "{outcomes:?}");
    assert_eq!(
        sum_over_nodes(&deployment, |n| n.tables().counters.steps),
        0
    );
    // One engine of each stage loads the version while requests continue.
    let (early, late): (Vec<VmId>, Vec<VmId>) = deployment
        .engines
        .keys()
        .cloned()
        .partition(|vm| ["engine-0", "engine-1", "engine-2"].contains(&vm.as_str()));
    for vm in &early {
        order(&deployment, vm, "v2").await;
    }
    let outcomes = send_requests(&deployment, "v2").await;
    let allowed = |o: &Outcome| *o == none || *o == Outcome::Completed;
    assert!(outcomes.iter().all(allowed), "{outcomes:?}");
    wait_until_reported(&deployment, "v2", &early).await;
    let outcomes = send_requests(&deployment, "v2").await;
    let completed = |o: &Outcome| *o == Outcome::Completed;
    assert!(outcomes.iter().all(completed), "{outcomes:?}");
    let runs = |vm: &VmId| deployment.engines[vm].state.runs().len();
    assert_eq!(
        late.iter().map(runs).sum::<usize>(),
        0,
        "an engine ran before it loaded the version"
    );
    // A refused step would have counted as a retry.
    assert_eq!(
        sum_over_nodes(&deployment, |n| n.tables().counters.retries),
        0
    );
    for vm in &late {
        order(&deployment, vm, "v2").await;
    }
    wait_until_reported(&deployment, "v2", &late).await;
    let outcomes = send_requests(&deployment, "v2").await;
    assert!(outcomes.iter().all(completed), "{outcomes:?}");
    assert!(
        late.iter().map(runs).sum::<usize>() > 0,
        "the engines that loaded late got no work"
    );
    assert_eq!(
        sum_over_nodes(&deployment, |n| n.tables().counters.retries),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_watch_survives_the_loss_of_both_watchers() {
    let mut deployment = start(4, 1).await;
    let watched: VmId = id("engine-1");
    wait_until(&deployment, "agreement on the nodes", |node| {
        node.tables().watch.shares.nodes().count() == 4
    })
    .await;
    let watchers = deployment.nodes[&id("node-0")]
        .node
        .host
        .read(|node| node.tables().watch.shares.watchers(&watched).to_vec());
    assert_eq!(watchers.len(), 2);
    for (vm, version) in watchers.iter().zip(["v2", "v3"]) {
        deployment.nodes.remove(vm).expect("the node runs").kill();
        order(&deployment, &watched, version).await;
        wait_until_reported(&deployment, version, std::slice::from_ref(&watched)).await;
    }
}
