//! A planned stop: one node of three gets SIGTERM while clients still use its address.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::{Answer, call, header},
    node::{Node, SIGKILL, SIGTERM, wait_settled},
    record::Recorder,
    server::{Server, Work, configuration, plain_service, route},
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time that most requests take at their worker.
const SHORT_WORK: Duration = Duration::from_millis(60);
/// Time that the monthly log pulls take. It is within the route's timeout of 3 s.
const LONG_WORK: Duration = Duration::from_millis(1_900);
const TIMEOUT_MS: u32 = 3_000;
const GRACE: Duration = Duration::from_secs(8);
/// When the long requests are sent, after SIGTERM. Clients keep an answer of the
/// directory for three times its `ttl_s` of 2 s, that is for 6 s.
const LONG_FROM: Duration = Duration::from_millis(5_550);
const LONG_COUNT: u32 = 8;
const LONG_GAP: Duration = Duration::from_millis(50);

struct Sent {
    attempt: String,
    handle: JoinHandle<Answer>,
}

fn send(recorder: &Recorder, to: SocketAddr, path: &str, number: u32) -> Sent {
    let attempt = format!("{:016x}", 0x51a0_0000 + u64::from(number));
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Radishhaven-Attempt-Id", attempt.clone()),
        ("Radishhaven-Deadline-Ms", TIMEOUT_MS.to_string()),
        ("Radishhaven-Key", KEY.to_owned()),
    ];
    let target = format!("{path}{number}");
    recorder.note(&format!("client sends {attempt} POST {target}"));
    let (recorder, id) = (recorder.clone(), attempt.clone());
    let handle = thread::spawn(move || {
        let limit = Duration::from_millis(u64::from(TIMEOUT_MS) + 500);
        let answer = call(to, "POST", &target, &headers, b"month=11", limit);
        recorder.note(&format!(
            "client got {id}: status {}, {}, signature {}, after {} ms",
            answer.status,
            answer.end,
            header(&answer.headers, "radishhaven-server-signature").unwrap_or("none"),
            answer.took.as_millis()
        ));
        answer
    });
    Sent { attempt, handle }
}

pub fn run(case: &Case) -> Verdict {
    let recorder = &case.recorder;
    let store = Store::start(None);
    let work = |req: &crate::http::Request| Work {
        first: if req.target.contains("/month/") {
            LONG_WORK
        } else {
            SHORT_WORK
        },
        events: 0,
        gap: Duration::ZERO,
    };
    let servers = [
        ("i-10a1", "mvd-centro"),
        ("i-10a2", "mvd-cordon"),
        ("i-10a3", "mvd-pocitos"),
    ];
    let _servers = servers
        .map(|(id, zone)| Server::start((id, "wuno96b", zone), false, &store, recorder, work));
    let routes = [route("/puxa403/", "non_idempotent", "wuno96b", TIMEOUT_MS)];
    let tenants = BTreeMap::from([("hule930", vec![KEY])]);
    let services = [plain_service("wuno96b")];
    store.put(
        "keyed.op",
        "config",
        Some(configuration(7, &routes, &services, &tenants)),
    );
    let zones = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
    let new = |zone: &&str| {
        Node::new(
            &case.folder,
            &format!("front-{zone}-1"),
            zone,
            store.address,
        )
    };
    let mut nodes: Vec<Node> = zones.iter().map(new).collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_settled(&nodes, Duration::from_secs(25)) {
        return Verdict::CouldNotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    // The client asks a node where to connect, and keeps the answer three times as long.
    let target = "/-/resolve?name=ficu95.example&region=mvd&zone=mvd-centro";
    let limit = Duration::from_secs(1);
    let directory = call(nodes[1].directory, "GET", target, &[], b"", limit);
    let text = String::from_utf8_lossy(&directory.body).into_owned();
    recorder.say(&format!("the directory answers {text}"));
    if !text.contains(&nodes[0].callers.to_string()) || !text.contains("\"ttl_s\":2") {
        return Verdict::CouldNotRun("the directory does not list the node for 2 s".to_owned());
    }
    let stopped = Instant::now();
    if case.trouble {
        recorder.say(&format!("{} gets SIGTERM", nodes[0].name));
        nodes[0].signal(SIGTERM);
    }
    let mut sent = Vec::new();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(stopped.elapsed()));
    for number in 0..10 {
        wait_until(Duration::from_millis(500 * u64::from(number)));
        sent.push(send(recorder, nodes[0].callers, "/puxa403/day/", number));
    }
    for number in 0..LONG_COUNT {
        wait_until(LONG_FROM + LONG_GAP * number);
        sent.push(send(
            recorder,
            nodes[0].callers,
            "/puxa403/month/",
            100 + number,
        ));
    }
    let mut ended = None;
    while stopped.elapsed() < GRACE {
        if ended.is_none() && nodes[0].has_ended() {
            ended = Some(stopped.elapsed());
            recorder.say(&format!(
                "the process ended {} ms after SIGTERM",
                stopped.elapsed().as_millis()
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if case.trouble && ended.is_none() {
        recorder.say("the platform sends SIGKILL");
        nodes[0].signal(SIGKILL);
    }
    let (mut answered, mut refused, mut lost, mut false_refusals) = (0, 0, 0, 0);
    for Sent { attempt, handle } in sent {
        let answer = handle.join().expect("no panic in a client");
        let has_run = !recorder.runs(&attempt).is_empty();
        match answer.status {
            503 | 429 if has_run => false_refusals += 1,
            503 | 429 => refused += 1,
            status if status != 0 && answer.complete => answered += 1,
            // The deadline of none was reached: the long work takes 1.9 s of 3 s.
            _ if has_run => lost += 1,
            // Not passed on to a worker.
            _ => refused += 1,
        }
    }
    recorder.say(&format!(
        "{answered} answered whole, {refused} refused or not taken, {lost} passed on to a worker \
         and ended without an answer, {false_refusals} refused though they ran"
    ));
    match lost + false_refusals {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
