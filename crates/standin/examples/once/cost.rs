//! Memory, bytes, processor time, messages and latency of one request.

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

const ROWS: u64 = 100_000;
const CALLS: usize = 2_000;
const RESULT: &str = r#"{"operation":"book","call":123456}"#;

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

fn recorded() -> EndRecord {
    EndRecord {
        claim: claim(),
        outcome: Outcome::Completed,
        tokens: 0,
        result: Some(ResultRecord {
            text: String::new(),
            body: Some(RESULT.to_owned()),
        }),
        message: String::new(),
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn per_row(what: &str, fill: impl FnOnce()) {
    let before = resident_bytes();
    fill();
    let bytes = resident_bytes().saturating_sub(before) / ROWS;
    println!("memory per {what}: {bytes} bytes");
}

/// Prints the memory of one id in each table.
pub fn memory() {
    let (key, now) = (IdKey::new(b"a key of some length"), Timestamp(0));
    let life = Duration::from_secs(600);
    // All tables stay until the end, as freed memory would be used again.
    let mut witness = WitnessTable::default();
    per_row("remembered id at a witness", || {
        for number in 1..=ROWS {
            let intent = issued_id(number).intent;
            assert_eq!(witness.intend(now, &intent), IntendAnswer::Recorded);
            witness.ended(&intent, recorded());
        }
    });
    let mut ended = HomeTable::default();
    per_row("remembered id at its home", || {
        for number in 1..=ROWS {
            let id = issued_id(number);
            let (text, request) = (id.encode(&key), RequestKey(number));
            ended.register(now, life, request, &id, &text, claim());
            ended.finish(now, request, |_| recorded());
        }
    });
    let mut open = HomeTable::default();
    per_row("open id at its home", || {
        for number in 1..=ROWS {
            let id = issued_id(number);
            let (text, request) = (id.encode(&key), RequestKey(number));
            let arrival = open.register(now, life, request, &id, &text, claim());
            assert_eq!(arrival, Registration::New);
        }
    });
    let counts = (witness.len(), ended.ended_count(), open.open_count());
    assert_eq!(counts, (ROWS as usize, ROWS as usize, ROWS as usize));
}

/// Prints the sizes of an id and of the messages of one request.
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
                answer: HomeAnswer::Ended(recorded()),
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
                recorded: recorded(),
            },
        ),
    ];
    for (name, message) in messages {
        let frame = encode(&PeerMessage::Once(message)).map_or(0, |frame| frame.len());
        println!("message {name}: {frame} bytes");
    }
}

/// Prints the processor time to mint and to check an id.
pub fn processor() {
    let key = IdKey::new(b"a key of some length");
    let begun = Instant::now();
    let ids: Vec<RequestId> = (0..ROWS).map(|n| issued_id(n).encode(&key)).collect();
    println!("mint: {:?}", begun.elapsed() / ROWS as u32);
    let begun = Instant::now();
    let checked = ids.iter().filter(|id| IssuedId::parse(id, &key).is_ok());
    assert_eq!(checked.count(), ids.len());
    println!("check: {:?}", begun.elapsed() / ROWS as u32);
}

/// Prints latency and messages of calls over three nodes on loopback.
pub async fn latency(witnesses: u32) -> Result<(), DeploymentError> {
    let mut plan = Plan::roster(3, 1);
    plan.settings = format!("[once]\nwitnesses = {witnesses}\n");
    let deployment = Deployment::start(plan).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let caller = Caller::new("small-firm").expect("a caller can be made");
    let (home, other) = ("node-0", "node-1");
    series(
        &deployment,
        &caller,
        witnesses,
        "lookup, idempotent",
        home,
        "lookup",
        false,
    )
    .await;
    series(
        &deployment,
        &caller,
        witnesses,
        "book, no id",
        home,
        "book",
        false,
    )
    .await;
    series(
        &deployment,
        &caller,
        witnesses,
        "book, own id",
        home,
        "book",
        true,
    )
    .await;
    series(
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

async fn series(
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
    let mut times = Vec::with_capacity(CALLS);
    for n in 0..CALLS {
        let id = if with_id {
            let minted = caller.issue_ids(home, 1).await.expect("the node mints");
            minted.ids.first().cloned()
        } else {
            None
        };
        let ask = RequestOptions {
            id,
            ..RequestOptions::default()
        };
        let begun = Instant::now();
        let body = json!({ "hearing": n });
        let sent = caller.call(address, &ask, "roster-desk", operation, &body);
        let answer = sent.await.expect("the node answers");
        times.push(begun.elapsed());
        assert_eq!(answer.outcome, Some(Outcome::Completed), "{answer:?}");
    }
    // The last message to a witness may still be on its way.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let messages = (messages(deployment) - before) as f64 / CALLS as f64;
    times.sort_unstable();
    let at = |percent: usize| times[CALLS * percent / 100];
    println!(
        "witnesses {witnesses}, {what}: p50 {:?} p95 {:?} p99 {:?}, {messages:.2} messages",
        at(50),
        at(95),
        at(99)
    );
}

fn messages(deployment: &Deployment) -> u64 {
    let nodes = deployment.nodes.values();
    let count =
        |host: &radishhavend::host::Host| host.read(|node| node.tables().counters.once_messages);
    nodes.map(|process| count(&process.node.host)).sum()
}
