//! Tests of callers that disconnect, exceed their deadline or read slowly.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use radishhaven_client::{Answer, Caller, RequestOptions};
use radishhaven_core::{ids::RequestId, outcome::Outcome};
use radishhaven_proto::caller::{COMPLETIONS_PATH, CompletionRequest};
use radishhaven_standin::{
    deployment::{Deployment, Plan, VERSION, id},
    engine::{EngineFault, EngineRecord},
    reference,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Time within which a node must have no open requests left.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Factor by which engines are slowed down, so that no answer completes within a
/// second.
const SLOW_FACTOR: f64 = 40.0;
const MAX_TOKENS: u32 = 40;

async fn slow_deployment() -> Deployment {
    let plan = Plan::bitacora(1, 1);
    let deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    for engine in deployment.engines.values() {
        let factor = SLOW_FACTOR;
        engine.state.set_faults(vec![EngineFault::Slow { factor }]);
    }
    deployment
}

/// Returns a prompt that the model answers with exactly `tokens` tokens.
fn long_prompt(deployment: &Deployment, tokens: u32) -> String {
    let model = id(deployment.plan.pipeline.as_str());
    let prompts = (0..).map(|n| format!("trip {n} to the depot"));
    let answer = |prompt: &str| {
        reference::generate(&model, &id(VERSION), deployment.plan.layers, prompt, tokens)
    };
    let mut long = prompts.filter(|prompt| answer(prompt).len() == tokens as usize);
    long.next().expect("a prompt has an answer of full length")
}

async fn complete_long_prompt(deployment: &Deployment, ask: &RequestOptions) -> Answer {
    let caller = Caller::new("small-firm").expect("the caller is created");
    let node = deployment.callers_address("node-0");
    let prompt = long_prompt(deployment, MAX_TOKENS);
    let pipeline = &deployment.plan.pipeline;
    let sent = caller.complete(node, ask, pipeline, &prompt, MAX_TOKENS);
    sent.await.expect("the node answers")
}

async fn wait_until_idle(deployment: &Deployment) {
    let host = &deployment.nodes[&id("node-0")].node.host;
    let begun = Instant::now();
    while !host.read(|node| node.tables().requests.is_empty()) {
        assert!(begun.elapsed() < IDLE_TIMEOUT, "a request is still open");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the requests that started sessions, and the numbers of started and of
/// cancelled sessions.
fn count_sessions(deployment: &Deployment) -> (BTreeSet<RequestId>, usize, usize) {
    let mut requests = BTreeSet::new();
    let (mut started, mut cancelled) = (0, 0);
    for record in deployment.engines.values().flat_map(|e| e.state.records()) {
        match record {
            EngineRecord::SessionStarted(session) => {
                started += 1;
                requests.insert(session.session.request);
            }
            EngineRecord::Cancelled(_) => cancelled += 1,
            _ => {}
        }
    }
    (requests, started, cancelled)
}

async fn wait_until_cancelled(deployment: &Deployment) {
    let begun = Instant::now();
    loop {
        let (requests, started, cancelled) = count_sessions(deployment);
        if started > 0 && cancelled >= 3 {
            assert_eq!(requests.len(), 1);
            return;
        }
        assert!(
            begun.elapsed() < IDLE_TIMEOUT,
            "{started} started, {cancelled} cancelled"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_stops_at_every_stage_when_the_caller_disconnects() {
    let deployment = slow_deployment().await;
    let ask = RequestOptions::default();
    let sent = tokio::time::timeout(
        Duration::from_millis(300),
        complete_long_prompt(&deployment, &ask),
    );
    assert!(sent.await.is_err(), "the answer completed too early");
    wait_until_idle(&deployment).await;
    wait_until_cancelled(&deployment).await;
    let runs = || -> usize {
        deployment
            .engines
            .values()
            .map(|e| e.state.runs().len())
            .sum()
    };
    let stopped = runs();
    assert!(
        stopped < 3 * MAX_TOKENS as usize,
        "all {stopped} steps were run"
    );
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(runs(), stopped);
}

#[tokio::test(flavor = "multi_thread")]
async fn work_stops_at_the_deadline_and_the_caller_gets_the_outcome() {
    let deployment = slow_deployment().await;
    let ask = RequestOptions {
        deadline_ms: Some(200),
        ..RequestOptions::default()
    };
    let answer = complete_long_prompt(&deployment, &ask).await;
    assert_eq!(answer.outcome, Some(Outcome::Failed), "{}", answer.message);
    assert!(answer.text.len() < MAX_TOKENS as usize);
    wait_until_cancelled(&deployment).await;
}

/// Sends a completion request over a connection with a small receive buffer, and
/// returns the connection without reading the answer.
async fn send_without_reading(deployment: &Deployment, tokens: u32, id: &str) -> TcpStream {
    let req = CompletionRequest {
        model: deployment.plan.pipeline.clone(),
        prompt: long_prompt(deployment, tokens),
        max_tokens: tokens,
        stream: true,
    };
    let body = serde_json::to_string(&req).expect("the body is encoded");
    let head = format!(
        "POST {COMPLETIONS_PATH} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer small-firm\r\n\
         x-request-id: {id}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let socket = TcpSocket::new_v4().expect("the socket is created");
    socket
        .set_recv_buffer_size(4_096)
        .expect("the buffer is set");
    let node = deployment.callers_address("node-0");
    let mut slow = socket.connect(node).await.expect("the node listens");
    slow.write_all((head + &body).as_bytes())
        .await
        .expect("the request is sent");
    slow
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_pause_for_a_caller_that_does_not_read() {
    const TOKENS: u32 = 400;
    let mut plan = Plan::bitacora(1, 1);
    plan.settings =
        "[flow]\nmax_unread_parts = 8\n[callers]\nsend_buffer_bytes = 4096\n".to_owned();
    let deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    // Each event contains the request id, so a long id fills the connection early.
    let mut slow = send_without_reading(&deployment, TOKENS, &"r".repeat(600)).await;
    let host = &deployment.nodes[&id("node-0")].node.host;
    let counters = || host.read(|node| node.tables().counters.clone());
    let begun = Instant::now();
    while counters().holds == 0 {
        assert!(begun.elapsed() < IDLE_TIMEOUT, "{:?}", counters());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let generated = counters().tokens;
    assert!(
        generated < u64::from(TOKENS),
        "all {generated} tokens were generated"
    );
    for _ in 0..3 {
        let answer = complete_long_prompt(&deployment, &RequestOptions::default()).await;
        assert_eq!(answer.outcome, Some(Outcome::Completed));
    }
    assert_eq!(counters().tokens, generated + 3 * u64::from(MAX_TOKENS));
    let mut text = String::new();
    slow.read_to_string(&mut text)
        .await
        .expect("the answer is complete");
    assert!(text.contains("event: done"), "{text}");
    assert_eq!(text.matches("event: delta").count(), TOKENS as usize);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_delays_no_other_caller() {
    let plan = Plan::bitacora(1, 1);
    let deployment = Deployment::start(plan)
        .await
        .expect("the deployment starts");
    let mut slow = send_without_reading(&deployment, MAX_TOKENS, "slow").await;
    for _ in 0..3 {
        let answer = complete_long_prompt(&deployment, &RequestOptions::default()).await;
        assert_eq!(answer.outcome, Some(Outcome::Completed));
    }
    // The node finishes the slow caller's request before the caller reads a byte.
    wait_until_idle(&deployment).await;
    let mut text = String::new();
    slow.read_to_string(&mut text)
        .await
        .expect("the answer is complete");
    assert!(text.contains("event: done"), "{text}");
    assert_eq!(text.matches("event: delta").count(), MAX_TOKENS as usize);
}
