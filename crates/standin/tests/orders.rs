//! Tests of leases and orders with real nodes and fake engines on loopback.

use std::{collections::BTreeMap, time::Duration};

use radishhaven_client::{Caller, JsonClient, RequestOptions};
use radishhaven_core::{
    ids::{FencingToken, VmId},
    outcome::Outcome,
};
use radishhaven_proto::engine::{HOLDING_PATH, Holding, ORDER_PATH, Order, OrderReply};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    engine::{Engine, EngineRecord},
    log::LogFault,
    reference,
    runtime::ServerHandle,
};

const SETTINGS: &str = "[lease]\nduration_ms = 1500\nrenew_ms = 300\n\
                        [orders]\ngive = yes\nread_back_ms = 200\nmax_delay_ms = 200\n";
/// Timeout for reaching a state. It only ends a hung test and is no latency
/// requirement.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request to an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

async fn start(nodes: usize) -> Deployment {
    let mut plan = Plan::bitacora(nodes, 2);
    plan.settings = SETTINGS.to_owned();
    Deployment::start(plan)
        .await
        .expect("the deployment starts")
}

async fn holdings(deployment: &Deployment) -> BTreeMap<VmId, Holding> {
    let http = JsonClient::new().expect("the client is created");
    let mut holdings = BTreeMap::new();
    for (vm, engine) in &deployment.engines {
        let held = http
            .get::<Holding>(engine.addr, HOLDING_PATH, REQUEST_TIMEOUT)
            .await;
        holdings.insert(vm.clone(), held.expect("the engine answers"));
    }
    holdings
}

/// Waits until the holdings of all engines meet the condition.
async fn wait_for_holdings(
    deployment: &Deployment,
    what: &str,
    condition: impl Fn(&Holding) -> bool,
) {
    let reached = async {
        while !holdings(deployment).await.values().all(&condition) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(STATE_TIMEOUT, reached).await.is_err() {
        panic!(
            "{what} took over {STATE_TIMEOUT:?}: {:?}",
            holdings(deployment).await
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_load_the_version_that_is_configured() {
    let deployment = start(3).await;
    deployment.publish(&deployment.plan.batch_to_version("v2"));
    wait_for_holdings(&deployment, "loading", |held| {
        held.version == id("v2") && !held.loading
    })
    .await;
    let caller = Caller::new("small-firm").expect("the caller is created");
    let node = deployment.callers_address("node-1");
    let pipeline = &deployment.plan.pipeline;
    let answer = caller
        .complete(node, &RequestOptions::default(), pipeline, "two stops", 16)
        .await;
    let answer = answer.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::Completed));
    let model = id(pipeline.as_str());
    let expected = reference::generate(&model, &id("v2"), deployment.plan.layers, "two stops", 16);
    assert_eq!(answer.text, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_takes_over_and_corrects_late_orders() {
    let mut deployment = start(2).await;
    let fenced = |held: &Holding| held.token > FencingToken(0);
    wait_for_holdings(&deployment, "adopting the tokens", |held| !held.loading).await;
    let lost = wait_for_holder(&deployment).await;
    deployment
        .nodes
        .remove(&lost)
        .expect("the node runs")
        .kill();
    let left = deployment
        .nodes
        .keys()
        .next()
        .cloned()
        .expect("one node is left");
    wait_for_takeover(&deployment, &left).await;
    wait_for_holdings(&deployment, "receiving the new tokens", fenced).await;
    check_late_orders_are_corrected(&deployment).await;
}

/// Waits until a node holds a lease, and returns that node.
async fn wait_for_holder(deployment: &Deployment) -> VmId {
    let holder = || {
        let holds = |node: &radishhaven_core::node::Node| {
            let leases = node.tables().orders.leases.as_ref();
            leases.is_some_and(|leases| leases.rows().values().any(|row| row.held_until.is_some()))
        };
        let mut nodes = deployment.nodes.iter();
        let found = nodes.find(|(_, node)| node.node.host.read(holds));
        found.map(|(vm, _)| vm.clone())
    };
    let claimed = async {
        loop {
            if let Some(vm) = holder() {
                return vm;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STATE_TIMEOUT, claimed)
        .await
        .expect("a node claims a lease")
}

/// Waits until the node has itself recorded as the holder of all leases.
async fn wait_for_takeover(deployment: &Deployment, vm: &VmId) {
    let took_over = async {
        loop {
            let all = deployment.nodes[vm].node.host.read(|node| {
                let leases = node
                    .tables()
                    .orders
                    .leases
                    .as_ref()
                    .expect("the node tracks leases");
                let rows = leases.rows().values();
                rows.clone().count() == 3 && rows.clone().all(|row| row.holder.vm == *vm)
            });
            if all {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STATE_TIMEOUT, took_over)
        .await
        .expect("the node takes over all leases");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_lease_holder_sends_no_lasting_late_order() {
    let deployment = start(2).await;
    wait_for_holdings(&deployment, "adopting the tokens", |held| !held.loading).await;
    let paused = wait_for_holder(&deployment).await;
    let other = deployment.nodes.keys().find(|vm| **vm != paused);
    let other = other.cloned().expect("there are two nodes");
    let pause = deployment.nodes[&paused].pause();
    wait_for_takeover(&deployment, &other).await;
    // The paused node still applies the old version, and it held a lease when it
    // was paused.
    deployment.publish(&deployment.plan.batch_to_version("v2"));
    let loaded = |held: &Holding| held.version == id("v2") && !held.loading;
    wait_for_holdings(&deployment, "loading", loaded).await;
    let old_orders = |deployment: &Deployment| {
        let records = |engine: &ServerHandle<Engine>| engine.state.records();
        let records = deployment.engines.values().flat_map(records);
        let accepted = records.filter_map(|record| match record {
            EngineRecord::Ordered(record) if record.reply == OrderReply::Accepted => {
                Some(record.order)
            }
            _ => None,
        });
        let old = accepted.filter(|order| order.version == id("v1"));
        old.count()
    };
    let before = old_orders(&deployment);
    // During the log outage the resumed node can't read at once that its lease
    // has ended and that a newer version exists.
    deployment.log.state.set_faults(vec![LogFault::Outage]);
    drop(pause);
    let resumed = async {
        let host = &deployment.nodes[&paused].node.host;
        while host.read(|node| !node.tables().ready || node.tables().config.revision().0 < 2) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STATE_TIMEOUT, resumed)
        .await
        .expect("the node resumes");
    // Several read-back rounds, during which a late order would be sent.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        old_orders(&deployment),
        before,
        "orders for the old version"
    );
    deployment.log.state.set_faults(Vec::new());
    wait_for_holdings(&deployment, "keeping the version", loaded).await;
}

/// Sends every engine an order of an ended lease, and waits until the engines
/// that accepted it are corrected.
async fn check_late_orders_are_corrected(deployment: &Deployment) {
    let http = JsonClient::new().expect("the client is created");
    for (vm, held) in holdings(deployment).await {
        let order = Order {
            token: FencingToken(0),
            model: held.model,
            version: id("v0"),
            layers: held.layers,
            adapters: Vec::new(),
        };
        let address = deployment.engines[&vm].addr;
        let reply = http.post::<_, OrderReply>(address, ORDER_PATH, &order, REQUEST_TIMEOUT);
        let reply = reply.await.expect("the engine answers");
        let plan = deployment.plan.engines.iter().find(|plan| plan.vm == vm);
        let checks = plan.expect("the engine is in the plan").checks_tokens;
        assert_eq!(reply != OrderReply::Accepted, checks, "{vm}");
    }
    wait_for_holdings(deployment, "the correction", |held| {
        held.version == id("v1") && !held.loading && held.token > FencingToken(0)
    })
    .await;
}
