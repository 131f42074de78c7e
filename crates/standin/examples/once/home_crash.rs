//! Measures the outcomes of requests when their home node is killed under
//! load.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use radishhaven_client::{Caller, RequestOptions};
use radishhaven_core::{
    ids::{RequestId, VmId},
    outcome::Outcome,
};
use radishhaven_standin::deployment::{Deployment, DeploymentError, Plan, id};
use serde_json::json;

/// Number of kills, each in a deployment of its own.
const ROUNDS: usize = 10;
/// Number of concurrent callers.
const CALLERS: usize = 16;
/// Maximum number of attempts of a call.
const MAX_ATTEMPTS: usize = 6;
/// Time under load before the kill.
const LOAD_BEFORE_KILL: Duration = Duration::from_secs(2);
/// Time under load after the kill.
const LOAD_AFTER_KILL: Duration = Duration::from_secs(2);

/// Number of requests of the killed home by the outcome that callers received.
#[derive(Debug, Default)]
struct OutcomeCounts {
    /// Requests that were answered at the first attempt.
    first_attempt: BTreeMap<String, u32>,
    /// Requests that needed more than one attempt.
    retried: BTreeMap<String, u32>,
}

/// Kills one of three nodes under load in each of several rounds and prints
/// the outcomes of the requests whose home node it was.
///
/// # Errors
///
/// Returns an error if a deployment cannot be started.
pub async fn run() -> Result<(), DeploymentError> {
    let mut sum = OutcomeCounts::default();
    for _ in 0..ROUNDS {
        let outcomes = round().await?;
        for (outcome, count) in outcomes.first_attempt {
            *sum.first_attempt.entry(outcome).or_default() += count;
        }
        for (outcome, count) in outcomes.retried {
            *sum.retried.entry(outcome).or_default() += count;
        }
    }
    println!("requests of killed homes over {ROUNDS} kills, {CALLERS} callers:");
    println!("  answered at the first try: {:?}", sum.first_attempt);
    println!("  cut or refused at first, and then: {:?}", sum.retried);
    Ok(())
}

/// Runs a deployment under load, kills `node-0` and returns the outcomes of
/// the requests whose home it was.
async fn round() -> Result<OutcomeCounts, DeploymentError> {
    let mut deployment = Deployment::start(Plan::roster(3, 1)).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let over = Arc::new(AtomicBool::new(false));
    let nodes = ["node-0", "node-1", "node-2"].map(|node| deployment.callers_address(node));
    let tasks: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call_until_over(nodes, n, over.clone())))
        .collect();
    tokio::time::sleep(LOAD_BEFORE_KILL).await;
    let killed = deployment.nodes.remove(&id::<VmId>("node-0"));
    killed.expect("the node runs").kill();
    tokio::time::sleep(LOAD_AFTER_KILL).await;
    over.store(true, Ordering::Relaxed);
    let mut outcomes = OutcomeCounts::default();
    for task in tasks {
        for (request, attempts, outcome) in task.await.expect("a caller's task ends") {
            if !request.as_str().contains(":6:node-0:") || !is_home(&request) {
                continue;
            }
            let counts = if attempts == 1 {
                &mut outcomes.first_attempt
            } else {
                &mut outcomes.retried
            };
            let name = outcome.map_or("no answer".to_owned(), |outcome| outcome.to_string());
            *counts.entry(name).or_default() += 1;
        }
    }
    Ok(outcomes)
}

/// Returns whether the home field of an id is `node-0`.
fn is_home(request: &RequestId) -> bool {
    request.as_str().split(':').nth(4) == Some("node-0")
}

/// Sends bookings to the nodes in round-robin order until `over` is set;
/// returns the id, the number of attempts and the outcome of each.
async fn call_until_over(
    nodes: [std::net::SocketAddr; 3],
    caller_number: usize,
    over: Arc<AtomicBool>,
) -> Vec<(RequestId, usize, Option<Outcome>)> {
    let caller = Caller::new("small-firm").expect("the client can be created");
    let mut outcomes = Vec::new();
    let mut round = caller_number;
    while !over.load(Ordering::Relaxed) {
        round += 1;
        let Ok(issued) = caller.issue_ids(nodes[round % 3], 1).await else {
            continue;
        };
        let Some(id) = issued.ids.first().cloned() else {
            continue;
        };
        let ask = RequestOptions {
            id: Some(id.clone()),
            ..RequestOptions::default()
        };
        let (mut attempts, mut outcome) = (0, None);
        while attempts < MAX_ATTEMPTS && !matches!(outcome, Some(o) if o != Outcome::Unknown) {
            let node = nodes[(round + attempts) % 3];
            attempts += 1;
            let body = json!({ "turn": round });
            let sent = caller.call(node, &ask, "roster-desk", "book", &body).await;
            outcome = sent.ok().and_then(|answer| answer.outcome).or(outcome);
        }
        outcomes.push((id, attempts, outcome));
    }
    outcomes
}
