//! Measures applying changes of the configuration, and their bytes.

use std::{collections::BTreeMap, time::Instant};

use radishhaven_core::ids::Revision;

use crate::{
    fit::Point,
    report::Report,
    setup::{self, NodeFixture},
    target,
};

/// Numbers of changes to measure.
const SIZES: [usize; 4] = [50, 100, 200, 400];
const WORKERS: usize = 12_000;
const ORGANISATIONS: usize = 780;

/// Measures over the number of changes, on a configuration with all backend
/// servers and organisations of the target.
pub fn measure(report: &mut Report) {
    let mut node = NodeFixture::new(WORKERS, ORGANISATIONS);
    let (mut time, mut bytes) = (Vec::new(), Vec::new());
    let mut changed: Revision = last_change_of_organisation(&node);
    for (round, changes) in SIZES.into_iter().enumerate() {
        let size = changes as f64;
        let mut sent = 0;
        let started = Instant::now();
        for n in 0..changes {
            let object = setup::organisation(0);
            let base = BTreeMap::from([(object.key().to_string(), changed)]);
            let batch = setup::batch(&format!("change-{round}-{n}"), vec![object], base, changed);
            sent += serde_json::to_vec(&batch).map_or(0, |body| body.len());
            node.publish(&batch);
            changed = node.revision();
        }
        time.push(Point {
            size,
            cost: started.elapsed().as_secs_f64() * 1e3,
        });
        bytes.push(Point {
            size,
            cost: sent as f64 / 1024.0,
        });
    }
    let changes_per_s = target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    report.add("folding", "change a second", "ms", time, changes_per_s);
    report.add(
        "records read",
        "change a second",
        "KiB",
        bytes,
        changes_per_s,
    );
}

/// Returns the revision at which organisation 0 last changed.
fn last_change_of_organisation(node: &NodeFixture) -> Revision {
    let key = setup::organisation(0).key();
    let entry = node.node.tables().config.objects().get(&key);
    entry.map(|entry| entry.changed).unwrap_or_default()
}
