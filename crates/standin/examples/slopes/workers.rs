//! Backend servers: memory of the tables, one choice, one change of the list.

use radishhaven_core::{
    message::Event,
    platform::{VmList, VmState},
};

use crate::{
    fit::Point,
    report::Report,
    sample::{self, Sample},
    target,
};

const SIZES: [usize; 5] = [750, 1_500, 3_000, 6_000, 12_000];
const ORGANISATIONS: usize = 10;
const CHOICES: usize = 300;
const LISTS: usize = 10;

/// Measures over the number of backend servers.
pub fn measure(report: &mut Report) {
    measure_tables(report);
    measure_list(report);
}

fn measure_tables(report: &mut Report) {
    let (mut memory, mut choice) = (Vec::new(), Vec::new());
    for workers in SIZES {
        let size = workers as f64;
        let (mut node, bytes) = sample::allocated_by(|| Sample::new(workers, ORGANISATIONS));
        memory.push(Point {
            size,
            cost: bytes / 1024.0,
        });
        let cost = sample::least_micros(CHOICES, || {
            node.submit(0);
        });
        choice.push(Point { size, cost });
    }
    let (of, each) = (target::WORKERS, "backend server");
    report.add("memory of the tables", each, "KiB", memory, of);
    report.add("one admission with its choice", each, "us", choice, of);
}

fn measure_list(report: &mut Report) {
    let (mut bytes, mut read, mut change) = (Vec::new(), Vec::new(), Vec::new());
    for workers in SIZES {
        let size = workers as f64;
        let mut node = Sample::new(workers, ORGANISATIONS);
        let mut vms: Vec<_> = (0..workers).map(sample::vm).collect();
        let text = serde_json::to_vec(&VmList { vms: vms.clone() }).unwrap_or_default();
        bytes.push(Point {
            size,
            cost: text.len() as f64 / 1024.0,
        });
        let cost = sample::least_micros(LISTS, || {
            let list: Result<VmList, _> = serde_json::from_slice(&text);
            assert!(list.is_ok(), "the list can be read");
        });
        read.push(Point { size, cost });
        let mut flips = 0;
        let cost = sample::least_micros(LISTS, || {
            flips += 1;
            vms[flips].state = VmState::Leaving;
            node.handle(Event::VmList(VmList { vms: vms.clone() }));
        });
        change.push(Point { size, cost });
    }
    let (of, each) = (target::WORKERS, "backend server");
    report.add("bytes of the VM list", each, "KiB", bytes, of);
    report.add("reading the VM list", each, "us", read, of);
    report.add("taking over the VM list", each, "us", change, of);
}
