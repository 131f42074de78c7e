//! Leases and orders over real nodes and engines on loopback.

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
/// Longest wait for a state; no bound on how fast it should come.
const CAP: Duration = Duration::from_secs(30);
const WITHIN: Duration = Duration::from_secs(2);

async fn start(nodes: usize) -> Deployment {
    let mut plan = Plan::bitacora(nodes, 2);
    plan.settings = SETTINGS.to_owned();
    Deployment::start(plan).await.expect("it starts")
}

async fn holdings(deployment: &Deployment) -> BTreeMap<VmId, Holding> {
    let http = JsonClient::new().expect("a client");
    let mut holdings = BTreeMap::new();
    for (vm, engine) in &deployment.engines {
        let held = http.get::<Holding>(engine.addr, HOLDING_PATH, WITHIN).await;
        holdings.insert(vm.clone(), held.expect("the engine answers"));
    }
    holdings
}

async fn wait_for(deployment: &Deployment, what: &str, right: impl Fn(&Holding) -> bool) {
    let reached = async {
        while !holdings(deployment).await.values().all(&right) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(CAP, reached).await.is_err() {
        panic!("{what} took over {CAP:?}: {:?}", holdings(deployment).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_load_the_version_that_is_configured() {
    let deployment = start(3).await;
    deployment.publish(&deployment.plan.batch_to_version("v2"));
    wait_for(&deployment, "loading", |held| {
        held.version == id("v2") && !held.loading
    })
    .await;
    let caller = Caller::new("small-firm").expect("a caller can be made");
    let node = deployment.callers_address("node-1");
    let pipeline = &deployment.plan.pipeline;
    let answer = caller
        .complete(node, &RequestOptions::default(), pipeline, "two stops", 16)
        .await;
    let answer = answer.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::Completed));
    let model = id(pipeline.as_str());
    let right = reference::generate(&model, &id("v2"), deployment.plan.layers, "two stops", 16);
    assert_eq!(answer.text, right);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_takes_over_and_corrects_orders_of_the_one_before() {
    let mut deployment = start(2).await;
    let fenced = |held: &Holding| held.token > FencingToken(0);
    // The first claim may have offset 0, so move on to a later one.
    wait_for(&deployment, "adopting the tokens", |held| !held.loading).await;
    let lost = first_holder(&deployment).await;
    deployment.nodes.remove(&lost).expect("it runs").kill();
    let left = deployment
        .nodes
        .keys()
        .next()
        .cloned()
        .expect("one is left");
    taken_over(&deployment, &left).await;
    wait_for(&deployment, "learning the new tokens", fenced).await;
    late_orders_do_not_last(&deployment).await;
}

/// Waits until a node holds a lease, and names it.
async fn first_holder(deployment: &Deployment) -> VmId {
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
    tokio::time::timeout(CAP, claimed).await.expect("a claim")
}

/// Waits until a node sees itself as the holder of all leases.
async fn taken_over(deployment: &Deployment, vm: &VmId) {
    let took_over = async {
        loop {
            let all = deployment.nodes[vm].node.host.read(|node| {
                let leases = node.tables().orders.leases.as_ref().expect("it follows");
                let rows = leases.rows().values();
                rows.clone().count() == 3 && rows.clone().all(|row| row.holder.vm == *vm)
            });
            if all {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(CAP, took_over)
        .await
        .expect("a takeover");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_was_paused_gives_no_late_order_that_lasts() {
    let deployment = start(2).await;
    wait_for(&deployment, "adopting the tokens", |held| !held.loading).await;
    let paused = first_holder(&deployment).await;
    let other = deployment.nodes.keys().find(|vm| **vm != paused);
    let other = other.cloned().expect("there are two");
    let pause = deployment.nodes[&paused].pause();
    taken_over(&deployment, &other).await;
    // The paused node still has the old version in force, and a lease that
    // it saw as its own when it was stopped.
    deployment.publish(&deployment.plan.batch_to_version("v2"));
    let moved = |held: &Holding| held.version == id("v2") && !held.loading;
    wait_for(&deployment, "loading", moved).await;
    let orders = |deployment: &Deployment| {
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
    let before = orders(&deployment);
    // With the log out, it can't read at once that its lease is over and that
    // there is a newer version.
    deployment.log.state.set_faults(vec![LogFault::Outage]);
    drop(pause);
    let resumed = async {
        let host = &deployment.nodes[&paused].node.host;
        while host.read(|node| !node.tables().ready || node.tables().config.revision().0 < 2) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(CAP, resumed)
        .await
        .expect("it resumes");
    // Several rounds of reading back, within which a late order would come.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(orders(&deployment), before, "orders for the old version");
    deployment.log.state.set_faults(Vec::new());
    wait_for(&deployment, "keeping the version", moved).await;
}

/// Sends every engine an order of an ended lease.
async fn late_orders_do_not_last(deployment: &Deployment) {
    let http = JsonClient::new().expect("a client");
    for (vm, held) in holdings(deployment).await {
        let order = Order {
            token: FencingToken(0),
            model: held.model,
            version: id("v0"),
            layers: held.layers,
            adapters: Vec::new(),
        };
        let address = deployment.engines[&vm].addr;
        let reply = http.post::<_, OrderReply>(address, ORDER_PATH, &order, WITHIN);
        let reply = reply.await.expect("the engine answers");
        let plan = deployment.plan.engines.iter().find(|plan| plan.vm == vm);
        let checks = plan.expect("it is planned").checks_tokens;
        assert_eq!(reply != OrderReply::Accepted, checks, "{vm}");
    }
    wait_for(deployment, "correcting", |held| {
        held.version == id("v1") && !held.loading && held.token > FencingToken(0)
    })
    .await;
}
