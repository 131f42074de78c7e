//! What nodes do for crashes under prompts of one and of many parts, in some seconds of
//! a hub: the mean and the longest time of each call, and the share of a core in all.
//!
//! Every node has seen as many suspect requests as it keeps, and nothing was answered.
//! The times are printed one by one, since the longest one is what delays requests.

#[path = "../tests/gateway_fakes/mod.rs"]
mod gateway_fakes;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use gateway_fakes::{
    crashes::{WAITING, causes, node_after_crashes},
    id, ms, name,
};
use radishhaven_core::{
    gateway::{
        Gateway,
        peers::{ReportRecipient, Source},
    },
    ids::VmId,
};

/// Parts of a prompt: of one part, of a long session, and of the longest head.
const PARTS: [usize; 3] = [1, 100, 1_300];
/// Nodes that send their reports to one hub.
const PEERS: [usize; 2] = [36, 360];
/// Interval of the reports of a node.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds of reports that are measured.
const ROUNDS: u32 = 15;
/// Crashes of requests in the time of a report.
const CRASHES_PER_ROUND: u32 = 8;

/// The time that calls of one kind took.
#[derive(Debug, Default)]
struct Times {
    count: u32,
    total: Duration,
    longest: Duration,
}

impl Times {
    fn measure<T>(&mut self, call: impl FnOnce() -> T) {
        let started = Instant::now();
        black_box(call());
        let took = started.elapsed();
        self.count += 1;
        self.total += took;
        self.longest = self.longest.max(took);
    }

    fn print(&self, what: &str) {
        let mean = self.total / self.count.max(1);
        let simulated = REPORT_INTERVAL * ROUNDS;
        let share = self.total.as_secs_f64() / simulated.as_secs_f64();
        println!(
            "  {what:<20} mean {mean:>10.1?}  longest {:>10.1?}  core {share:.4}",
            self.longest
        );
    }
}

fn measure(peers: usize, parts: usize) {
    let nodes = (1..=peers).map(|node| node_after_crashes(node, WAITING, parts));
    let nodes: Vec<Gateway> = nodes.collect();
    let vms: Vec<VmId> = (1..=peers)
        .map(|node| id(&format!("front-{node}")))
        .collect();
    let mut hub = node_after_crashes(0, WAITING, parts);
    let [mut applied, mut sent, mut crashed, mut answered] = [(); 4].map(|()| Times::default());
    let mut now = ms(1_200);
    let mut number = 1 << 20;
    for _ in 0..ROUNDS {
        for (node, vm) in nodes.iter().zip(&vms) {
            now = now + REPORT_INTERVAL / peers as u32;
            let report = node.report(now, true, None, ReportRecipient::Hub);
            let from = vm.clone();
            applied.measure(|| hub.apply_report(now, from, Source::Leaf, report));
            sent.measure(|| hub.report(now, true, None, ReportRecipient::Leaf(vm)));
        }
        for _ in 0..CRASHES_PER_ROUND {
            number += 1;
            let causes = causes(number, parts);
            crashed.measure(|| hub.record_crash(now, &name(number % 8), &causes));
            answered.measure(|| {
                hub.quarantine_left(now, &causes);
                hub.record_request_answered(now, &causes);
            });
        }
    }
    println!("{peers} peers, {parts} parts");
    applied.print("report of a peer");
    sent.print("report to a leaf");
    crashed.print("crash of a request");
    answered.print("answered request");
}

fn main() {
    for peers in PEERS {
        for parts in PARTS {
            measure(peers, parts);
        }
    }
}
