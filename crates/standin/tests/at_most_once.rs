//! Tests that non-idempotent requests run at most once on real nodes over
//! loopback, despite duplicate requests, failed nodes, lost replies and planned
//! stops. The invariant checker validates the records of each test.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use radishhaven_client::{Answer, Caller, RequestOptions};
use radishhaven_core::{
    ids::{RequestId, VmId},
    outcome::{NotRun, Outcome},
    tables::Tables,
};
use radishhaven_standin::{
    checker::{AnswerRecord, CallerRecord, RequestSpec, check},
    deployment::{Deployment, Plan, VERSION, id},
    engine::EngineFault,
    reference,
    service::ServiceFault,
};
use serde_json::json;

const NODES: [&str; 3] = ["node-0", "node-1", "node-2"];
const NOT_RUN: Option<Outcome> = Some(Outcome::NotRun(NotRun::NoCapacity));
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout for a node to reach an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_TOKENS: u32 = 24;
/// With several engines for a stage, a second dispatch likely reaches an engine
/// other than the first.
const ENGINES_PER_STAGE: usize = 3;

/// A deployment and the answers that its callers received.
struct Scenario {
    deployment: Deployment,
    caller: Caller,
    records: Vec<CallerRecord>,
}

impl Scenario {
    async fn start(settings: &str) -> Self {
        Self::start_with_replicas(settings, 1).await
    }

    /// Starts a deployment with `replicas` backend servers for each stage and for
    /// the service.
    async fn start_with_replicas(settings: &str, replicas: usize) -> Self {
        let mut plan = Plan::roster(NODES.len(), replicas);
        plan.settings = settings.to_owned();
        let deployment = Deployment::start(plan)
            .await
            .expect("the deployment starts");
        let scenario = Self {
            deployment,
            caller: Caller::new("small-firm").expect("the caller is created"),
            records: Vec::new(),
        };
        // Ids have two witnesses once all nodes have discovered each other.
        let serving = |t: &Tables| t.members.iter().filter(|(_, m)| m.is_serving()).count();
        for node in NODES {
            scenario
                .wait_until(node, |t| serving(t) + 1 == NODES.len())
                .await;
        }
        scenario
    }

    async fn wait_until(&self, node: &str, condition: impl Fn(&Tables) -> bool) {
        let host = &self.deployment.nodes[&id::<VmId>(node)].node.host;
        let deadline = Instant::now() + STATE_TIMEOUT;
        while !host.read(|node| condition(node.tables())) {
            assert!(
                Instant::now() < deadline,
                "{node} did not reach the expected state in time"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn issue_id(&self, node: &str) -> RequestId {
        let node = self.deployment.callers_address(node);
        let issued = self
            .caller
            .issue_ids(node, 1)
            .await
            .expect("the node issues ids");
        issued
            .ids
            .first()
            .cloned()
            .expect("the node returned an id")
    }

    async fn book(&mut self, node: &str, id: &RequestId) -> Answer {
        let node = self.deployment.callers_address(node);
        let answer = book(&self.caller, node, id).await;
        self.record(id, &answer);
        answer
    }

    fn record(&mut self, id: &RequestId, answer: &Answer) {
        let operation = "book".to_owned();
        self.record_as(id, RequestSpec::Call { operation }, answer);
    }

    fn record_as(&mut self, id: &RequestId, spec: RequestSpec, answer: &Answer) {
        let record = CallerRecord {
            id: Some(id.clone()),
            spec,
            idempotent: false,
            answers: vec![AnswerRecord::new(answer.clone())],
        };
        self.records.push(record);
    }

    async fn status(&self, node: &str, id: &RequestId) -> Option<Outcome> {
        let node = self.deployment.callers_address(node);
        let status = self.caller.status(node, id).await;
        status.expect("the node answers").outcome
    }

    fn count_runs(&self, id: &RequestId) -> usize {
        let services = self.deployment.services.values();
        let calls = services.flat_map(|service| service.state.records());
        calls.filter(|call| call.request == *id).count()
    }

    fn kill(&mut self, node: &str) {
        let node = self.deployment.nodes.remove(&id::<VmId>(node));
        node.expect("the node runs").kill();
    }

    fn set_faults(&self, faults: &[ServiceFault]) {
        for service in self.deployment.services.values() {
            service.state.set_faults(faults.to_vec());
        }
    }

    /// Asserts that the checker finds no violation in the records.
    fn assert_no_violations(&self) {
        let evidence = self.deployment.evidence(self.records.clone(), true);
        assert_eq!(check(&evidence), []);
    }
}

async fn book(caller: &Caller, node: SocketAddr, id: &RequestId) -> Answer {
    let ask = RequestOptions {
        id: Some(id.clone()),
        ..RequestOptions::default()
    };
    let body = json!({ "hearing": 12 });
    let sent = caller.call(node, &ask, "roster-desk", "book", &body).await;
    sent.expect("the node answers")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_through_every_node_at_once_runs_once() {
    let mut scenario = Scenario::start("").await;
    for home in NODES.iter().cycle().take(12) {
        let id = scenario.issue_id(home).await;
        let nodes = NODES.map(|node| scenario.deployment.callers_address(node));
        let [a, b, c] = nodes.map(|node| book(&scenario.caller, node, &id));
        let (a, b, c) = tokio::join!(a, b, c);
        for answer in [&a, &b, &c] {
            assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
            assert_eq!(answer.body, a.body);
            scenario.record(&id, answer);
        }
        assert_eq!(scenario.count_runs(&id), 1);
    }
    scenario.assert_no_violations();
}

/// Returns a completion request to the deployment's pipeline with a prompt that
/// the model answers with `MAX_TOKENS` tokens.
fn full_length_completion(scenario: &Scenario) -> RequestSpec {
    let plan = &scenario.deployment.plan;
    let model = id(plan.pipeline.as_str());
    let prompts = (0..).map(|n| format!("brief {n}"));
    let answer =
        |prompt: &str| reference::generate(&model, &id(VERSION), plan.layers, prompt, MAX_TOKENS);
    let mut long = prompts.filter(|prompt| answer(prompt).len() == MAX_TOKENS as usize);
    let prompt = long.next().expect("a prompt has an answer of full length");
    RequestSpec::Completion {
        model,
        version: id(VERSION),
        layers: plan.layers,
        prompt,
        max_tokens: MAX_TOKENS,
    }
}

/// Sends a non-idempotent completion request. Returns `None` if the connection
/// ends before the answer is complete.
async fn complete_once(
    caller: Caller,
    node: SocketAddr,
    id: RequestId,
    spec: RequestSpec,
) -> Option<Answer> {
    let RequestSpec::Completion { model, prompt, .. } = spec else {
        return None;
    };
    let ask = RequestOptions {
        id: Some(id),
        idempotent: Some(false),
        ..RequestOptions::default()
    };
    let pipeline = model.as_str().parse().expect("the name is valid");
    let sent = caller.complete(node, &ask, &pipeline, &prompt, MAX_TOKENS);
    sent.await.ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_sent_through_every_node_at_once_runs_once() {
    let mut scenario = Scenario::start_with_replicas("", ENGINES_PER_STAGE).await;
    let spec = full_length_completion(&scenario);
    for home in NODES.iter().cycle().take(6) {
        let id = scenario.issue_id(home).await;
        let nodes = NODES.map(|node| scenario.deployment.callers_address(node));
        let [a, b, c] = nodes
            .map(|node| complete_once(scenario.caller.clone(), node, id.clone(), spec.clone()));
        let (a, b, c) = tokio::join!(a, b, c);
        for answer in [a, b, c] {
            let answer = answer.expect("the node answers");
            assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
            assert_eq!(answer.text, spec.expected_text());
            scenario.record_as(&id, spec.clone(), &answer);
        }
    }
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_whose_node_is_lost_is_not_run_again() {
    let mut scenario = Scenario::start_with_replicas("", ENGINES_PER_STAGE).await;
    let spec = full_length_completion(&scenario);
    for engine in scenario.deployment.engines.values() {
        let slow = EngineFault::Slow { factor: 40.0 };
        engine.state.set_faults(vec![slow]);
    }
    let id = scenario.issue_id("node-0").await;
    let node = scenario.deployment.callers_address("node-0");
    let first = complete_once(scenario.caller.clone(), node, id.clone(), spec.clone());
    let first = tokio::spawn(first);
    scenario
        .wait_until("node-0", |t| t.counters.tokens > 0)
        .await;
    scenario.kill("node-0");
    let interrupted = first.await.expect("the caller's task ends");
    assert_eq!(interrupted.and_then(|answer| answer.outcome), None);
    for node in ["node-1", "node-2", "node-1"] {
        let node = scenario.deployment.callers_address(node);
        let again = complete_once(scenario.caller.clone(), node, id.clone(), spec.clone());
        let answer = again.await.expect("the node answers");
        assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
        scenario.record_as(&id, spec.clone(), &answer);
    }
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unused_id_of_a_lost_node_is_answered_as_not_run() {
    let mut scenario = Scenario::start("").await;
    let id = scenario.issue_id("node-0").await;
    scenario.kill("node-0");
    let answer = scenario.book("node-1", &id).await;
    assert_eq!(answer.outcome, NOT_RUN, "{answer:?}");
    assert!(answer.retry_after.is_some());
    assert_eq!(scenario.status("node-2", &id).await, NOT_RUN);
    let next = scenario.issue_id("node-1").await;
    let answer = scenario.book("node-2", &next).await;
    assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_does_not_run_an_id_of_its_former_process() {
    let mut scenario = Scenario::start("").await;
    let id = scenario.issue_id("node-0").await;
    scenario.kill("node-0");
    let (vm, domain) = scenario.deployment.plan.nodes[0].clone();
    let started = scenario.deployment.start_node(&vm, &domain);
    started.expect("the node restarts");
    scenario
        .deployment
        .wait_until_ready()
        .await
        .expect("the node becomes ready");
    let answer = scenario.book("node-0", &id).await;
    assert_eq!(answer.outcome, NOT_RUN, "{answer:?}");
    assert_eq!(scenario.count_runs(&id), 0);
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_a_request_survives_the_loss_of_its_node() {
    let mut scenario = Scenario::start("").await;
    let id = scenario.issue_id("node-0").await;
    let first = scenario.book("node-0", &id).await;
    assert_eq!(first.outcome, Some(Outcome::Completed), "{first:?}");
    for witness in ["node-1", "node-2"] {
        let witnessed = |t: &Tables| t.counters.once_messages >= 2;
        scenario.wait_until(witness, witnessed).await;
    }
    scenario.kill("node-0");
    let second = scenario.book("node-1", &id).await;
    assert_eq!(second.outcome, Some(Outcome::Completed), "{second:?}");
    assert_eq!(second.body, first.body);
    assert_eq!(
        scenario.status("node-2", &id).await,
        Some(Outcome::Completed)
    );
    assert_eq!(scenario.count_runs(&id), 1);
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_has_an_unknown_outcome_when_its_node_is_lost_during_the_run() {
    let mut scenario = Scenario::start("").await;
    scenario.set_faults(&[ServiceFault::Stall]);
    let id = scenario.issue_id("node-0").await;
    let node = scenario.deployment.callers_address("node-0");
    let first = tokio::spawn({
        let (caller, id) = (scenario.caller.clone(), id.clone());
        async move {
            let ask = RequestOptions {
                id: Some(id),
                ..RequestOptions::default()
            };
            let body = json!({ "hearing": 12 });
            caller.call(node, &ask, "roster-desk", "book", &body).await
        }
    });
    let dispatched = |t: &Tables| t.backends.iter().any(|backend| backend.in_flight > 0);
    scenario.wait_until("node-0", dispatched).await;
    scenario.kill("node-0");
    assert!(first.await.expect("the caller's task ends").is_err());
    for node in ["node-1", "node-2", "node-1"] {
        let answer = scenario.book(node, &id).await;
        assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
        assert_eq!(scenario.status(node, &id).await, Some(Outcome::Unknown));
    }
    scenario.set_faults(&[]);
    let next = scenario.issue_id("node-2").await;
    let answer = scenario.book("node-1", &next).await;
    assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
    assert!(scenario.count_runs(&id) <= 1);
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_service_reply_leads_to_an_unknown_outcome_and_no_retry() {
    let mut scenario = Scenario::start("").await;
    scenario.set_faults(&[ServiceFault::LoseReplyNext { n: 1 }]);
    let id = scenario.issue_id("node-0").await;
    for node in NODES {
        let answer = scenario.book(node, &id).await;
        assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
        assert_eq!(scenario.status(node, &id).await, Some(Outcome::Unknown));
    }
    assert_eq!(scenario.count_runs(&id), 1);
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn ids_of_a_node_that_shuts_down_are_answered_by_others() {
    let mut scenario = Scenario::start("[directory]\nkeep_ms = 3000\n").await;
    let unused = scenario.issue_id("node-0").await;
    let mut ids = Vec::new();
    for _ in 0..20 {
        ids.push(scenario.issue_id("node-0").await);
    }
    let leaving = scenario.deployment.nodes.remove(&id::<VmId>("node-0"));
    let drained = tokio::spawn(leaving.expect("the node runs").drain());
    for (n, id) in ids.iter().enumerate() {
        let answer = scenario.book(NODES[1 + n % 2], id).await;
        assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
    }
    assert!(drained.await.expect("the node stops"));
    for (n, id) in ids.iter().enumerate() {
        let node = NODES[1 + n % 2];
        let status = scenario.status(node, id).await;
        assert_eq!(status, Some(Outcome::Completed));
        let answer = scenario.book(node, id).await;
        assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
        assert_eq!(scenario.count_runs(id), 1);
    }
    let answer = scenario.book("node-1", &unused).await;
    assert_eq!(answer.outcome, NOT_RUN, "{answer:?}");
    scenario.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_no_node_issued_is_refused_with_the_path_that_issues_ids() {
    let mut scenario = Scenario::start("").await;
    let chosen = id::<RequestId>("booking-12");
    let answer = scenario.book("node-0", &chosen).await;
    let refused = Outcome::NotRun(NotRun::BadRequest);
    assert_eq!(answer.outcome, Some(refused), "{answer:?}");
    assert!(answer.message.contains("POST /v1/request-ids"));
    let issued = scenario.issue_id("node-0").await;
    let altered = issued.as_str().replacen("node-1", "node-9", 1);
    let answer = scenario.book("node-0", &id(&altered)).await;
    assert_eq!(answer.outcome, Some(refused), "{answer:?}");
    scenario.assert_no_violations();
}
