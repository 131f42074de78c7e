//! Measures the memory of the tables and one admission over the number of
//! backend servers.

use crate::{
    fit::Point,
    report::Report,
    setup::{self, NodeFixture},
    target,
};

/// Numbers of backend servers to measure.
const SIZES: [usize; 5] = [750, 1_500, 3_000, 6_000, 12_000];
const ORGANISATIONS: usize = 10;
/// Number of admissions of which the fastest counts.
const ADMISSIONS: usize = 300;

/// Measures over the number of backend servers.
pub fn measure(report: &mut Report) {
    let (mut memory, mut admission) = (Vec::new(), Vec::new());
    for workers in SIZES {
        let size = workers as f64;
        let (mut node, bytes) = setup::allocated_by(|| NodeFixture::new(workers, ORGANISATIONS));
        memory.push(Point {
            size,
            cost: bytes / 1024.0,
        });
        let cost = setup::min_micros(ADMISSIONS, || {
            node.submit(0);
        });
        admission.push(Point { size, cost });
    }
    let (target_workers, size_name) = (target::WORKERS, "backend server");
    report.add(
        "memory of the tables",
        size_name,
        "KiB",
        memory,
        target_workers,
    );
    report.add(
        "one admission with its choice",
        size_name,
        "us",
        admission,
        target_workers,
    );
}
