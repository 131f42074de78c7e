//! Measures the VM list: full reads at a reading node, and changes that it
//! sends to the other nodes.

use std::{collections::BTreeSet, time::Duration};

use radishhaven_core::{
    message::Event,
    peer::{PeerMessage, VmListMessage, VmListUpdate},
    platform::{Vm, VmChanges, VmList, VmState},
    tables::{BackendTable, VmTable},
};
use radishhavend::edges::peers;

use crate::{
    fit::Point,
    report::Report,
    setup::{self, NodeFixture},
    target,
};

/// Numbers of backend servers to measure.
const SIZES: [usize; 5] = [750, 1_500, 3_000, 6_000, 12_000];
const ORGANISATIONS: usize = 10;
/// Number of runs of which the fastest counts.
const RUNS: usize = 10;

/// Measures over the number of backend servers.
pub fn measure(report: &mut Report) {
    let (target_workers, size_name) = (target::WORKERS, "backend server");
    let mut costs: [Vec<Point>; 7] = Default::default();
    for workers in SIZES {
        let size = workers as f64;
        let measured = [measure_reads(workers), measure_changes(workers)].concat();
        for (points, cost) in costs.iter_mut().zip(measured) {
            points.push(Point { size, cost });
        }
    }
    let names = [
        ("bytes of the VM list", "KiB"),
        ("reading the VM list", "us"),
        ("taking over the VM list", "us"),
        ("comparing the VM list with the last", "us"),
        ("bytes of the VM list to a node", "KiB"),
        ("bytes of one change to a node", "KiB"),
        ("taking over one change of a node", "us"),
    ];
    for ((name, unit), points) in names.into_iter().zip(costs) {
        report.add(name, size_name, unit, points, target_workers);
    }
}

/// Returns the size of the VM list in KiB and the minimum times, in
/// microseconds, to parse it, to apply a changed list and to compare it with an
/// equal one.
fn measure_reads(workers: usize) -> Vec<f64> {
    let mut node = NodeFixture::new(workers, ORGANISATIONS);
    let mut vms: Vec<Vm> = (0..workers).map(setup::vm).collect();
    let text = serde_json::to_vec(&VmList { vms: vms.clone() }).unwrap_or_default();
    let parse = setup::min_micros(RUNS, || {
        let list: Result<VmList, _> = serde_json::from_slice(&text);
        assert!(list.is_ok(), "the VM list can be parsed");
    });
    let mut flips = 0;
    let apply = setup::min_micros(RUNS, || {
        flips += 1;
        vms[flips].state = VmState::Leaving;
        node.handle(Event::VmList(VmList { vms: vms.clone() }));
    });
    let last = text.clone();
    let compare = setup::min_micros(RUNS, || {
        assert!(std::hint::black_box(&last) == std::hint::black_box(&text));
        node.handle(Event::VmListUnchanged);
    });
    vec![text.len() as f64 / 1024.0, parse, apply, compare]
}

/// Returns the encoded sizes in KiB of the full VM list and of one change, and
/// the minimum time in microseconds to apply one change.
fn measure_changes(workers: usize) -> Vec<f64> {
    let node = NodeFixture::new(workers, ORGANISATIONS);
    let config = &node.node.tables().config;
    let all: Vec<Vm> = (0..workers).map(setup::vm).collect();
    let mut vms = VmTable::default();
    vms.replace(VmList { vms: all.clone() });
    let mut backends = BackendTable::default();
    backends.rebuild(config, &vms);
    let mut flips = 0;
    let mut change = Vec::new();
    let apply = setup::min_micros(RUNS, || {
        flips += 1;
        let mut vm = all[flips].clone();
        vm.state = VmState::Leaving;
        let changed = BTreeSet::from([vm.vm.clone()]);
        change = vec![vm];
        let changes = changes(change.clone());
        let digest = vms.digest_after(&changes);
        vms.apply(changes, digest);
        backends.update(config, &vms, &changed);
    });
    vec![encoded_kib(&vms, all), encoded_kib(&vms, change), apply]
}

fn changes(put: Vec<Vm>) -> VmChanges {
    let removed = Vec::new();
    VmChanges { put, removed }
}

/// Returns the encoded size in KiB of an update that adds or replaces `put`.
fn encoded_kib(vms: &VmTable, put: Vec<Vm>) -> f64 {
    let update = VmListUpdate {
        number: u64::from(u16::MAX),
        base: Some(vms.digest()),
        digest: vms.digest(),
        began_ago: Duration::from_millis(1_234),
        ended_ago: Duration::from_millis(1_234),
        changes: changes(put),
    };
    let message = PeerMessage::Vms(VmListMessage::Changed(update));
    let frame = peers::encode(&message).map_or(0, |frame| frame.len());
    frame as f64 / 1024.0
}
