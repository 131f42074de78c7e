//! Open requests: memory of each.

use crate::{
    fit::Point,
    report::Report,
    sample::{self, Sample},
    target,
};

const SIZES: [usize; 5] = [100, 200, 400, 800, 1_600];
const WORKERS: usize = 750;
const ORGANISATIONS: usize = 10;

/// Measures over the number of open requests.
pub fn measure(report: &mut Report) {
    let mut memory = Vec::new();
    for requests in SIZES {
        let mut node = Sample::new(WORKERS, ORGANISATIONS);
        let ((), bytes) = sample::allocated_by(|| {
            for n in 0..requests {
                node.submit(n % ORGANISATIONS);
            }
        });
        memory.push(Point {
            size: node.node.tables().requests.len() as f64,
            cost: bytes / 1024.0,
        });
    }
    let open = target::REQUESTS_PER_S / target::NODES * target::REQUEST_OPEN_S;
    report.add(
        "memory of open requests",
        "open request",
        "KiB",
        memory,
        open,
    );
}
