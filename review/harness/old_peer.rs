//! One node of four loses its links to the workers, and the store turns another one
//! away, while the operator moves a route to another service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::{Request, call},
    node::{Node, wait_settled},
    proxy::{Cut, Proxy},
    record::Recorder,
    server::{Server, Work, configuration, plain_service, public, route},
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The route that moves, and one that leads to the new service all the time.
const MOVED: &str = "/cufi504/";
const OTHER: &str = "/puxa403/";
const OLD: &str = "wuno96b";
const NEW: &str = "xite41c";
const WORK: Work = Work {
    first: Duration::from_millis(60),
    events: 0,
    gap: Duration::ZERO,
};
/// Time within which a version holds at all machines in touch.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
/// Times from the start of traffic.
const LINKS_CUT_AT: Duration = Duration::from_secs(3);
const STORE_CUT_AT: Duration = Duration::from_secs(4);
const CHANGE_AT: Duration = Duration::from_secs(5);
/// End of both cuts, and of traffic.
const CUTS_END_AT: Duration = Duration::from_secs(12);
const END_AT: Duration = Duration::from_secs(14);
/// Interval of the requests at each node.
const INTERVAL: Duration = Duration::from_millis(50);

/// A request: its id, the node that took it, when it was sent, and the status.
struct Sent {
    attempt: String,
    route: &'static str,
    node: usize,
    at: Duration,
    status: u16,
}

fn send(recorder: &Recorder, to: SocketAddr, path: &str, attempt: &str) -> u16 {
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("Radishhaven-Attempt-Id", attempt.to_owned()),
        ("Radishhaven-Deadline-Ms", "3000".to_owned()),
    ];
    let limit = Duration::from_millis(3_500);
    let answer = call(to, "GET", &format!("{path}1"), &headers, b"", limit);
    recorder.note(&format!(
        "client got {attempt}: status {}, {}, {}, after {} ms",
        answer.status,
        answer.end,
        String::from_utf8_lossy(&answer.body),
        answer.took.as_millis()
    ));
    answer.status
}

pub fn run(case: &Case) -> Verdict {
    let recorder = &case.recorder;
    let store = Store::start(None);
    let zones = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
    let mut servers = Vec::new();
    for (service, prefix) in [(OLD, "i-old"), (NEW, "i-new")] {
        for (index, zone) in zones.iter().enumerate() {
            let id = format!("{prefix}{index}");
            let server = (id.as_str(), service, *zone);
            servers.push(Server::start(
                server,
                false,
                &store,
                recorder,
                |_: &Request| WORK,
            ));
        }
    }
    let config = |version, service| {
        let routes = [
            public(route(MOVED, "idempotent", service, 3_000)),
            public(route(OTHER, "idempotent", NEW, 3_000)),
        ];
        let services = [plain_service(OLD), plain_service(NEW)];
        let tenants = BTreeMap::from([("hule930", vec![KEY])]);
        Some(configuration(version, &routes, &services, &tenants))
    };
    store.put("keyed.op", "config", config(7, OLD));
    // Node 0 has a link of its own to each worker, node 1 one to the store.
    let links: Vec<Proxy> = servers.iter().map(|s| Proxy::start(s.address())).collect();
    let replaced = servers
        .iter()
        .zip(&links)
        .map(|(s, link)| (s.address(), link.address));
    let seen_by_first = store.behind_links(replaced.collect());
    let store_link = Proxy::start(store.address);
    let stores = [
        seen_by_first.address,
        store_link.address,
        store.address,
        store.address,
    ];
    let new = |(index, store): (usize, &SocketAddr)| {
        let name = format!("front-{}-{}", zones[index % 3], index / 3 + 1);
        Node::new(&case.folder, &name, zones[index % 3], *store)
    };
    let mut nodes: Vec<Node> = stores.iter().enumerate().map(new).collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_settled(&nodes, Duration::from_secs(25)) {
        return Verdict::CouldNotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));

    let started = Instant::now();
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let (to, recorder, all) = (node.callers, recorder.clone(), all.clone());
        let name = node.name.clone();
        clients.push(thread::spawn(move || {
            let mut open = Vec::new();
            for number in 0.. {
                let at = started.elapsed();
                if at >= END_AT {
                    break;
                }
                let attempt = format!(
                    "{:016x}",
                    0x01d0_0000_u64 + (index as u64 * 0x1_0000) + number
                );
                let route = if number % 2 == 0 { MOVED } else { OTHER };
                recorder.note(&format!("client sends {attempt} GET {route}1 to {name}"));
                let (recorder, all) = (recorder.clone(), all.clone());
                open.push(thread::spawn(move || {
                    let status = send(&recorder, to, route, &attempt);
                    all.lock().unwrap().push(Sent {
                        attempt,
                        route,
                        node: index,
                        at,
                        status,
                    });
                }));
                thread::sleep(INTERVAL);
            }
            open.into_iter()
                .for_each(|request| request.join().expect("no panic"));
        }));
    }
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));
    wait_until(LINKS_CUT_AT);
    if case.trouble {
        recorder.say(&format!("the workers lose the path to {}", nodes[0].name));
        links.iter().for_each(|link| link.set(Some(Cut::Refuse)));
    }
    wait_until(STORE_CUT_AT);
    if case.trouble {
        recorder.say(&format!("the store does not answer {}", nodes[1].name));
        store_link.set(Some(Cut::Silent));
    }
    wait_until(CHANGE_AT);
    store.put("keyed.op", "config", config(9, NEW));
    let acked = started.elapsed();
    recorder.say(&format!(
        "version 9 is acknowledged: the route moves from {OLD} to {NEW}"
    ));
    wait_until(CUTS_END_AT);
    links.iter().for_each(|link| link.set(None));
    store_link.set(None);
    recorder.say("both cuts have ended");
    clients
        .into_iter()
        .for_each(|client| client.join().expect("no panic"));

    let mut broken = 0;
    for (index, node) in nodes.iter().enumerate() {
        let mut counts = BTreeMap::new();
        let is_moved = |sent: &&Sent| sent.node == index && sent.route == MOVED;
        for sent in all.lock().unwrap().iter().filter(is_moved) {
            // A cut's end and what follows it is left out.
            if sent.at <= acked + CONFIG_TIME || sent.at >= CUTS_END_AT {
                continue;
            }
            let runs = recorder.runs(&sent.attempt);
            let is_old = runs.iter().any(|service| service == OLD);
            let ran = match (is_old, runs.is_empty()) {
                (true, _) => "run by the old service",
                (false, false) => "run by the new service",
                (false, true) => "not run",
            };
            *counts.entry((ran, sent.status)).or_insert(0_u32) += 1;
            // The node that the store turns away is not in touch.
            if is_old && index != 1 {
                broken += 1;
            }
        }
        recorder.say(&format!(
            "{}, moved route: sent later than {} ms after the acknowledgement: {counts:?}",
            node.name,
            CONFIG_TIME.as_millis()
        ));
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
