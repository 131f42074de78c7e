//! The day a freeze lifts: many operators apply batches at once, through all
//! nodes of a deployment on loopback.
//!
//! Prints how many were accepted, refused and in doubt, whether any was lost
//! or doubled, whether all nodes are equal, and the time from a batch's place
//! in the log until it was in force at all nodes.

use std::{
    collections::BTreeSet,
    error::Error,
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use clap::{Arg, Command, value_parser};
use http::{HeaderMap, Method};
use radishhaven_client::JsonClient;
use radishhaven_core::{config::BatchResult, ids::Revision};
use radishhaven_proto::{
    operator::{APPLY_PATH, Applied, ApplyOutcome},
    platform::CONFIG_STREAM,
};
use radishhaven_standin::deployment::{Deployment, Plan};
use radishhavend::host::Host;

const NODES: usize = 9;
const WITHIN: Duration = Duration::from_secs(30);
/// Time between two looks at log and nodes.
const LOOK_EVERY: Duration = Duration::from_millis(1);

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let matches = Command::new("freeze_lift")
        .about("Racing batches over nodes on loopback")
        .arg(number("batches", "500", "Number of batches"))
        .arg(number(
            "operators",
            "20",
            "Operators that apply at one time",
        ))
        .get_matches();
    let value = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    match runtime.block_on(run(value("batches"), value("operators"))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("freeze_lift: {error}");
            ExitCode::FAILURE
        }
    }
}

/// One look: the log's end and the lowest revision of all nodes.
struct Look {
    at: Instant,
    end: u64,
    lowest: u64,
}

async fn run(batches: u64, operators: u64) -> Result<bool, Box<dyn Error>> {
    let deployment = Arc::new(Deployment::start(Plan::bitacora(NODES, 2)).await?);
    let nodes: Vec<SocketAddr> = deployment
        .nodes
        .values()
        .map(|node| node.node.operators_address)
        .collect();
    let begun = Instant::now();
    let looks = tokio::spawn(watch(deployment.clone()));
    let mut tasks = tokio::task::JoinSet::new();
    for operator in 0..operators {
        let nodes = nodes.clone();
        let own = (0..batches).filter(move |n| n % operators == operator);
        tasks.spawn(async move {
            let http = JsonClient::new().expect("a client can be made");
            let mut outcomes = Vec::new();
            for n in own {
                let node = nodes[n as usize % nodes.len()];
                outcomes.push(apply(&http, node, n).await);
            }
            outcomes
        });
    }
    let outcomes: Vec<Option<ApplyOutcome>> =
        tasks.join_all().await.into_iter().flatten().collect();
    let took = begun.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    looks.abort();
    let looks = LOOKS.lock().expect("nobody panicked").split_off(0);
    Ok(report(&deployment, &outcomes, took, &looks))
}

static LOOKS: std::sync::Mutex<Vec<Look>> = std::sync::Mutex::new(Vec::new());

async fn watch(deployment: Arc<Deployment>) {
    let hosts: Vec<Arc<Host>> = deployment
        .nodes
        .values()
        .map(|node| node.node.host.clone())
        .collect();
    loop {
        let end = deployment.log.state.read(CONFIG_STREAM, u64::MAX, 0).end;
        let revisions = hosts
            .iter()
            .map(|host| host.read(|node| node.tables().config.revision().0));
        let lowest = revisions.min().unwrap_or_default();
        let at = Instant::now();
        LOOKS
            .lock()
            .expect("nobody panicked")
            .push(Look { at, end, lowest });
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn apply(http: &JsonClient, node: SocketAddr, n: u64) -> Option<ApplyOutcome> {
    // Each tenth batch races with the one before for the same object.
    let model = n - u64::from(n % 10 == 9);
    let text = format!(
        "batch lift-{n} {{ put model m-{model} {{ layers = {} }} }}",
        n % 7 + 1
    );
    let headers = HeaderMap::new();
    let sent = http.exchange_with::<Applied>(
        Method::POST,
        node,
        APPLY_PATH,
        headers,
        text.into_bytes(),
        WITHIN,
    );
    sent.await.ok().map(|applied| applied.outcome)
}

fn report(
    deployment: &Deployment,
    outcomes: &[Option<ApplyOutcome>],
    took: Duration,
    looks: &[Look],
) -> bool {
    let mut accepted = BTreeSet::new();
    let (mut refused, mut doubt) = (0, 0);
    for outcome in outcomes {
        match outcome {
            Some(ApplyOutcome::Decided(BatchResult::Accepted(at))) => drop(accepted.insert(*at)),
            Some(ApplyOutcome::Decided(BatchResult::Refused(..))) => refused += 1,
            _ => doubt += 1,
        }
    }
    let decided = accepted.len() + refused;
    println!(
        "{} batches in {took:?}: {} accepted, {refused} refused, {doubt} in doubt",
        outcomes.len(),
        accepted.len()
    );
    let mut delays: Vec<Duration> = accepted.iter().filter_map(|at| delay(looks, *at)).collect();
    delays.sort();
    let quantile =
        |q: usize| delays.get((delays.len() * q / 100).min(delays.len().saturating_sub(1)));
    println!(
        "from the log to all {NODES} nodes: p50 {:?}, p99 {:?}, longest {:?}",
        quantile(50),
        quantile(99),
        delays.last()
    );
    let digest = |host: &Arc<Host>| host.read(|n| n.tables().config.digest().to_string());
    let digests: BTreeSet<String> = deployment
        .nodes
        .values()
        .map(|n| digest(&n.node.host))
        .collect();
    let records = deployment
        .log
        .state
        .read(CONFIG_STREAM, 0, u64::MAX)
        .records;
    let appended = records
        .iter()
        .filter(|r| r.body.contains("\"lift-"))
        .count();
    println!(
        "{appended} records in the log, {} digest(s) at the nodes",
        digests.len()
    );
    digests.len() == 1 && doubt == 0 && decided == outcomes.len() && delays.len() == accepted.len()
}

fn delay(looks: &[Look], at: Revision) -> Option<Duration> {
    let in_log = looks.iter().find(|look| look.end >= at.0)?;
    let in_force = looks.iter().find(|look| look.lowest >= at.0)?;
    Some(in_force.at - in_log.at)
}
