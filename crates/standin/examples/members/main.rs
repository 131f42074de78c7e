//! Measures membership on the decisions of many nodes in virtual time: bytes
//! and messages a node, time to notice a death, and processor time.
//!
//! Bytes are those of the encoded messages and of the frames around them;
//! processor time is that of the decisions and of the net that carries them.

mod watch;

use std::{
    collections::BTreeSet,
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::{Arg, ArgAction, Command, value_parser};
use radishhaven_core::{ids::VmId, node::Node, peer::MemberStatus};
use radishhaven_standin::net::{Links, SimNetwork};

/// Time for nodes to hear of each other before anything is measured.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time over which traffic is counted.
const STEADY: Duration = Duration::from_secs(20);
/// Deaths that are measured.
const DEATHS: usize = 10;
/// Time between two looks while a death is awaited.
const LOOK: Duration = Duration::from_millis(20);
/// Longest wait for a death to be known everywhere.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Failure domains of a deployment of up to this many nodes are three.
const SMALL: usize = 9;

fn main() -> ExitCode {
    let nodes = Arg::new("nodes")
        .long("nodes")
        .value_delimiter(',')
        .value_parser(value_parser!(usize))
        .default_value("9,45,90,180,360")
        .help("Numbers of nodes to measure");
    let slow = Arg::new("slow")
        .long("slow")
        .action(ArgAction::SetTrue)
        .help("Links of 50 to 200 ms that lose 2 of 100 messages");
    let engines = Arg::new("engines")
        .long("engines")
        .value_parser(value_parser!(usize))
        .default_value("0")
        .help("Engines for each node; above 0, their watch is measured and no deaths");
    let matches = Command::new("members")
        .args([nodes, slow, engines])
        .get_matches();
    let engines = matches.get_one("engines").copied().unwrap_or(0);
    let links = if matches.get_flag("slow") {
        Links {
            min_delay: Duration::from_millis(50),
            max_delay: Duration::from_millis(200),
            loss_percent: 2,
        }
    } else {
        Links {
            min_delay: Duration::from_micros(200),
            max_delay: Duration::from_millis(2),
            loss_percent: 0,
        }
    };
    println!(
        "{:>5} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10} {:>10} {:>9} {:>9} {:>8}",
        "nodes",
        "msg/s",
        "out B/s",
        "in B/s",
        "max out",
        "cpu %",
        "noticed s",
        "gone s",
        "worst s",
        "stale s",
        "false"
    );
    for nodes in matches.get_many::<usize>("nodes").into_iter().flatten() {
        measure(*nodes, engines, links);
    }
    ExitCode::SUCCESS
}

fn measure(nodes: usize, engines: usize, links: Links) {
    let names: Vec<String> = (0..if nodes <= SMALL { 3 } else { 17 })
        .map(|n| format!("domain-{n}"))
        .collect();
    let domains: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut net = SimNetwork::new(&domains, links, 1);
    net.add_engines(nodes * engines);
    for n in 0..nodes {
        net.start(n);
    }
    net.publish_vm_list();
    net.advance(WARM_UP);
    if engines > 0 {
        return watch::measure(&mut net);
    }
    let before = traffic(&net);
    let began = Instant::now();
    net.advance(STEADY);
    let cpu = began.elapsed().as_secs_f64() / STEADY.as_secs_f64() / nodes as f64 * 100.0;
    let after = traffic(&net);
    let seconds = STEADY.as_secs_f64();
    let rate = |part: fn(&[u64; 3]) -> u64| {
        let sum: u64 = after.iter().map(part).sum::<u64>() - before.iter().map(part).sum::<u64>();
        sum as f64 / seconds / nodes as f64
    };
    let most = (0..nodes)
        .map(|n| after[n][1] - before[n][1])
        .max()
        .unwrap_or(0) as f64
        / seconds;
    let stale = staleness(&net);
    let suspected = false_suspects(&net);
    let (noticed, gone, worst) = deaths(&mut net, nodes);
    println!(
        "{nodes:>5} {:>9.1} {:>9.0} {:>9.0} {most:>9.0} {cpu:>9.3} {noticed:>10.2} {gone:>10.2} {worst:>9.2} {stale:>9.1} {suspected:>8}",
        rate(|t| t[0]),
        rate(|t| t[1]),
        rate(|t| t[2]),
    );
}

fn traffic(net: &SimNetwork) -> Vec<[u64; 3]> {
    let nodes = net.nodes.values().map(|node| node.traffic);
    nodes
        .map(|t| [t.sent, t.sent_bytes, t.received_bytes])
        .collect()
}

/// Age of the oldest fact that any node holds.
fn staleness(net: &SimNetwork) -> f64 {
    let rows = net.nodes.values().flat_map(|node| {
        let members = node.node.tables().members.iter();
        members.map(|(_, row)| net.now.since(row.last_seen))
    });
    rows.max().unwrap_or_default().as_secs_f64()
}

/// Times that a node holds another one, which lives, for suspect or dead.
fn false_suspects(net: &SimNetwork) -> usize {
    let wrong = |node: &Node| {
        let members = node.tables().members.iter();
        let wrong = members
            .filter(|(vm, row)| row.status != MemberStatus::Alive && net.nodes.contains_key(*vm));
        wrong.count()
    };
    net.nodes.values().map(|node| wrong(&node.node)).sum()
}

/// Kills nodes one by one: mean time until one node, and until all nodes,
/// hold them for suspect or dead, and the longest time until all do.
fn deaths(net: &mut SimNetwork, nodes: usize) -> (f64, f64, f64) {
    let mut killed = BTreeSet::new();
    let (mut noticed, mut gone, mut worst) = (0.0, 0.0, 0.0_f64);
    let count = DEATHS.min(nodes / 3);
    for n in 0..count {
        net.advance(Duration::from_millis(2_000 + 37 * n as u64));
        let vm = SimNetwork::vm(n * nodes / count);
        net.kill(&vm);
        let (first, all) = await_death(net, &vm);
        noticed += first;
        gone += all;
        worst = worst.max(all);
        killed.insert(vm);
    }
    (noticed / count as f64, gone / count as f64, worst)
}

fn await_death(net: &mut SimNetwork, vm: &VmId) -> (f64, f64) {
    let began = net.now;
    let holds_alive = |node: &Node| {
        let row = node.tables().members.get(vm);
        row.is_some_and(|row| row.status == MemberStatus::Alive)
    };
    let mut first = None;
    while net.now.since(began) < MAX_WAIT {
        net.advance(LOOK);
        let alive = net.nodes.values().filter(|n| holds_alive(&n.node)).count();
        let time = net.now.since(began).as_secs_f64();
        if alive < net.nodes.len() {
            first.get_or_insert(time);
        }
        if alive == 0 {
            return (first.unwrap_or(time), time);
        }
    }
    (f64::NAN, f64::NAN)
}
