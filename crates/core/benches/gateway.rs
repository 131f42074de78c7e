//! Benchmarks of a gateway's choice of a path and of its plans for engines, at the
//! current size of a deployment and at the target size.

#[path = "../tests/gateway_fakes/mod.rs"]
mod gateway_fakes;

use std::{collections::BTreeMap, hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use gateway_fakes::{ENGINES, TYPICAL, engine, id, ms, name, place, spec, table};
use radishhaven_core::{
    gateway::{
        Server,
        paths::{choose, copies::Copies},
        placement::{PendingOrders, next_orders, plan},
    },
    ids::VmId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Engines of each failure domain for one unit of size.
const KINDS: [(&str, usize); 3] = [("a100", 4), ("l40s", 13), ("l4", 21)];
const DOMAINS: [&str; 5] = ["centro", "cordon", "pocitos", "malvin", "prado"];
/// Units of size; one unit is 190 engines.
const SIZES: [usize; 3] = [1, 16, 63];

fn empty_engines(units: usize) -> BTreeMap<VmId, Server> {
    let kinds = DOMAINS.iter().flat_map(|domain| {
        let kinds = KINDS.iter();
        kinds.flat_map(move |(kind, count)| std::iter::repeat_n((*domain, *kind), units * count))
    });
    let engines = kinds.enumerate();
    engines
        .map(|(number, (domain, kind))| (name(number), engine(number, domain, kind, None)))
        .collect()
}

fn paths(c: &mut Criterion) {
    for units in SIZES {
        let engines = place(empty_engines(units));
        let view = table(&engines);
        let (spec, service) = (spec(), id(ENGINES));
        let copies = Copies::new(&spec, &view, &service);
        c.bench_function(&format!("division, {} engines", engines.len()), |b| {
            b.iter(|| black_box(Copies::new(&spec, &view, &service)));
        });
        let mut rng = StdRng::seed_from_u64(1);
        c.bench_function(&format!("draw, {} engines", engines.len()), |b| {
            b.iter(|| {
                let draw = || rng.random_range(0.0..1.0);
                black_box(copies.draw_path(&spec, &view, ms(0), &TYPICAL.into(), draw))
            });
        });
        let mut rng = StdRng::seed_from_u64(1);
        c.bench_function(&format!("choose, {} engines", engines.len()), |b| {
            b.iter(|| {
                let draw = || rng.random_range(0.0..1.0);
                black_box(choose(&spec, &view, &service, ms(0), &TYPICAL.into(), draw))
            });
        });
    }
}

fn plans(c: &mut Criterion) {
    for units in SIZES {
        let empty = empty_engines(units);
        let view = table(&empty);
        c.bench_function(&format!("first plan, {} engines", empty.len()), |b| {
            b.iter(|| black_box(plan(&spec(), &view, &id(ENGINES), &BTreeMap::new())));
        });
        let mut engines = place(empty);
        engines.remove(&name(1));
        let view = table(&engines);
        c.bench_function(
            &format!("orders after a loss, {} engines", engines.len()),
            |b| {
                b.iter(|| {
                    let mut pending = PendingOrders::new();
                    black_box(next_orders(
                        &spec(),
                        &view,
                        &id(ENGINES),
                        &mut pending,
                        ms(60_000),
                    ))
                });
            },
        );
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_secs(1));
    targets = paths, plans
}
criterion_main!(benches);
