//! The configuration: one change and one snapshot, over the number of backend
//! servers that it names.

use std::collections::BTreeMap;

use radishhaven_core::config::SnapshotPart;

use crate::{
    fit::Point,
    report::Report,
    sample::{self, Sample},
    target,
};

const SIZES: [usize; 5] = [600, 1_500, 3_000, 6_000, 12_000];
const ORGANISATIONS: usize = 10;
const CHANGES: usize = 1_000;
const SNAPSHOTS: usize = 5;

/// Measures over the number of backend servers.
pub fn measure(report: &mut Report) {
    let (mut change, mut ordered) = (Vec::new(), Vec::new());
    let (mut cut, mut bytes) = (Vec::new(), Vec::new());
    for workers in SIZES {
        let size = workers as f64;
        let mut node = Sample::new(workers, ORGANISATIONS);
        let cost = measure_change(&mut node);
        change.push(Point { size, cost });
        let mut giving = Sample::with(workers, ORGANISATIONS, |cfg| cfg.orders.enabled = true);
        let cost = measure_change(&mut giving);
        ordered.push(Point { size, cost });
        let config = &node.node.tables().config;
        let mut written = 0;
        let cost = sample::least_micros(SNAPSHOTS, || {
            let parts = config.snapshot();
            written = parts.iter().map(|p: &SnapshotPart| p.to_body().len()).sum();
        });
        cut.push(Point { size, cost });
        bytes.push(Point {
            size,
            cost: written as f64 / 1024.0,
        });
    }
    let (of, each) = (target::WORKERS, "backend server");
    report.add("one change of the configuration", each, "us", change, of);
    report.add("the same where orders are given", each, "us", ordered, of);
    report.add("cutting a snapshot", each, "us", cut, of);
    report.add("bytes of a snapshot", each, "KiB", bytes, of);
}

fn measure_change(node: &mut Sample) -> f64 {
    let key = sample::backend(7).key();
    let mut n = 0;
    sample::least_micros(CHANGES, || {
        n += 1;
        let entry = node.node.tables().config.objects().get(&key);
        let changed = entry.map(|entry| entry.changed).unwrap_or_default();
        let base = BTreeMap::from([(key.to_string(), changed)]);
        let objects = vec![sample::backend(7)];
        let planned = node.revision();
        node.publish(&sample::batch(
            &format!("change-{n}"),
            objects,
            base,
            planned,
        ));
    })
}
