//! Measures the end of a configuration freeze: many operators concurrently apply
//! batches through all nodes of a deployment on loopback.
//!
//! Prints the numbers of accepted, refused and indeterminate batches, the number
//! of records in the log, which shows lost or duplicated batches, and the number
//! of different configurations at the nodes. Also prints the time from the
//! append of a batch to the log until all nodes have applied it.

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

/// Number of nodes.
const NODES: usize = 9;
/// Timeout of one apply request.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two observations of the log and the nodes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(1);

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let matches = Command::new("freeze_lift")
        .about("Applies concurrent batches through nodes on loopback")
        .arg(number("batches", "500", "Number of batches"))
        .arg(number("operators", "20", "Number of concurrent operators"))
        .get_matches();
    let value = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be created");
    match runtime.block_on(run(value("batches"), value("operators"))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("freeze_lift: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The end of the log and the lowest revision of all nodes at one time.
struct Observation {
    /// Time of the observation.
    at: Instant,
    /// Offset of the next record in the log.
    end: u64,
    /// Lowest configuration revision that any node has applied.
    min_revision: u64,
}

/// Runs the measurement; returns whether all batches were decided and applied
/// and all nodes have the same configuration.
async fn run(batches: u64, operators: u64) -> Result<bool, Box<dyn Error>> {
    let deployment = Arc::new(Deployment::start(Plan::bitacora(NODES, 2)).await?);
    let nodes: Vec<SocketAddr> = deployment
        .nodes
        .values()
        .map(|node| node.node.operators_address)
        .collect();
    let started = Instant::now();
    let observations = tokio::spawn(observe(deployment.clone()));
    let mut tasks = tokio::task::JoinSet::new();
    for operator in 0..operators {
        let nodes = nodes.clone();
        let own_batches = (0..batches).filter(move |n| n % operators == operator);
        tasks.spawn(async move {
            let http = JsonClient::new().expect("the client can be created");
            let mut outcomes = Vec::new();
            for n in own_batches {
                let node = nodes[n as usize % nodes.len()];
                outcomes.push(apply(&http, node, n).await);
            }
            outcomes
        });
    }
    let outcomes: Vec<Option<ApplyOutcome>> =
        tasks.join_all().await.into_iter().flatten().collect();
    let took = started.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    observations.abort();
    let observations = OBSERVATIONS
        .lock()
        .expect("no thread panicked while it held the lock")
        .split_off(0);
    Ok(report(&deployment, &outcomes, took, &observations))
}

/// Observations that the [`observe`] task has recorded.
static OBSERVATIONS: std::sync::Mutex<Vec<Observation>> = std::sync::Mutex::new(Vec::new());

/// Records observations until the task is aborted.
async fn observe(deployment: Arc<Deployment>) {
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
        let min_revision = revisions.min().unwrap_or_default();
        let at = Instant::now();
        OBSERVATIONS
            .lock()
            .expect("no thread panicked while it held the lock")
            .push(Observation {
                at,
                end,
                min_revision,
            });
        tokio::time::sleep(OBSERVATION_INTERVAL).await;
    }
}

/// Applies batch `n` through a node; returns `None` if the request failed.
async fn apply(http: &JsonClient, node: SocketAddr, n: u64) -> Option<ApplyOutcome> {
    // Every tenth batch writes the same object as the batch before it, which
    // creates a conflict between two operators.
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
        APPLY_TIMEOUT,
    );
    sent.await.ok().map(|applied| applied.outcome)
}

/// Prints the results; returns whether all batches were decided and applied
/// and all nodes have the same configuration.
fn report(
    deployment: &Deployment,
    outcomes: &[Option<ApplyOutcome>],
    took: Duration,
    observations: &[Observation],
) -> bool {
    let mut accepted = BTreeSet::new();
    let (mut refused, mut indeterminate) = (0, 0);
    for outcome in outcomes {
        match outcome {
            Some(ApplyOutcome::Decided(BatchResult::Accepted(at))) => drop(accepted.insert(*at)),
            Some(ApplyOutcome::Decided(BatchResult::Refused(..))) => refused += 1,
            _ => indeterminate += 1,
        }
    }
    let decided = accepted.len() + refused;
    println!(
        "{} batches in {took:?}: {} accepted, {refused} refused, {indeterminate} in doubt",
        outcomes.len(),
        accepted.len()
    );
    let mut delays: Vec<Duration> = accepted
        .iter()
        .filter_map(|at| delay(observations, *at))
        .collect();
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
    digests.len() == 1
        && indeterminate == 0
        && decided == outcomes.len()
        && delays.len() == accepted.len()
}

/// Returns the time from the first observation of a revision in the log to the
/// first observation at which all nodes have applied it.
fn delay(observations: &[Observation], at: Revision) -> Option<Duration> {
    let appended = observations.iter().find(|o| o.end >= at.0)?;
    let applied = observations.iter().find(|o| o.min_revision >= at.0)?;
    Some(applied.at - appended.at)
}
