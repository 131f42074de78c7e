//! Measures the watch over engines: bytes and reads per node, and the time
//! until all nodes have a changed report of an engine.
//!
//! Each read of an engine returns another queue length. The nodes therefore
//! always have more reports to send than the byte limit admits.

use std::time::Duration;

use radishhaven_core::{ids::VmId, watch::HeldDigest};
use radishhaven_standin::net::SimNetwork;

use crate::{MAX_WAIT, POLL_INTERVAL, TRAFFIC_PERIOD};

/// Time between two checks that cover all engines.
const POLL_ALL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of measured changes at single engines.
const CHANGES: usize = 5;
/// Maximum wait until all nodes have the current reports of all engines.
const MAX_WAIT_ALL: Duration = Duration::from_secs(300);

/// Measures a network whose nodes have discovered each other and prints a line.
pub fn measure(net: &mut SimNetwork) {
    let nodes = net.nodes.len();
    let engines: Vec<VmId> = net.engines.keys().cloned().collect();
    let first = seconds_until_reported(net, &engines, MAX_WAIT_ALL);
    let before = counts(net);
    net.advance(TRAFFIC_PERIOD);
    let after = counts(net);
    let rate =
        |n: usize| (after[n] - before[n]) as f64 / TRAFFIC_PERIOD.as_secs_f64() / nodes as f64;
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let vm = &engines[n * engines.len() / CHANGES];
        toggle_loading(net, vm);
        times.push(seconds_until_reported(
            net,
            std::slice::from_ref(vm),
            MAX_WAIT,
        ));
    }
    for vm in &engines {
        toggle_loading(net, vm);
    }
    let all = seconds_until_reported(net, &engines, MAX_WAIT_ALL);
    let mean = times.iter().sum::<f64>() / CHANGES as f64;
    let worst = times.iter().copied().fold(0.0, f64::max);
    println!(
        "watch: {} engines, {:.0} B/s of {:.0} B/s out, {:.1} reads/s a node; \
         change known everywhere after {mean:.2} s, worst {worst:.2} s; \
         first reports {first:.1} s, all at once {all:.1} s",
        engines.len(),
        rate(0),
        rate(1),
        rate(2),
    );
}

/// Returns watch bytes, sent bytes and reads, summed over all nodes.
fn counts(net: &SimNetwork) -> [u64; 3] {
    let traffic = || net.nodes.values().map(|node| node.traffic);
    [
        traffic().map(|t| t.watch_bytes).sum(),
        traffic().map(|t| t.sent_bytes).sum(),
        traffic().map(|t| t.reads).sum(),
    ]
}

/// Toggles whether an engine is loading.
fn toggle_loading(net: &mut SimNetwork, vm: &VmId) {
    if let Some(engine) = net.engines.get_mut(vm) {
        engine.held.loading = !engine.held.loading;
    }
}

/// Returns the seconds until all nodes have current reports of what the given
/// engines hold; NaN after `max_wait`.
fn seconds_until_reported(net: &mut SimNetwork, engines: &[VmId], max_wait: Duration) -> f64 {
    let began = net.now;
    let expected: Vec<(&VmId, HeldDigest)> = engines
        .iter()
        .filter_map(|vm| Some((vm, HeldDigest::from_held(&net.engines.get(vm)?.held))))
        .collect();
    let interval = if engines.len() > 1 {
        POLL_ALL_INTERVAL
    } else {
        POLL_INTERVAL
    };
    while net.now.since(began) < max_wait {
        net.advance(interval);
        let reported = net.all(|node| {
            expected.iter().all(|(vm, holds)| {
                let row = node.tables().backends.get(vm);
                let report = row.and_then(|row| row.report);
                report.is_some_and(|report| report.body.holds == *holds)
            })
        });
        if reported {
            return net.now.since(began).as_secs_f64();
        }
    }
    f64::NAN
}
