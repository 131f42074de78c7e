//! Measures one change and one snapshot of the configuration over the number of
//! its backend servers.

use std::collections::BTreeMap;

use radishhaven_core::config::SnapshotPart;

use crate::{
    fit::Point,
    report::Report,
    setup::{self, NodeFixture},
    target,
};

/// Numbers of backend servers to measure.
const SIZES: [usize; 5] = [600, 1_500, 3_000, 6_000, 12_000];
const ORGANISATIONS: usize = 10;
/// Number of changes of which the fastest counts.
const CHANGES: usize = 1_000;
/// Number of snapshots of which the fastest counts.
const SNAPSHOTS: usize = 5;

/// Measures over the number of backend servers.
pub fn measure(report: &mut Report) {
    let (mut change, mut change_with_orders) = (Vec::new(), Vec::new());
    let (mut snapshot, mut bytes) = (Vec::new(), Vec::new());
    for workers in SIZES {
        let size = workers as f64;
        let mut node = NodeFixture::new(workers, ORGANISATIONS);
        let cost = measure_change(&mut node);
        change.push(Point { size, cost });
        let mut with_orders =
            NodeFixture::with_configs(workers, ORGANISATIONS, |cfg| cfg.orders.enabled = true);
        let cost = measure_change(&mut with_orders);
        change_with_orders.push(Point { size, cost });
        let config = &node.node.tables().config;
        let mut written = 0;
        let cost = setup::min_micros(SNAPSHOTS, || {
            let parts = config.snapshot();
            written = parts.iter().map(|p: &SnapshotPart| p.to_body().len()).sum();
        });
        snapshot.push(Point { size, cost });
        bytes.push(Point {
            size,
            cost: written as f64 / 1024.0,
        });
    }
    let (target_workers, size_name) = (target::WORKERS, "backend server");
    report.add(
        "one change of the configuration",
        size_name,
        "us",
        change,
        target_workers,
    );
    report.add(
        "the same where orders are given",
        size_name,
        "us",
        change_with_orders,
        target_workers,
    );
    report.add(
        "cutting a snapshot",
        size_name,
        "us",
        snapshot,
        target_workers,
    );
    report.add(
        "bytes of a snapshot",
        size_name,
        "KiB",
        bytes,
        target_workers,
    );
}

/// Returns the minimum time of one change, in microseconds.
fn measure_change(node: &mut NodeFixture) -> f64 {
    let key = setup::backend(7).key();
    let mut n = 0;
    setup::min_micros(CHANGES, || {
        n += 1;
        let entry = node.node.tables().config.objects().get(&key);
        let changed = entry.map(|entry| entry.changed).unwrap_or_default();
        let base = BTreeMap::from([(key.to_string(), changed)]);
        let objects = vec![setup::backend(7)];
        let planned = node.revision();
        node.publish(&setup::batch(
            &format!("change-{n}"),
            objects,
            base,
            planned,
        ));
    })
}
