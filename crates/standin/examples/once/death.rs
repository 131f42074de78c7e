//! What becomes of requests whose home is killed under load.

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

const ROUNDS: usize = 10;
const CALLERS: usize = 16;
const TRIES: usize = 6;
const BEFORE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(2);

/// The ends of requests of one home, as their callers saw them.
#[derive(Debug, Default)]
struct Ends {
    first_try: BTreeMap<String, u32>,
    retried: BTreeMap<String, u32>,
}

/// Kills one of three nodes under load, several times, and prints the ends of
/// the requests whose home it was.
pub async fn run() -> Result<(), DeploymentError> {
    let mut sum = Ends::default();
    for _ in 0..ROUNDS {
        let ends = round().await?;
        for (outcome, count) in ends.first_try {
            *sum.first_try.entry(outcome).or_default() += count;
        }
        for (outcome, count) in ends.retried {
            *sum.retried.entry(outcome).or_default() += count;
        }
    }
    println!("requests of killed homes over {ROUNDS} kills, {CALLERS} callers:");
    println!("  answered at the first try: {:?}", sum.first_try);
    println!("  cut or refused at first, and then: {:?}", sum.retried);
    Ok(())
}

async fn round() -> Result<Ends, DeploymentError> {
    let mut deployment = Deployment::start(Plan::roster(3, 1)).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let over = Arc::new(AtomicBool::new(false));
    let nodes = ["node-0", "node-1", "node-2"].map(|node| deployment.callers_address(node));
    let tasks: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call_on(nodes, n, over.clone())))
        .collect();
    tokio::time::sleep(BEFORE).await;
    let killed = deployment.nodes.remove(&id::<VmId>("node-0"));
    killed.expect("the node runs").kill();
    tokio::time::sleep(AFTER).await;
    over.store(true, Ordering::Relaxed);
    let mut ends = Ends::default();
    for task in tasks {
        for (request, tries, outcome) in task.await.expect("a caller's task ends") {
            if !request.as_str().contains(":6:node-0:") || !is_home(&request) {
                continue;
            }
            let kinds = if tries == 1 {
                &mut ends.first_try
            } else {
                &mut ends.retried
            };
            let kind = outcome.map_or("no answer".to_owned(), |outcome| outcome.to_string());
            *kinds.entry(kind).or_default() += 1;
        }
    }
    Ok(ends)
}

fn is_home(request: &RequestId) -> bool {
    request.as_str().split(':').nth(4) == Some("node-0")
}

async fn call_on(
    nodes: [std::net::SocketAddr; 3],
    caller_number: usize,
    over: Arc<AtomicBool>,
) -> Vec<(RequestId, usize, Option<Outcome>)> {
    let caller = Caller::new("small-firm").expect("a caller can be made");
    let mut ends = Vec::new();
    let mut turn = caller_number;
    while !over.load(Ordering::Relaxed) {
        turn += 1;
        let Ok(minted) = caller.issue_ids(nodes[turn % 3], 1).await else {
            continue;
        };
        let Some(id) = minted.ids.first().cloned() else {
            continue;
        };
        let ask = RequestOptions {
            id: Some(id.clone()),
            ..RequestOptions::default()
        };
        let (mut tries, mut outcome) = (0, None);
        while tries < TRIES && !matches!(outcome, Some(o) if o != Outcome::Unknown) {
            let node = nodes[(turn + tries) % 3];
            tries += 1;
            let body = json!({ "turn": turn });
            let sent = caller.call(node, &ask, "roster-desk", "book", &body).await;
            outcome = sent.ok().and_then(|answer| answer.outcome).or(outcome);
        }
        ends.push((id, tries, outcome));
    }
    ends
}
