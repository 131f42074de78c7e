//! Changes of the configuration: folding them, and their bytes.

use std::{collections::BTreeMap, time::Instant};

use radishhaven_core::ids::Revision;

use crate::{
    fit::Point,
    report::Report,
    sample::{self, Sample},
    target,
};

const SIZES: [usize; 4] = [50, 100, 200, 400];
const WORKERS: usize = 12_000;
const ORGANISATIONS: usize = 780;

/// Measures over the number of changes, with the whole target's objects there.
pub fn measure(report: &mut Report) {
    let mut node = Sample::new(WORKERS, ORGANISATIONS);
    let (mut time, mut bytes) = (Vec::new(), Vec::new());
    let mut changed: Revision = first_change_of_organisations(&node);
    for (round, changes) in SIZES.into_iter().enumerate() {
        let size = changes as f64;
        let mut sent = 0;
        let begun = Instant::now();
        for n in 0..changes {
            let object = sample::organisation(0);
            let base = BTreeMap::from([(object.key().to_string(), changed)]);
            let batch = sample::batch(&format!("change-{round}-{n}"), vec![object], base, changed);
            sent += serde_json::to_vec(&batch).map_or(0, |body| body.len());
            node.publish(&batch);
            changed = node.revision();
        }
        time.push(Point {
            size,
            cost: begun.elapsed().as_secs_f64() * 1e3,
        });
        bytes.push(Point {
            size,
            cost: sent as f64 / 1024.0,
        });
    }
    let a_second = target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    report.add("folding", "change a second", "ms", time, a_second);
    report.add("records read", "change a second", "KiB", bytes, a_second);
}

fn first_change_of_organisations(node: &Sample) -> Revision {
    let key = sample::organisation(0).key();
    let entry = node.node.tables().config.objects().get(&key);
    entry.map(|entry| entry.changed).unwrap_or_default()
}
