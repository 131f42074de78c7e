//! Backend servers: memory of the tables, one choice.

use crate::{
    fit::Point,
    report::Report,
    sample::{self, Sample},
    target,
};

const SIZES: [usize; 5] = [750, 1_500, 3_000, 6_000, 12_000];
const ORGANISATIONS: usize = 10;
const CHOICES: usize = 300;

/// Measures over the number of backend servers.
pub fn measure(report: &mut Report) {
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
