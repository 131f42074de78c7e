//! The watch over engines, with real nodes and engines on loopback.

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

/// Longest wait for a state; no bound on how fast it should come.
const CAP: Duration = Duration::from_secs(30);
const WITHIN: Duration = Duration::from_secs(2);
const MAX_TOKENS: u32 = 8;
/// Requests while engines load, and after.
const REQUESTS: usize = 16;

async fn start(nodes: usize, replicas: usize) -> Deployment {
    let mut plan = Plan::bitacora(nodes, replicas);
    plan.settings = "[watch]\ninterval_ms = 100\nreads_per_s = 1000\n".to_owned();
    let deployment = Deployment::start(plan).await.expect("it starts");
    until(&deployment, "the first reports", |node| {
        let mut rows = node.tables().backends.iter();
        rows.all(|row| row.report.is_some() || matches!(row.carries, Workload::Service(_)))
    })
    .await;
    deployment
}

/// Waits until every node finds something true.
async fn until(deployment: &Deployment, what: &str, check: impl Fn(&Node) -> bool) {
    let reached = async {
        while !deployment
            .nodes
            .values()
            .all(|node| node.node.host.read(&check))
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(CAP, reached).await;
    assert!(reached.is_ok(), "{what} took over {CAP:?}");
}

/// Waits until every node was told that engines hold, loaded, a version.
async fn until_told(deployment: &Deployment, version: &str, engines: &[VmId]) {
    let layers: BTreeMap<VmId, HeldDigest> = engines
        .iter()
        .map(|vm| (vm.clone(), holds(deployment, vm, version)))
        .collect();
    until(deployment, "telling", |node| {
        layers.iter().all(|(vm, holds)| {
            let report = node.tables().backends.get(vm).and_then(|row| row.report);
            report.is_some_and(|report| report.body.holds == *holds)
        })
    })
    .await;
}

fn holds(deployment: &Deployment, vm: &VmId, version: &str) -> HeldDigest {
    let mut engines = deployment.plan.engines.iter();
    let engine = engines.find(|engine| engine.vm == *vm).expect("planned");
    let carries = Workload::Layers {
        model: id(deployment.plan.pipeline.as_str()),
        version: id(version),
        layers: engine.layers,
        adapters: Default::default(),
    };
    HeldDigest::from_carries(&carries).expect("it is an engine")
}

async fn order(deployment: &Deployment, vm: &VmId, version: &str) {
    let http = JsonClient::new().expect("a client");
    let engine = &deployment.engines[vm];
    let held: Holding = engine.state.holding();
    let order = Order {
        token: FencingToken(held.token.0 + 1),
        model: held.model,
        version: id(version),
        layers: held.layers,
        adapters: held.adapters,
    };
    let reply = http.post::<_, OrderReply>(engine.addr, ORDER_PATH, &order, WITHIN);
    let reply = reply.await.expect("the engine answers");
    assert_eq!(reply, OrderReply::Accepted);
}

/// Sends requests to all nodes in turn and returns their outcomes.
async fn dictate(deployment: &Deployment, version: &str) -> Vec<Outcome> {
    let caller = Caller::new("small-firm").expect("a caller can be made");
    let pipeline = &deployment.plan.pipeline;
    let nodes: Vec<_> = deployment.nodes.values().collect();
    let (ask, mut outcomes) = (RequestOptions::default(), Vec::new());
    for n in 0..REQUESTS {
        let prompt = format!("trip {n}");
        let node = nodes[n % nodes.len()].node.callers_address;
        let sent = caller.complete(node, &ask, pipeline, &prompt, MAX_TOKENS);
        let answer = sent.await.expect("the node answers");
        let outcome = answer.outcome.expect("an outcome");
        if outcome == Outcome::Completed {
            let model = id(pipeline.as_str());
            let layers = deployment.plan.layers;
            let right = reference::generate(&model, &id(version), layers, &prompt, MAX_TOKENS);
            assert_eq!(answer.text, right);
        }
        outcomes.push(outcome);
    }
    outcomes
}

fn counted(deployment: &Deployment, count: impl Fn(&Node) -> u64) -> u64 {
    let nodes = deployment.nodes.values();
    nodes.map(|node| node.node.host.read(&count)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_load_a_version_late_get_no_work_for_it_before() {
    let deployment = start(3, 2).await;
    let revision = deployment.publish(&deployment.plan.batch_to_version("v2")) + 1;
    until(&deployment, "the batch", |node| {
        node.tables().config.revision().0 >= revision
    })
    .await;
    // Nobody holds the version: nothing is sent.
    let outcomes = dictate(&deployment, "v2").await;
    let none = Outcome::NotRun(NotRun::NoCapacity);
    assert!(outcomes.iter().all(|o| *o == none), "{outcomes:?}");
    assert_eq!(counted(&deployment, |n| n.tables().counters.steps), 0);
    // One engine of each stage loads it, while requests go on.
    let (early, late): (Vec<VmId>, Vec<VmId>) = deployment
        .engines
        .keys()
        .cloned()
        .partition(|vm| ["engine-0", "engine-1", "engine-2"].contains(&vm.as_str()));
    for vm in &early {
        order(&deployment, vm, "v2").await;
    }
    let outcomes = dictate(&deployment, "v2").await;
    let known = |o: &Outcome| *o == none || *o == Outcome::Completed;
    assert!(outcomes.iter().all(known), "{outcomes:?}");
    until_told(&deployment, "v2", &early).await;
    let outcomes = dictate(&deployment, "v2").await;
    let done = |o: &Outcome| *o == Outcome::Completed;
    assert!(outcomes.iter().all(done), "{outcomes:?}");
    let runs = |vm: &VmId| deployment.engines[vm].state.runs().len();
    assert_eq!(late.iter().map(runs).sum::<usize>(), 0, "a late one ran");
    // A refusal would have been a retry.
    assert_eq!(counted(&deployment, |n| n.tables().counters.retries), 0);
    for vm in &late {
        order(&deployment, vm, "v2").await;
    }
    until_told(&deployment, "v2", &late).await;
    let outcomes = dictate(&deployment, "v2").await;
    assert!(outcomes.iter().all(done), "{outcomes:?}");
    assert!(
        late.iter().map(runs).sum::<usize>() > 0,
        "the late ones idle"
    );
    assert_eq!(counted(&deployment, |n| n.tables().counters.retries), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_watch_survives_the_death_of_both_watchers() {
    let mut deployment = start(4, 1).await;
    let watched: VmId = id("engine-1");
    until(&deployment, "agreeing on the nodes", |node| {
        node.tables().watch.shares.nodes().count() == 4
    })
    .await;
    let watchers = deployment.nodes[&id("node-0")]
        .node
        .host
        .read(|node| node.tables().watch.shares.watchers(&watched).to_vec());
    assert_eq!(watchers.len(), 2);
    for (vm, version) in watchers.iter().zip(["v2", "v3"]) {
        deployment.nodes.remove(vm).expect("it runs").kill();
        order(&deployment, &watched, version).await;
        until_told(&deployment, version, std::slice::from_ref(&watched)).await;
    }
}
