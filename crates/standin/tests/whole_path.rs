//! End-to-end tests with callers, real nodes and fake servers on loopback.

use radishhaven_client::{Answer, Caller, RequestOptions};
use radishhaven_core::outcome::{NotRun, Outcome};
use radishhaven_standin::{
    deployment::{Deployment, Plan, VERSION, id},
    reference,
};
use serde_json::json;

const PROMPT: &str = "three stops in pocitos, then the depot";
const MAX_TOKENS: u32 = 32;

fn expected_answer(plan: &Plan) -> String {
    let model = id(plan.pipeline.as_str());
    reference::generate(&model, &id(VERSION), plan.layers, PROMPT, MAX_TOKENS)
}

async fn complete_prompt(deployment: &Deployment, node: &str) -> Answer {
    let caller = Caller::new("small-firm").expect("the caller is created");
    let node = deployment.callers_address(node);
    let pipeline = &deployment.plan.pipeline;
    let answer = caller
        .complete(
            node,
            &RequestOptions::default(),
            pipeline,
            PROMPT,
            MAX_TOKENS,
        )
        .await;
    answer.expect("the node answers")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_through_any_node_equals_the_reference() {
    let deployment = Deployment::start(Plan::bitacora(3, 2))
        .await
        .expect("the deployment starts");
    for node in ["node-0", "node-1", "node-2"] {
        let answer = complete_prompt(&deployment, node).await;
        assert_eq!(answer.outcome, Some(Outcome::Completed));
        assert_eq!(answer.text, expected_answer(&deployment.plan));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_after_a_node_is_lost() {
    let mut deployment = Deployment::start(Plan::roster(3, 2))
        .await
        .expect("the deployment starts");
    let lost = id("node-1");
    deployment
        .nodes
        .remove(&lost)
        .expect("the node runs")
        .kill();
    for node in ["node-0", "node-2"] {
        let answer = complete_prompt(&deployment, node).await;
        assert_eq!(answer.outcome, Some(Outcome::Completed));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_engine_that_is_still_listed_does_not_break_the_answer() {
    let mut deployment = Deployment::start(Plan::bitacora(1, 2))
        .await
        .expect("the deployment starts");
    for lost in ["engine-0", "engine-4"] {
        deployment
            .engines
            .remove(&id(lost))
            .expect("the engine runs")
            .kill();
    }
    let answer = complete_prompt(&deployment, "node-0").await;
    assert_eq!(answer.outcome, Some(Outcome::Completed));
    assert_eq!(answer.text, expected_answer(&deployment.plan));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_when_it_is_sent_twice() {
    let deployment = Deployment::start(Plan::roster(1, 1))
        .await
        .expect("the deployment starts");
    let caller = Caller::new("large-firm").expect("the caller is created");
    let node = deployment.callers_address("node-0");
    let ids = caller
        .issue_ids(node, 1)
        .await
        .expect("the node issues ids")
        .ids;
    let ask = RequestOptions {
        id: ids.first().cloned(),
        ..RequestOptions::default()
    };
    let service = deployment.plan.service.as_str();
    for _ in 0..2 {
        let sent = caller
            .call(node, &ask, service, "book", &json!({ "hearing": 12 }))
            .await;
        sent.expect("the node answers");
    }
    let runs: usize = deployment
        .services
        .values()
        .map(|s| s.state.records().len())
        .sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_state_the_reason() {
    let deployment = Deployment::start(Plan::bitacora(1, 1))
        .await
        .expect("the deployment starts");
    let node = deployment.callers_address("node-0");
    let stranger = Caller::new("nobody").expect("the caller is created");
    let sent = stranger
        .complete(node, &RequestOptions::default(), &id("dictado"), PROMPT, 1)
        .await;
    let answer = sent.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::NotRun(NotRun::Unauthorised)));
    let caller = Caller::new("small-firm").expect("the caller is created");
    let sent = caller
        .complete(node, &RequestOptions::default(), &id("nothing"), PROMPT, 1)
        .await;
    let answer = sent.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::NotRun(NotRun::BadRequest)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_receives_the_time_left_until_the_deadline() {
    let deployment = Deployment::start(Plan::roster(1, 1))
        .await
        .expect("the deployment starts");
    let caller = Caller::new("small-firm").expect("the caller is created");
    let ask = RequestOptions {
        deadline_ms: Some(4_000),
        ..RequestOptions::default()
    };
    let node = deployment.callers_address("node-0");
    let body = json!({ "hearing": 12 });
    let sent = caller.call(node, &ask, "roster-desk", "book", &body).await;
    let answer = sent.expect("the node answers");
    assert_eq!(answer.outcome, Some(Outcome::Completed));
    let services = deployment.services.values();
    let calls: Vec<_> = services.flat_map(|s| s.state.records()).collect();
    let left: Vec<Option<u64>> = calls.iter().map(|call| call.deadline_ms).collect();
    assert!(matches!(left[..], [Some(1..=4_000)]), "{left:?}");
}
