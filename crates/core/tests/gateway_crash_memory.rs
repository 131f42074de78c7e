//! Memory that a node takes for crashes under prompts of many parts.
//!
//! The only test of this program, since it measures the whole process.

mod gateway_fakes;

use cap::Cap;
use gateway_fakes::{
    crashes::{WAITING, node_after_crashes},
    id, ms,
};
use radishhaven_core::gateway::{
    Gateway,
    peers::{ReportRecipient, Source},
};

#[global_allocator]
static ALLOCATOR: Cap<std::alloc::System> = Cap::new(std::alloc::System, usize::MAX);

/// Nodes that report to a hub, and the parts of each prompt.
const CASES: [(usize, usize, usize); 2] = [(6, 4, 1_000), (36, WAITING, 1_300)];
/// A tenth of the memory of the smallest node, which has 160 MB.
const MAX_BYTES: usize = 16_000_000;

/// Guards against nodes that hang and grow after a crash under long prompts: the
/// evidence had an entry for each pair of parts.
#[test]
fn evidence_on_long_prompts_takes_little_memory() {
    for (peers, requests, parts) in CASES {
        let before = ALLOCATOR.allocated();
        let mut hub = node_after_crashes(0, requests, parts);
        for number in 1..=peers {
            let from = id(&format!("front-{number}"));
            let report = node_after_crashes(number, requests, parts);
            let report = report.report(ms(1_200), true, None, ReportRecipient::Hub);
            hub.apply_report(ms(1_200), from, Source::Leaf, report);
        }
        Gateway::review_quarantine(&mut hub, ms(2_000));
        let peak = ALLOCATOR.max_allocated() - before;
        assert!(peak <= MAX_BYTES, "{peak} bytes with {peers} peers");
    }
}
