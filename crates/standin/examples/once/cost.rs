//! Measures memory, message sizes, processor time, messages and latency of one
//! request.

use std::time::{Duration, Instant};

use radishhaven_client::{Caller, RequestOptions};
use radishhaven_core::{
    ids::{Incarnation, RequestId, RequestKey},
    once::{
        Claim, DemandDigest, EndRecord, ForwardedDemand, ForwardedRequest, HomeAnswer, HomeTable,
        IdKey, Instance, IntendAnswer, IntentId, IssuedId, OnceMessage, Registration, ResultRecord,
        WitnessTable,
    },
    outcome::Outcome,
    peer::PeerMessage,
    time::Timestamp,
};
use radishhaven_standin::deployment::{Deployment, DeploymentError, Plan, id};
use radishhavend::edges::peers::encode;
use serde_json::json;

/// Number of ids over which memory and processor time are averaged.
const ROWS: u64 = 100_000;
/// Number of calls of each latency measurement.
const CALLS: usize = 2_000;
/// Result body that the records keep.
const RESULT_BODY: &str = r#"{"operation":"book","call":123456}"#;

fn instance(name: &str) -> Instance {
    Instance {
        vm: id(name),
        incarnation: Incarnation(1_796_000_000_000),
    }
}

fn issued_id(number: u64) -> IssuedId {
    IssuedId {
        intent: IntentId {
            home: instance("mvd-entry-03"),
            number,
        },
        issued: Timestamp::from_millis(86_400_000),
        witnesses: vec![instance("mvd-entry-05"), instance("mvd-entry-07")],
    }
}

fn demand() -> ForwardedDemand {
    ForwardedDemand::Call {
        service: id("roster-desk"),
        operation: "book".to_owned(),
        body: r#"{"hearing":12,"interpreter":"a name"}"#.to_owned(),
    }
}

fn claim() -> Claim {
    Claim {
        organisation: id("small-firm"),
        demand: DemandDigest::of(&demand()),
    }
}

fn end_record() -> EndRecord {
    EndRecord {
        claim: claim(),
        outcome: Outcome::Completed,
        tokens: 0,
        result: Some(ResultRecord {
            text: String::new(),
            body: Some(RESULT_BODY.to_owned()),
        }),
        message: String::new(),
    }
}

/// Returns the resident memory of the process in bytes, for pages of 4 KiB.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Runs `fill`, which adds [`ROWS`] rows, and prints the memory per row.
fn per_row(what: &str, fill: impl FnOnce()) {
    let before = resident_bytes();
    fill();
    let bytes = resident_bytes().saturating_sub(before) / ROWS;
    println!("memory per {what}: {bytes} bytes");
}

/// Prints the memory per id in each table.
pub fn memory() {
    let (key, now) = (IdKey::new(b"a key of some length"), Timestamp(0));
    let lifetime = Duration::from_secs(600);
    // All tables stay allocated to the end: a later table that reused freed
    // memory would appear too small.
    let mut witness = WitnessTable::default();
    per_row("remembered id at a witness", || {
        for number in 1..=ROWS {
            let intent = issued_id(number).intent;
            assert_eq!(witness.intend(now, &intent), IntendAnswer::Recorded);
            witness.ended(&intent, end_record());
        }
    });
    let mut ended = HomeTable::default();
    per_row("remembered id at its home", || {
        for number in 1..=ROWS {
            let id = issued_id(number);
            let (text, request) = (id.encode(&key), RequestKey(number));
            ended.register(now, lifetime, request, &id, &text, claim());
            ended.finish(now, request, |_| end_record());
        }
    });
    let mut open = HomeTable::default();
    per_row("open id at its home", || {
        for number in 1..=ROWS {
            let id = issued_id(number);
            let (text, request) = (id.encode(&key), RequestKey(number));
            let arrival = open.register(now, lifetime, request, &id, &text, claim());
            assert_eq!(arrival, Registration::New);
        }
    });
    let counts = (witness.len(), ended.ended_count(), open.open_count());
    assert_eq!(counts, (ROWS as usize, ROWS as usize, ROWS as usize));
}

/// Prints the encoded sizes of an id and of the messages of one request.
pub fn bytes() {
    let id = issued_id(123_456);
    let text = id.encode(&IdKey::new(b"a key of some length"));
    println!("id: {} bytes", text.as_str().len());
    let (intent, witness) = (id.intent, Incarnation(1_796_000_000_000));
    let correlation_key = RequestKey(1_000_000);
    let request = ForwardedRequest {
        token_sha256: [0; 32],
        id: text.clone(),
        priority: None,
        within: Duration::from_secs(60),
        demand: demand(),
    };
    let answer = IntendAnswer::Recorded;
    let messages = [
        (
            "forward",
            OnceMessage::Forward {
                correlation_key,
                request: Box::new(request),
            },
        ),
        (
            "home answered, with the end",
            OnceMessage::HomeAnswered {
                correlation_key,
                id: text,
                answer: HomeAnswer::Ended(end_record()),
            },
        ),
        (
            "intend",
            OnceMessage::Intend {
                intent: intent.clone(),
                witness,
            },
        ),
        (
            "intend answered",
            OnceMessage::IntendAnswered {
                intent: intent.clone(),
                answer,
            },
        ),
        (
            "ended",
            OnceMessage::Ended {
                intent,
                witness,
                recorded: end_record(),
            },
        ),
    ];
    for (name, message) in messages {
        let frame = encode(&PeerMessage::Once(message)).map_or(0, |frame| frame.len());
        println!("message {name}: {frame} bytes");
    }
}

/// Prints the processor time to issue and to check an id.
pub fn processor() {
    let key = IdKey::new(b"a key of some length");
    let started = Instant::now();
    let ids: Vec<RequestId> = (0..ROWS).map(|n| issued_id(n).encode(&key)).collect();
    println!("mint: {:?}", started.elapsed() / ROWS as u32);
    let started = Instant::now();
    let checked = ids.iter().filter(|id| IssuedId::parse(id, &key).is_ok());
    assert_eq!(checked.count(), ids.len());
    println!("check: {:?}", started.elapsed() / ROWS as u32);
}

/// Prints the latency and the number of messages of calls to three nodes on
/// loopback.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started.
pub async fn latency(witnesses: u32) -> Result<(), DeploymentError> {
    let mut plan = Plan::roster(3, 1);
    plan.settings = format!("[once]\nwitnesses = {witnesses}\n");
    let deployment = Deployment::start(plan).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let caller = Caller::new("small-firm").expect("the client can be created");
    let (home, other) = ("node-0", "node-1");
    measure_calls(
        &deployment,
        &caller,
        witnesses,
        "lookup, idempotent",
        home,
        "lookup",
        false,
    )
    .await;
    measure_calls(
        &deployment,
        &caller,
        witnesses,
        "book, no id",
        home,
        "book",
        false,
    )
    .await;
    measure_calls(
        &deployment,
        &caller,
        witnesses,
        "book, own id",
        home,
        "book",
        true,
    )
    .await;
    measure_calls(
        &deployment,
        &caller,
        witnesses,
        "book, id of another node",
        other,
        "book",
        true,
    )
    .await;
    Ok(())
}

/// Sends [`CALLS`] calls to a node one by one and prints their latency
/// percentiles and messages; `with_id` gets an id from `node-0` for each.
async fn measure_calls(
    deployment: &Deployment,
    caller: &Caller,
    witnesses: u32,
    what: &str,
    node: &str,
    operation: &str,
    with_id: bool,
) {
    let address = deployment.callers_address(node);
    let home = deployment.callers_address("node-0");
    let before = messages(deployment);
    let mut latencies = Vec::with_capacity(CALLS);
    for n in 0..CALLS {
        let id = if with_id {
            let issued = caller
                .issue_ids(home, 1)
                .await
                .expect("the node issues an id");
            issued.ids.first().cloned()
        } else {
            None
        };
        let ask = RequestOptions {
            id,
            ..RequestOptions::default()
        };
        let started = Instant::now();
        let body = json!({ "hearing": n });
        let sent = caller.call(address, &ask, "roster-desk", operation, &body);
        let answer = sent.await.expect("the node answers");
        latencies.push(started.elapsed());
        assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
    }
    // Waits for messages to witnesses that are still in transit.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let messages = (messages(deployment) - before) as f64 / CALLS as f64;
    latencies.sort_unstable();
    let at = |percent: usize| latencies[CALLS * percent / 100];
    println!(
        "witnesses {witnesses}, {what}: p50 {:?} p95 {:?} p99 {:?}, {messages:.2} messages",
        at(50),
        at(95),
        at(99)
    );
}

/// Returns the number of at-most-once messages, summed over all nodes.
fn messages(deployment: &Deployment) -> u64 {
    let nodes = deployment.nodes.values();
    let count =
        |host: &radishhavend::host::Host| host.read(|node| node.tables().counters.once_messages);
    nodes.map(|process| count(&process.node.host)).sum()
}
