//! Measures the memory of open requests over their number.

use crate::{
    fit::Point,
    report::Report,
    setup::{self, NodeFixture},
    target,
};

/// Numbers of requests to submit.
const SIZES: [usize; 5] = [100, 200, 400, 800, 1_600];
const WORKERS: usize = 750;
const ORGANISATIONS: usize = 10;

/// Measures over the number of open requests.
pub fn measure(report: &mut Report) {
    let mut memory = Vec::new();
    for requests in SIZES {
        let mut node = NodeFixture::new(WORKERS, ORGANISATIONS);
        let ((), bytes) = setup::allocated_by(|| {
            for n in 0..requests {
                node.submit(n % ORGANISATIONS);
            }
        });
        memory.push(Point {
            size: node.node.tables().requests.len() as f64,
            cost: bytes / 1024.0,
        });
    }
    let target_open_requests = target::REQUESTS_PER_S / target::NODES * target::REQUEST_OPEN_S;
    report.add(
        "memory of open requests",
        "open request",
        "KiB",
        memory,
        target_open_requests,
    );
}
