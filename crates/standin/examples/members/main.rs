//! Measures the membership protocol on many simulated nodes in virtual time:
//! messages and bytes per node, the time to detect a failure and processor time.
//!
//! Bytes include the encoded messages and their frames. Processor time covers
//! the decisions of the nodes and the simulated network.

mod watch;

use std::{
    collections::BTreeSet,
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::{Arg, ArgAction, Command, value_parser};
use radishhaven_core::{ids::VmId, node::Node, peer::MemberStatus};
use radishhaven_standin::net::{Links, SimNetwork};

/// Time in which the nodes discover each other before the measurements start.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time over which traffic is measured.
const TRAFFIC_PERIOD: Duration = Duration::from_secs(20);
/// Maximum number of nodes that are killed.
const MAX_KILLS: usize = 10;
/// Time between two checks of whether all nodes detected a failure.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait until all nodes detected a failure or received a change.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of nodes of a deployment with 3 failure domains; a larger one
/// has 17.
const MAX_SMALL_NODES: usize = 9;

fn main() -> ExitCode {
    let nodes = Arg::new("nodes")
        .long("nodes")
        .value_delimiter(',')
        .value_parser(value_parser!(usize))
        .default_value("9,45,90,180,360")
        .help("Deployment sizes to measure, in nodes");
    let slow = Arg::new("slow")
        .long("slow")
        .action(ArgAction::SetTrue)
        .help("Uses links with a delay of 50 to 200 ms that drop 2 % of the messages");
    let engines = Arg::new("engines")
        .long("engines")
        .value_parser(value_parser!(usize))
        .default_value("0")
        .help("Engines per node; above 0, measures the watch over engines instead of membership");
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

/// Measures one deployment size and prints a row of the table; with engines,
/// measures only the watch over them.
fn measure(nodes: usize, engines: usize, links: Links) {
    let names: Vec<String> = (0..if nodes <= MAX_SMALL_NODES { 3 } else { 17 })
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
    net.advance(TRAFFIC_PERIOD);
    let cpu = began.elapsed().as_secs_f64() / TRAFFIC_PERIOD.as_secs_f64() / nodes as f64 * 100.0;
    let after = traffic(&net);
    let seconds = TRAFFIC_PERIOD.as_secs_f64();
    let rate = |counter: fn(&[u64; 3]) -> u64| {
        let sum: u64 =
            after.iter().map(counter).sum::<u64>() - before.iter().map(counter).sum::<u64>();
        sum as f64 / seconds / nodes as f64
    };
    let max_out = (0..nodes)
        .map(|n| after[n][1] - before[n][1])
        .max()
        .unwrap_or(0) as f64
        / seconds;
    let stale = staleness(&net);
    let suspected = false_suspects(&net);
    let (noticed, gone, worst) = measure_kills(&mut net, nodes);
    println!(
        "{nodes:>5} {:>9.1} {:>9.0} {:>9.0} {max_out:>9.0} {cpu:>9.3} {noticed:>10.2} {gone:>10.2} {worst:>9.2} {stale:>9.1} {suspected:>8}",
        rate(|t| t[0]),
        rate(|t| t[1]),
        rate(|t| t[2]),
    );
}

/// Returns messages sent, bytes sent and bytes received of each node.
fn traffic(net: &SimNetwork) -> Vec<[u64; 3]> {
    let nodes = net.nodes.values().map(|node| node.traffic);
    nodes
        .map(|t| [t.sent, t.sent_bytes, t.received_bytes])
        .collect()
}

/// Returns the age in seconds of the oldest membership fact at any node.
fn staleness(net: &SimNetwork) -> f64 {
    let rows = net.nodes.values().flat_map(|node| {
        let members = node.node.tables().members.iter();
        members.map(|(_, row)| net.now.since(row.last_seen))
    });
    rows.max().unwrap_or_default().as_secs_f64()
}

/// Returns how many running nodes are considered suspect or dead, summed over
/// all nodes.
fn false_suspects(net: &SimNetwork) -> usize {
    let wrong = |node: &Node| {
        let members = node.tables().members.iter();
        let wrong = members
            .filter(|(vm, row)| row.status != MemberStatus::Alive && net.nodes.contains_key(*vm));
        wrong.count()
    };
    net.nodes.values().map(|node| wrong(&node.node)).sum()
}

/// Kills nodes one by one and returns the detection times in seconds: the mean
/// until the first node considers the killed one suspect or dead, the mean
/// until all nodes do, and the maximum until all do.
fn measure_kills(net: &mut SimNetwork, nodes: usize) -> (f64, f64, f64) {
    let mut killed = BTreeSet::new();
    let (mut first_sum, mut all_sum, mut max_all) = (0.0, 0.0, 0.0_f64);
    let count = MAX_KILLS.min(nodes / 3);
    for n in 0..count {
        net.advance(Duration::from_millis(2_000 + 37 * n as u64));
        let vm = SimNetwork::vm(n * nodes / count);
        net.kill(&vm);
        let (first, all) = await_detection(net, &vm);
        first_sum += first;
        all_sum += all;
        max_all = max_all.max(all);
        killed.insert(vm);
    }
    (first_sum / count as f64, all_sum / count as f64, max_all)
}

/// Returns the seconds until the first node and until all nodes consider a
/// killed node suspect or dead; NaN after [`MAX_WAIT`].
fn await_detection(net: &mut SimNetwork, vm: &VmId) -> (f64, f64) {
    let began = net.now;
    let considers_alive = |node: &Node| {
        let row = node.tables().members.get(vm);
        row.is_some_and(|row| row.status == MemberStatus::Alive)
    };
    let mut first = None;
    while net.now.since(began) < MAX_WAIT {
        net.advance(POLL_INTERVAL);
        let alive = net
            .nodes
            .values()
            .filter(|n| considers_alive(&n.node))
            .count();
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
