//! Tests of configuration batches on real nodes: apply, concurrent batches, lost
//! replies and an outage of the log.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, header::AUTHORIZATION};
use radishhaven_client::{HttpError, JsonClient};
use radishhaven_core::{
    config::{BatchRefusal, BatchResult},
    ids::Revision,
    language::{Answer, DigestMatch},
};
use radishhaven_proto::operator::{
    APPLY_PATH, Applied, ApplyOutcome, NODES_PATH, Nodes, PLAN_PATH, Planned, QUERY_PATH,
};
use radishhaven_standin::{
    deployment::{Deployment, Plan, id},
    log::LogFault,
};
use serde::de::DeserializeOwned;

const TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn start(plan: Plan) -> Deployment {
    Deployment::start(plan)
        .await
        .expect("the deployment starts")
}

fn operators_address(deployment: &Deployment, vm: &str) -> SocketAddr {
    deployment.nodes[&id(vm)].node.operators_address
}

async fn post<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
    text: &str,
) -> Result<T, HttpError> {
    let http = JsonClient::new().expect("the client is created");
    let (headers, body) = (HeaderMap::new(), text.as_bytes().to_vec());
    http.exchange_with(Method::POST, node, path, headers, body, TIMEOUT)
        .await
}

async fn apply(node: SocketAddr, text: &str) -> ApplyOutcome {
    let applied: Applied = post(node, APPLY_PATH, text)
        .await
        .expect("the node answers");
    applied.outcome
}

/// Returns the revision of an accepted batch, `None` for any other outcome.
fn accepted_revision(outcome: &ApplyOutcome) -> Option<Revision> {
    match outcome {
        ApplyOutcome::Decided(BatchResult::Accepted(at)) => Some(*at),
        _ => None,
    }
}

/// Waits until all nodes report that they have the revision, as the command-line
/// tool does.
async fn wait_until_applied(node: SocketAddr, at: Revision) -> Nodes {
    let http = JsonClient::new().expect("the client is created");
    let begun = Instant::now();
    loop {
        let nodes: Nodes = http.get(node, NODES_PATH, TIMEOUT).await.expect("nodes");
        let has = nodes
            .nodes
            .iter()
            .all(|n| n.revision.is_some_and(|r| r >= at));
        if has && !nodes.nodes.is_empty() {
            return nodes;
        }
        assert!(begun.elapsed() < TIMEOUT, "{nodes:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn digests(deployment: &Deployment) -> BTreeSet<String> {
    let digest = |n: &radishhaven_standin::deployment::NodeProcess| {
        n.node
            .host
            .read(|node| node.tables().config.digest().to_string())
    };
    deployment.nodes.values().map(digest).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_is_planned_and_applied_on_all_nodes() {
    let deployment = start(Plan::bitacora(3, 1)).await;
    let node = operators_address(&deployment, "node-1");
    let text = "batch lift { set organisation small-firm { share = 7 } }";
    let planned: Planned = post(node, PLAN_PATH, text)
        .await
        .expect("the node returns a plan");
    assert_eq!((planned.refusal, planned.differences.len()), (None, 1));
    let at = accepted_revision(&apply(node, text).await).expect("the batch is accepted");
    let nodes = wait_until_applied(operators_address(&deployment, "node-2"), at).await;
    assert!(nodes.nodes.iter().all(|n| n.digest != DigestMatch::Differs));
    let query = "show organisation where share = 7";
    let answer: Answer = post(node, QUERY_PATH, query)
        .await
        .expect("the node answers");
    assert_eq!(answer.rows.len(), 1, "{answer:?}");
    // Applying the same file again, through another node, returns the same batch.
    let again = apply(operators_address(&deployment, "node-0"), text).await;
    assert_eq!(accepted_revision(&again), Some(at));
    let other = apply(
        node,
        "batch lift { set organisation small-firm { share = 8 } }",
    )
    .await;
    assert!(matches!(
        other,
        ApplyOutcome::Decided(BatchResult::Refused(_, BatchRefusal::IdTaken(_)))
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_append_reply_is_resolved_by_the_batch_id() {
    let deployment = start(Plan::bitacora(3, 1)).await;
    deployment
        .log
        .state
        .set_faults(vec![LogFault::LoseAckNext { n: 1 }]);
    let node = operators_address(&deployment, "node-0");
    let text = "batch lost { set organisation small-firm { share = 3 } }";
    let outcome = apply(node, text).await;
    assert!(accepted_revision(&outcome).is_some(), "{outcome:?}");
    let records = deployment.log.state.read("config", 0, 100).records;
    let with_id = records.iter().filter(|r| r.body.contains("\"lost\""));
    assert_eq!(with_id.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_batch_is_reported_as_accepted_during_a_log_outage() {
    let mut deployment = start(Plan::bitacora(3, 1)).await;
    deployment.log.state.set_faults(vec![LogFault::Outage]);
    let node = operators_address(&deployment, "node-0");
    let text = "batch out { set organisation small-firm { share = 3 } }";
    let outcome = apply(node, text).await;
    assert!(
        matches!(outcome, ApplyOutcome::Unknown | ApplyOutcome::NotAppended),
        "{outcome:?}"
    );
    // A killed node that restarts loads the configuration from its peers.
    let (vm, domain) = deployment.plan.nodes[1].clone();
    deployment.nodes.remove(&vm).expect("the node runs").kill();
    deployment
        .start_node(&vm, &domain)
        .expect("the node starts");
    let begun = Instant::now();
    let ready = |deployment: &Deployment| {
        let host = &deployment.nodes[&vm].node.host;
        host.read(|node| node.tables().ready)
    };
    while !ready(&deployment) {
        assert!(begun.elapsed() < TIMEOUT, "the node is not ready");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(digests(&deployment).len(), 1);
    deployment.log.state.set_faults(Vec::new());
    let at = accepted_revision(&apply(node, text).await).expect("the batch is accepted");
    wait_until_applied(node, at).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_batches_are_neither_lost_nor_duplicated() {
    let deployment = start(Plan::roster(3, 1)).await;
    let nodes: Vec<SocketAddr> = deployment
        .nodes
        .values()
        .map(|n| n.node.operators_address)
        .collect();
    // Every tenth batch changes the same object as the batch before it.
    let text = |n: usize| {
        let model = n - usize::from(n % 10 == 9);
        format!(
            "batch lift-{n} {{ put model m-{model} {{ layers = {} }} }}",
            n % 7 + 1
        )
    };
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..60 {
        let (node, text) = (nodes[n % nodes.len()], text(n));
        tasks.spawn(async move { (n, apply(node, &text).await) });
    }
    let outcomes = tasks.join_all().await;
    assert!(
        outcomes
            .iter()
            .all(|(_, o)| matches!(o, ApplyOutcome::Decided(_)))
    );
    let accepted: BTreeSet<Revision> = outcomes
        .iter()
        .filter_map(|(_, o)| accepted_revision(o))
        .collect();
    let count = outcomes
        .iter()
        .filter(|(_, o)| accepted_revision(o).is_some())
        .count();
    assert_eq!(accepted.len(), count, "a revision belongs to one batch");
    assert!(count >= 54, "{count} were accepted");
    let last = accepted
        .last()
        .copied()
        .expect("at least one batch is accepted");
    wait_until_applied(nodes[0], last).await;
    assert_eq!(digests(&deployment).len(), 1);
    let models = |node: &radishhaven_core::node::Node| {
        let keys = node.tables().config.objects().keys();
        keys.filter(|key| key.to_string().starts_with("model/m-"))
            .count()
    };
    let found = deployment.nodes[&id("node-0")].node.host.read(models);
    assert_eq!(found, 54);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_without_the_token_are_refused() {
    let mut plan = Plan::bitacora(1, 1);
    // The SHA-256 of "lift".
    let digest = "5364b92e50b1944f33d10f662b1c90a18a004ed8da1434376c41cde8f920aede";
    plan.settings = format!("[operators]\ntoken_sha256 = {digest}\n");
    let deployment = start(plan).await;
    let node = operators_address(&deployment, "node-0");
    let text = "batch b { set organisation small-firm { share = 3 } }";
    let refused = post::<Applied>(node, APPLY_PATH, text).await;
    assert!(matches!(refused, Err(HttpError::Status { status, .. }) if status == 401));
    let http = JsonClient::new().expect("the client is created");
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, HeaderValue::from_static("Bearer lift"));
    let nodes = http
        .exchange_with::<Nodes>(Method::GET, node, NODES_PATH, headers, Vec::new(), TIMEOUT)
        .await;
    assert_eq!(nodes.map(|n| n.nodes.len()).ok(), Some(1));
}
