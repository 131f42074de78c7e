//! Organisations: memory of the tables and one admission.

use crate::{
    fit::Point,
    report::Report,
    sample::{self, Sample},
    target,
};

const SIZES: [usize; 5] = [50, 100, 200, 400, 780];
const WORKERS: usize = 750;
const ADMISSIONS: usize = 300;

/// Measures over the number of organisations.
pub fn measure(report: &mut Report) {
    let (mut memory, mut admission) = (Vec::new(), Vec::new());
    for organisations in SIZES {
        let size = organisations as f64;
        let (mut node, bytes) = sample::allocated_by(|| Sample::new(WORKERS, organisations));
        memory.push(Point {
            size,
            cost: bytes / 1024.0,
        });
        let cost = sample::least_micros(ADMISSIONS, || {
            node.submit(organisations - 1);
        });
        admission.push(Point { size, cost });
    }
    let of = target::ORGANISATIONS;
    report.add("memory of the tables", "organisation", "KiB", memory, of);
    report.add(
        "one admission with its choice",
        "organisation",
        "us",
        admission,
        of,
    );
}
