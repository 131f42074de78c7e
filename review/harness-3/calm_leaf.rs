//! Case 11: the store turns the three nodes away that read it for the others. A server leaves by the
//! removal of its entry. The other nodes and the store's answers to them are undisturbed.

#[path = "lib.rs"]
mod lib;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use lib::{Link, Node, Record, Server, Settings, Store, KEY};

/// Bounds of bitacora-ruta-large.
const DRAIN: Duration = Duration::from_millis(4_000);
const SETTINGS: Settings = Settings {
    memory_mb: 512,
    descriptors: 8_192,
    drain_ms: 4_000,
    config_ms: 4_000,
    stability_ms: 5_000,
};
/// From 13 nodes on, some read the store for the others.
const NODES: usize = 13;
/// Time from when the store turns nodes away to the removal of the entry.
const LEAVE_AFTER: Duration = Duration::from_millis(100);
/// Time from `drain_ms` after the removal to the requests.
const LATE: Duration = Duration::from_millis(80);
/// Requests to each of the other nodes at that time. There are none between the removal and then, so that
/// no answer tells the nodes that the server leaves.
const CROWD: usize = 10;
/// Time for which the server goes on after the removal: `drain_ms` and a little longer.
const GOES_ON: Duration = Duration::from_millis(4_250);
/// Time that a request takes at a server.
const WORK: Duration = Duration::from_millis(250);

struct Sent {
    id: String,
    node: String,
    at: Duration,
    outcome: String,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [folder, temp] = &args[..] else {
        return ExitCode::from(2);
    };
    let record = Record::new();
    let code = run(&record, Path::new(temp));
    record.write(&PathBuf::from(folder).join("record.txt"));
    ExitCode::from(code)
}

fn run(record: &Record, temp: &Path) -> u8 {
    let store = Store::start();
    store.put("keyed.op", "config", Some(lib::configuration(1)));
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let servers = names.map(|id| Server::start(id, "libro", &store, record, WORK));
    let links: Vec<Link> = (0..NODES).map(|_| Link::to(store.address)).collect();
    let nodes: Vec<Node> = (0..NODES)
        .map(|i| Node::start_with(&format!("front-{i}"), links[i].address, temp, &SETTINGS))
        .collect();
    if !nodes.iter().all(Node::wait_ready) {
        record.add("a node did not get ready");
        return 2;
    }
    let began = Instant::now();
    let leaves = || nodes.iter().filter(|node| node.hubs().is_some()).count();
    while leaves() < NODES - 3 && began.elapsed() < Duration::from_secs(30) {
        thread::sleep(lib::ms(50));
    }
    if leaves() < NODES - 3 {
        record.add("the nodes did not get their roles");
        return 2;
    }
    thread::sleep(Duration::from_secs(8));
    let hubs: Vec<usize> = (0..NODES).filter(|i| nodes[*i].hubs().is_none()).collect();
    let named: Vec<&str> = hubs.iter().map(|i| nodes[*i].name.as_str()).collect();
    let named = named.join(", ");
    record.add(format!("{named} read the store for the others"));

    // With HOW=cut, the paths of these nodes to the store are cut instead.
    let is_cut = std::env::var("HOW").as_deref() == Ok("cut");
    if lib::has_trouble() && is_cut {
        record.add(format!("{named} are cut off from the store"));
        hubs.iter().for_each(|i| links[*i].set_cut(true));
    } else if lib::has_trouble() {
        record.add(format!("the store turns {named} away"));
        hubs.iter().for_each(|i| links[*i].set_refused(true));
    }
    thread::sleep(LEAVE_AFTER);
    let left = servers[0].leave(&store, record);
    thread::sleep((left + DRAIN + LATE).saturating_sub(record.now()));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let others = nodes.iter().filter(|node| node.hubs().is_some());
    let calls: Vec<_> = others
        .flat_map(|node| (0..CROWD).map(move |number| (node, number)))
        .map(|(node, number)| {
            let (name, to) = (node.name.clone(), node.callers);
            let (log, results) = (record.clone(), sent.clone());
            thread::spawn(move || {
                let id = format!("{name}-{number}");
                let headers = format!(
                    "radishhaven-attempt-id: {id}\r\nradishhaven-deadline-ms: 3000\r\n\
                     radishhaven-key: {KEY}\r\n"
                );
                let at = log.now();
                let answer = lib::call(to, "POST", "/log/x", &headers, Duration::from_secs(4));
                let outcome = match answer {
                    Some(answer) => answer.status.to_string(),
                    None => "no answer".to_owned(),
                };
                results.lock().unwrap().push(Sent { id, node: name, at, outcome });
            })
        })
        .collect();
    thread::sleep((left + GOES_ON).saturating_sub(record.now()));
    servers[0].exit(record);
    calls.into_iter().for_each(|call| drop(call.join()));
    hubs.iter().for_each(|i| {
        links[*i].set_refused(false);
        links[*i].set_cut(false);
    });

    // The rule: a request reaches a server later than `drain_ms` after the store has accepted
    // that the server is gone, taken from the caller and sent on by a node in touch.
    let arrivals = record.arrivals("i-1");
    let sent = sent.lock().unwrap();
    let (mut broken, mut lost) = (0, 0);
    for Sent { id, node, at, outcome } in sent.iter() {
        let is_broken = arrivals.iter().any(|(attempt, at)| attempt == id && *at > left + DRAIN);
        broken += usize::from(is_broken);
        lost += usize::from(is_broken && outcome != "200");
        let mark = if is_broken { "; DRAIN is broken" } else { "" };
        record.add_at(*at, format!("request {id} is sent to {node}; its outcome: {outcome}{mark}"));
    }
    let ok = sent.iter().filter(|sent| sent.outcome == "200").count();
    record.add(format!(
        "{} requests to {} nodes, {ok} answered 200, {broken} break DRAIN, {lost} of these have run and got no success",
        sent.len(),
        NODES - hubs.len()
    ));
    if ok * 2 < sent.len() {
        return 2;
    }
    u8::from(broken > 0)
}
