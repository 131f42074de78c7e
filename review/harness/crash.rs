//! One of six model workers crashes while prompts of long sessions wait for their first
//! token.

use std::{
    collections::BTreeMap,
    env,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::{Answer, Request, call},
    node::{Node, wait_settled},
    record::Recorder,
    server::{Server, Work, configuration, engine_service, plain_service, route},
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const NODES: usize = 7;
const ENGINES: u32 = 6;
/// Parts of a prompt: the turns of a session so far.
const PARTS: u32 = 1_000;
const TOKENS_PER_PART: u32 = 12;
/// Milliseconds that an `a100` takes to read a token: 105 tokens in a ms, times 3.2.
const READ_MS: f64 = 3.2 / 105.0;
const EVENTS: u32 = 10;
const EVENT_GAP: Duration = Duration::from_millis(50);
const PLAIN_WORK: Work = Work {
    first: Duration::from_millis(60),
    events: 0,
    gap: Duration::ZERO,
};
/// Timeout of the plain route, after which the rule asks for an answer in half a second.
const TIMEOUT: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(500);
/// Earliest time of the crash, from the start of traffic.
const CRASH_AT: Duration = Duration::from_secs(5);
/// Latest time of the crash.
const CRASH_LATEST: Duration = Duration::from_secs(30);
/// Prompts that the worker has to read when it crashes.
const MIN_UNANSWERED: u32 = 5;
/// Time for which clients go on after the crash.
const OBSERVED: Duration = Duration::from_secs(15);
/// Interval of the plain requests, and of the generations, at each node.
const PLAIN_INTERVAL: Duration = Duration::from_millis(250);
const GENERATION_INTERVAL: Duration = Duration::from_millis(500);

/// A plain request: when it was sent, and its answer.
type Plain = (Duration, Answer);

fn parts() -> u32 {
    env::var("PARTS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(PARTS)
}

fn send_generation(recorder: &Recorder, to: SocketAddr, number: u32) {
    let attempt = format!("{:016x}", 0x6e00_0000 + u64::from(number));
    let parts = parts();
    let part = |index: u32| {
        let id = (number << 12) + index;
        format!("{id:08x}:{TOKENS_PER_PART}")
    };
    let prefix: Vec<String> = (0..parts).map(part).collect();
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Radishhaven-Attempt-Id", attempt.clone()),
        ("Radishhaven-Model", "daka510000".to_owned()),
        (
            "Radishhaven-Token-Count",
            format!("{},30", parts * TOKENS_PER_PART),
        ),
        ("Radishhaven-Prompt-Prefix", prefix.join(",")),
        ("Radishhaven-Deadline-Ms", "20000".to_owned()),
        ("Radishhaven-Key", KEY.to_owned()),
    ];
    let size: usize = headers
        .iter()
        .map(|(key, value)| key.len() + value.len() + 4)
        .sum();
    assert!(size < 16_384, "the head keeps to max_header_bytes");
    recorder.note(&format!(
        "client sends {attempt} (trip-entry, {parts} parts, head {size} B)"
    ));
    let limit = Duration::from_secs(20);
    let answer = call(to, "POST", "/lohu930/1", &headers, b"dictation", limit);
    recorder.note(&format!(
        "client got {attempt}: status {}, {}, after {} ms",
        answer.status,
        answer.end,
        answer.took.as_millis()
    ));
}

fn send_plain(recorder: &Recorder, to: SocketAddr, number: u32) -> Answer {
    let attempt = format!("{:016x}", 0x70a0_0000 + u64::from(number));
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Radishhaven-Attempt-Id", attempt.clone()),
        ("Radishhaven-Deadline-Ms", "20000".to_owned()),
        ("Radishhaven-Key", KEY.to_owned()),
    ];
    recorder.note(&format!("client sends {attempt} (log-fetch)"));
    let answer = call(
        to,
        "POST",
        "/puxa403/1",
        &headers,
        b"month=11",
        Duration::from_secs(15),
    );
    recorder.note(&format!(
        "client got {attempt}: status {}, {}, after {} ms",
        answer.status,
        answer.end,
        answer.took.as_millis()
    ));
    answer
}

/// Returns how an engine works: it reads one prompt after the other.
fn generation() -> impl Fn(&Request) -> Work + Send + Sync + 'static {
    let free_at = Mutex::new(Instant::now());
    move |req| {
        let tokens = req.header("radishhaven-token-count").unwrap_or_default();
        let tokens = tokens
            .split(',')
            .next()
            .and_then(|v| v.parse().ok())
            .unwrap_or(0.0);
        let now = Instant::now();
        let mut free_at = free_at.lock().unwrap();
        *free_at = now.max(*free_at) + Duration::from_secs_f64(tokens * READ_MS / 1e3);
        Work {
            first: free_at.duration_since(now),
            events: EVENTS,
            gap: EVENT_GAP,
        }
    }
}

pub fn run(case: &Case) -> Verdict {
    let recorder = &case.recorder;
    let store = Store::start(None);
    let zones = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let (id, zone) = (format!("i-e{index}"), zones[index as usize % 3]);
        let server = (id.as_str(), "huvo11a", zone);
        engines.push(Server::start(server, true, &store, recorder, generation()));
    }
    let mut plain = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-p{index}");
        let server = (id.as_str(), "wuno96b", *zone);
        plain.push(Server::start(
            server,
            false,
            &store,
            recorder,
            |_: &Request| PLAIN_WORK,
        ));
    }
    let routes = [
        route("/lohu930/", "streaming", "huvo11a", 20_000),
        route(
            "/puxa403/",
            "non_idempotent",
            "wuno96b",
            TIMEOUT.as_millis() as u32,
        ),
    ];
    let services = [engine_service("huvo11a"), plain_service("wuno96b")];
    let tenants = BTreeMap::from([("hule930", vec![KEY])]);
    store.put(
        "keyed.op",
        "config",
        Some(configuration(7, &routes, &services, &tenants)),
    );
    let new = |index: usize| {
        let zone = zones[index % 3];
        let name = format!("front-{zone}-{}", index / 3 + 1);
        Node::new(&case.folder, &name, zone, store.address)
    };
    let mut nodes: Vec<Node> = (0..NODES).map(new).collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_settled(&nodes, Duration::from_secs(25)) {
        return Verdict::CouldNotRun("the nodes are not ready".to_owned());
    }
    // The node with the lease orders the engines to hold the model.
    let until = Instant::now() + Duration::from_secs(15);
    while engines.iter().any(|engine| !engine.holds_layers()) {
        if Instant::now() > until {
            return Verdict::CouldNotRun("the engines got no orders".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(4));

    let started = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU32::new(1));
    let answers: Arc<Mutex<Vec<Plain>>> = Arc::default();
    let mut clients = Vec::new();
    for node in &nodes {
        let to = node.callers;
        for is_plain in [false, true] {
            let (recorder, is_over) = (recorder.clone(), is_over.clone());
            let (numbers, answers) = (numbers.clone(), answers.clone());
            clients.push(thread::spawn(move || {
                let mut open = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let (recorder, answers) = (recorder.clone(), answers.clone());
                    open.push(thread::spawn(move || {
                        let sent = started.elapsed();
                        if is_plain {
                            let answer = send_plain(&recorder, to, number);
                            answers.lock().unwrap().push((sent, answer));
                        } else {
                            send_generation(&recorder, to, number);
                        }
                    }));
                    thread::sleep(if is_plain {
                        PLAIN_INTERVAL
                    } else {
                        GENERATION_INTERVAL
                    });
                }
                open.into_iter()
                    .for_each(|request| request.join().expect("no panic"));
            }));
        }
    }
    thread::sleep(CRASH_AT.saturating_sub(started.elapsed()));
    // The first worker that reads this many prompts is the one that crashes.
    let crashed = loop {
        let busy = engines
            .iter()
            .position(|engine| engine.unanswered() >= MIN_UNANSWERED);
        if let Some(index) = busy {
            break index;
        }
        if started.elapsed() > CRASH_LATEST {
            return Verdict::CouldNotRun("no worker has enough prompts to read".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    };
    if case.trouble {
        recorder.say(&format!("worker i-e{crashed}, one of {ENGINES}, crashes"));
        engines[crashed].crash();
    }
    let end_at = started.elapsed() + OBSERVED;
    while started.elapsed() < end_at {
        thread::sleep(Duration::from_secs(2));
        let peaks: Vec<String> = nodes
            .iter()
            .map(|node| node.peak_mb().to_string())
            .collect();
        let cpus: Vec<String> = nodes
            .iter()
            .map(|n| n.cpu().as_millis().to_string())
            .collect();
        recorder.note(&format!(
            "peak memory of the nodes, MB: {}; processor time, ms: {}",
            peaks.join(", "),
            cpus.join(", ")
        ));
    }
    is_over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("no panic"));
    judge(case, &answers.lock().unwrap(), &nodes)
}

/// CONFIG: of the requests that are still unanswered at their route's timeout, more than
/// half have no answer half a second later.
fn judge(case: &Case, answers: &[Plain], nodes: &[Node]) -> Verdict {
    let recorder = &case.recorder;
    let unanswered_at = |limit: Duration| {
        let late = answers
            .iter()
            .filter(|(_, a)| !a.complete || a.took > limit);
        late.count()
    };
    let (late, later) = (unanswered_at(TIMEOUT), unanswered_at(TIMEOUT + SLACK));
    let served = answers
        .iter()
        .filter(|(_, a)| a.status == 200 && a.complete)
        .count();
    let peaks: Vec<String> = nodes
        .iter()
        .map(|node| node.peak_mb().to_string())
        .collect();
    recorder.say(&format!(
        "{} plain requests, {served} served; {late} without an answer after {} ms, {later} of them \
         still after {} ms; peak memory of the nodes, MB: {}",
        answers.len(),
        TIMEOUT.as_millis(),
        (TIMEOUT + SLACK).as_millis(),
        peaks.join(", ")
    ));
    // A few late ones alone are not taken for a broken rule.
    match late >= 8 && later * 2 > late {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
