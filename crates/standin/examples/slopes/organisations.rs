//! Measures the memory of the tables and one admission over the number of
//! organisations.

use crate::{
    fit::Point,
    report::Report,
    setup::{self, NodeFixture},
    target,
};

/// Numbers of organisations to measure.
const SIZES: [usize; 5] = [50, 100, 200, 400, 780];
const WORKERS: usize = 750;
/// Number of admissions of which the fastest counts.
const ADMISSIONS: usize = 300;

/// Measures over the number of organisations.
pub fn measure(report: &mut Report) {
    let (mut memory, mut admission) = (Vec::new(), Vec::new());
    for organisations in SIZES {
        let size = organisations as f64;
        let (mut node, bytes) = setup::allocated_by(|| NodeFixture::new(WORKERS, organisations));
        memory.push(Point {
            size,
            cost: bytes / 1024.0,
        });
        let cost = setup::min_micros(ADMISSIONS, || {
            node.submit(organisations - 1);
        });
        admission.push(Point { size, cost });
    }
    let target_organisations = target::ORGANISATIONS;
    report.add(
        "memory of the tables",
        "organisation",
        "KiB",
        memory,
        target_organisations,
    );
    report.add(
        "one admission with its choice",
        "organisation",
        "us",
        admission,
        target_organisations,
    );
}
