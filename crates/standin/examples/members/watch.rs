//! The watch over engines: bytes and reads a node, and the time until what
//! changed at an engine is known everywhere.
//!
//! Each engine has another queue at each read, so that there is always more
//! to tell than the bound on bytes lets through.

use std::time::Duration;

use radishhaven_core::{ids::VmId, watch::HeldDigest};
use radishhaven_standin::net::SimNetwork;

use crate::{LOOK, MAX_WAIT, STEADY};

/// Time between two looks at all engines.
const LOOK_AT_ALL: Duration = Duration::from_millis(500);

/// Changes at single engines that are measured.
const CHANGES: usize = 5;
/// Longest wait for the first reports of all engines.
const MAX_FIRST: Duration = Duration::from_secs(300);

/// Measures a net whose nodes know each other, and prints a line.
pub fn measure(net: &mut SimNetwork) {
    let nodes = net.nodes.len();
    let engines: Vec<VmId> = net.engines.keys().cloned().collect();
    let first = until_known(net, &engines, MAX_FIRST);
    let before = counts(net);
    net.advance(STEADY);
    let after = counts(net);
    let rate = |n: usize| (after[n] - before[n]) as f64 / STEADY.as_secs_f64() / nodes as f64;
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let vm = &engines[n * engines.len() / CHANGES];
        change(net, vm);
        times.push(until_known(net, std::slice::from_ref(vm), MAX_WAIT));
    }
    for vm in &engines {
        change(net, vm);
    }
    let all = until_known(net, &engines, MAX_FIRST);
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

fn counts(net: &SimNetwork) -> [u64; 3] {
    let traffic = || net.nodes.values().map(|node| node.traffic);
    [
        traffic().map(|t| t.watch_bytes).sum(),
        traffic().map(|t| t.sent_bytes).sum(),
        traffic().map(|t| t.reads).sum(),
    ]
}

/// Lets an engine begin to load, or end.
fn change(net: &mut SimNetwork, vm: &VmId) {
    if let Some(engine) = net.engines.get_mut(vm) {
        engine.held.loading = !engine.held.loading;
    }
}

/// Returns the seconds until all nodes know what some engines hold.
fn until_known(net: &mut SimNetwork, engines: &[VmId], most: Duration) -> f64 {
    let began = net.now;
    let wanted: Vec<(&VmId, HeldDigest)> = engines
        .iter()
        .filter_map(|vm| Some((vm, HeldDigest::from_held(&net.engines.get(vm)?.held))))
        .collect();
    let look = if engines.len() > 1 { LOOK_AT_ALL } else { LOOK };
    while net.now.since(began) < most {
        net.advance(look);
        let known = net.all(|node| {
            wanted.iter().all(|(vm, holds)| {
                let row = node.tables().backends.get(vm);
                let report = row.and_then(|row| row.report);
                report.is_some_and(|report| report.body.holds == *holds)
            })
        });
        if known {
            return net.now.since(began).as_secs_f64();
        }
    }
    f64::NAN
}
