//! In a drill the store comes back from a copy that is some seconds old, and a machine is
//! added just then. The operator writes the configuration again 1.5 s later.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::{Request, call},
    node::{Node, wait_settled},
    record::Recorder,
    server::{Server, Work, configuration, plain_service, route},
    store::Store,
};

/// The key that is taken away, and one that stays.
const REVOKED: &str = "n2ctnfzs989anu6wsjnb";
const KEPT: &str = "anfqasnmgkcuyj8pjbvk";
const WORK: Work = Work {
    first: Duration::from_millis(60),
    events: 0,
    gap: Duration::ZERO,
};
/// Time after which no request with the revoked key may run.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// Times from the acknowledgement of the version without the key.
const STORE_AWAY_AT: Duration = Duration::from_secs(6);
const STORE_BACK_AT: Duration = Duration::from_millis(6_500);
const REWRITTEN_AT: Duration = Duration::from_secs(8);
const END_AT: Duration = Duration::from_secs(14);
const INTERVAL: Duration = Duration::from_millis(100);

struct Sender<'a> {
    recorder: &'a Recorder,
    number: u32,
}

impl Sender<'_> {
    /// Sends a request; returns its status and whether a worker ran it.
    fn send(&mut self, to: SocketAddr, name: &str, key: &str) -> (u16, bool) {
        self.number += 1;
        let attempt = format!("{:016x}", 0x0d00_0000 + u64::from(self.number));
        let headers = [
            ("Host", "ficu95.example".to_owned()),
            ("Radishhaven-Attempt-Id", attempt.clone()),
            ("Radishhaven-Deadline-Ms", "3000".to_owned()),
            ("Radishhaven-Key", key.to_owned()),
        ];
        let which = if key == REVOKED { "revoked" } else { "kept" };
        self.recorder.note(&format!(
            "client sends {attempt} to {name} with the {which} key"
        ));
        let limit = Duration::from_millis(3_500);
        let answer = call(to, "POST", "/puxa403/1", &headers, b"month=11", limit);
        self.recorder.note(&format!(
            "client got {attempt}: status {}, {}, after {} ms",
            answer.status,
            answer.end,
            answer.took.as_millis()
        ));
        (answer.status, !self.recorder.runs(&attempt).is_empty())
    }
}

pub fn run(case: &Case) -> Verdict {
    let recorder = &case.recorder;
    let store = Store::start(Some(0));
    let zones = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
    let mut servers = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-{index}");
        let server = (id.as_str(), "wuno96b", *zone);
        servers.push(Server::start(
            server,
            false,
            &store,
            recorder,
            |_: &Request| WORK,
        ));
    }
    let config = |version, keys: Vec<&'static str>| {
        let routes = [route("/puxa403/", "non_idempotent", "wuno96b", 3_000)];
        let services = [plain_service("wuno96b")];
        let tenants = BTreeMap::from([("hule930", keys)]);
        Some(configuration(version, &routes, &services, &tenants))
    };
    store.put("keyed.op", "config", config(7, vec![REVOKED, KEPT]));
    let new = |index: usize| {
        let zone = zones[index % 3];
        let name = format!("front-{zone}-{}", index / 3 + 1);
        Node::new(&case.folder, &name, zone, store.address)
    };
    let mut nodes: Vec<Node> = (0..3).map(new).collect();
    nodes.iter_mut().for_each(Node::start);
    if !wait_settled(&nodes, Duration::from_secs(25)) {
        return Verdict::CouldNotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let mut sender = Sender {
        recorder,
        number: 0,
    };
    if sender.send(nodes[0].callers, &nodes[0].name, REVOKED) != (200, true) {
        return Verdict::CouldNotRun("the key is not accepted at first".to_owned());
    }
    let copy = store.copy();
    thread::sleep(Duration::from_secs(1));
    store.put("keyed.op", "config", config(9, vec![KEPT]));
    let acked = Instant::now();
    recorder.say("version 9 is acknowledged: a key is taken away");
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(acked.elapsed()));
    wait_until(Duration::from_secs(3));
    for node in &nodes {
        if sender.send(node.callers, &node.name, REVOKED).0 != 401 {
            return Verdict::CouldNotRun("version 9 is not in force".to_owned());
        }
    }
    wait_until(STORE_AWAY_AT);
    if case.trouble {
        recorder.say("drill: the store is away");
        store.leave();
    }
    wait_until(STORE_BACK_AT);
    if case.trouble {
        store.return_from(copy);
        recorder.say("drill: the store is back from a copy 7.5 s old, in era 1");
    }
    let mut added = new(3);
    added.start();
    recorder.say(&format!("{} is added", added.name));
    if !added.wait_ready(Duration::from_secs(5)) {
        return Verdict::CouldNotRun("the added node is not ready".to_owned());
    }
    recorder.say(&format!(
        "it is ready {} ms after the acknowledgement",
        acked.elapsed().as_millis()
    ));
    let mut is_rewritten = !case.trouble;
    let mut counts = BTreeMap::new();
    let mut broken = 0;
    while acked.elapsed() < END_AT {
        if !is_rewritten && acked.elapsed() >= REWRITTEN_AT {
            store.put("keyed.op", "config", config(9, vec![KEPT]));
            recorder.say("the operator has written version 9 again");
            is_rewritten = true;
        }
        let at = acked.elapsed();
        let targets = nodes.iter().chain([&added]);
        for node in targets {
            let (status, has_run) = sender.send(node.callers, &node.name, REVOKED);
            *counts
                .entry((node.name.clone(), status, has_run))
                .or_insert(0_u32) += 1;
            broken += u32::from(has_run && at > REVOKE_TIME);
        }
        thread::sleep(INTERVAL);
    }
    for ((name, status, has_run), count) in &counts {
        let run = if *has_run { "run" } else { "not run" };
        recorder.say(&format!(
            "{name}, revoked key: {count} answered {status}, {run}"
        ));
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
