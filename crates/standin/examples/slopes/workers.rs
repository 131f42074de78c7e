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
    let (mut memory, mut choice, mut list) = (Vec::new(), Vec::new(), Vec::new());
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
        let mut flips = 0;
        let mut vms: Vec<_> = (0..workers).map(sample::vm).collect();
        let cost = sample::least_micros(LISTS, || {
            flips += 1;
            vms[flips].state = VmState::Leaving;
            node.handle(Event::VmList(VmList { vms: vms.clone() }));
        });
        list.push(Point { size, cost });
    }
    let of = target::WORKERS;
    report.add("memory of the tables", "backend server", "KiB", memory, of);
    report.add(
        "one admission with its choice",
        "backend server",
        "us",
        choice,
        of,
    );
    report.add(
        "one change on the VM list",
        "backend server",
        "us",
        list,
        of,
    );
}
