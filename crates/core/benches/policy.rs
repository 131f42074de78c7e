//! Benchmarks of a routing choice, an admission and a control tick, at the current
//! size of a deployment and at the target size.

use std::{
    collections::{BTreeMap, BTreeSet},
    hint::black_box,
    time::Duration,
};

use criterion::{Criterion, criterion_group, criterion_main};
use radishhaven_core::{
    config::{
        BATCH_FORMAT, Backend, Batch, Change, MAX_BATCH_CHANGES, Model, Object, Organisation,
        Pipeline, Workload,
    },
    configs::{Configs, Identity},
    health::Signal,
    ids::{Incarnation, LayerRange, Priority, RequestKey, Revision, VmId},
    message::{Demand, Event, Submission},
    platform::{Record, Vm, VmList, VmRole, VmState},
    systems::{self, Context, admission, health, limits, routing},
    tables::{Tables, Work},
    time::Timestamp,
};
use rand::{SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};

const STAGES: u16 = 3;
const LAYERS_PER_STAGE: u16 = 8;
const FAILURE_DOMAINS: usize = 17;

/// Size of a deployment.
struct Size {
    name: &'static str,
    nodes: usize,
    workers: usize,
    models: usize,
    organisations: usize,
}

const SIZES: [Size; 2] = [
    Size {
        name: "9 nodes, 70 workers",
        nodes: 9,
        workers: 70,
        models: 2,
        organisations: 10,
    },
    Size {
        name: "360 nodes, 12000 workers",
        nodes: 360,
        workers: 12_000,
        models: 28,
        organisations: 780,
    },
];

fn id<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("the name is valid")
}

fn objects(size: &Size) -> Vec<Object> {
    let mut objects = Vec::new();
    for model in 0..size.models {
        objects.push(Object::Model(Model {
            id: id(&format!("model-{model}")),
            layers: STAGES * LAYERS_PER_STAGE,
        }));
        objects.push(Object::Pipeline(Pipeline {
            id: id(&format!("model-{model}")),
            model: id(&format!("model-{model}")),
            version: id("v1"),
            adapters: BTreeSet::new(),
        }));
    }
    for n in 0..size.organisations {
        let token = Sha256::digest(format!("token-{n}").as_bytes());
        objects.push(Object::Organisation(Organisation {
            id: id(&format!("organisation-{n}")),
            token_sha256: token.iter().map(|b| format!("{b:02x}")).collect(),
            priority: Priority(9),
            max_in_flight: 100_000,
            share: 1,
        }));
    }
    for n in 0..size.workers {
        let start = (n / size.models) as u16 % STAGES * LAYERS_PER_STAGE;
        objects.push(Object::Backend(Backend {
            id: id(&format!("engine-{n}")),
            carries: Workload::Layers {
                model: id(&format!("model-{}", n % size.models)),
                version: id("v1"),
                layers: LayerRange::new(start, start + LAYERS_PER_STAGE)
                    .expect("the range is valid"),
                adapters: BTreeSet::new(),
            },
            checks_tokens: true,
        }));
    }
    objects
}

fn vms(size: &Size) -> VmList {
    let vm = |name: String, role, n: usize| Vm {
        vm: id(&name),
        role,
        address: ([127, 0, 0, 1], 1_000 + (n % 60_000) as u16).into(),
        peer_address: None,
        failure_domain: id(&format!("domain-{}", n % FAILURE_DOMAINS)),
        state: VmState::Live,
    };
    let nodes = (0..size.nodes).map(|n| vm(format!("node-{n}"), VmRole::Node, n));
    let engines = (0..size.workers).map(|n| vm(format!("engine-{n}"), VmRole::Backend, n));
    VmList {
        vms: nodes.chain(engines).collect(),
    }
}

fn tables(size: &Size) -> Tables {
    let mut tables = Tables::default();
    for (offset, chunk) in (0..).zip(objects(size).chunks(MAX_BATCH_CHANGES.min(500))) {
        let batch = Batch {
            format: BATCH_FORMAT,
            batch: id(&format!("batch-{offset}")),
            base: BTreeMap::new(),
            planned: Revision(offset),
            source: None,
            changes: chunk.iter().cloned().map(Change::Put).collect(),
        };
        let body = serde_json::to_string(&batch).expect("the batch is serialised");
        let applied = tables.config.apply_record(&Record { offset, body });
        applied.expect("the records are in order");
    }
    tables.vms.replace(vms(size));
    tables.backends.rebuild(&tables.config, &tables.vms);
    assert_eq!(tables.backends.iter().count(), size.workers);
    tables
}

fn submission(size: &Size) -> Submission {
    let organisation = size.organisations / 2;
    Submission {
        token_sha256: Sha256::digest(format!("token-{organisation}").as_bytes()).into(),
        id: None,
        priority: None,
        timeout: Some(Duration::from_secs(5)),
        idempotent: Some(true),
        demand: Demand::Completion {
            pipeline: id("model-1"),
            prompt: vec![65; 64],
            max_tokens: 16,
        },
    }
}

fn event(size: &Size, key: u64) -> Event {
    Event::Submit {
        key: RequestKey(key),
        submission: Box::new(submission(size)),
    }
}

/// Reports a failure of every backend server. The cap on ejections keeps half of
/// each group in use.
fn eject_half(cx: &mut Context<'_>) {
    let vms: Vec<VmId> = cx.tables.backends.iter().map(|r| r.vm.clone()).collect();
    for vm in &vms {
        health::record(cx, vm, Signal::Down);
    }
    let ejected = cx
        .tables
        .backends
        .iter()
        .filter(|r| r.health.counts_as_ejected(cx.now));
    let percent = ejected.count() * 100 / vms.len();
    assert!((40..=50).contains(&percent), "{percent}");
}

fn policy(c: &mut Criterion) {
    let cfg = Configs::new(Identity {
        vm: id("node-0"),
        failure_domain: id("domain-0"),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
    });
    for size in &SIZES {
        let mut tables = tables(size);
        let mut rng = StdRng::seed_from_u64(1);
        let mut out = Vec::new();
        let mut cx = Context {
            now: Timestamp::from_millis(1_000),
            cfg: &cfg,
            tables: &mut tables,
            rng: &mut rng,
            out: &mut out,
        };
        limits::nodes_changed(&mut cx);
        systems::dispatch(&mut cx, event(size, 0));
        let row = cx
            .tables
            .requests
            .get(RequestKey(0))
            .expect("the request was admitted");
        let row = row.clone();
        let Work::Completion(work) = &row.work else {
            panic!("expected a completion");
        };
        c.bench_function(&format!("choice: {}", size.name), |b| {
            b.iter(|| black_box(routing::chain(&cx, &row, work).expect("a chain exists")));
        });
        let mut key = 1;
        c.bench_function(&format!("admission and end: {}", size.name), |b| {
            b.iter(|| {
                admission::run(&mut cx, RequestKey(key), submission(size));
                let admitted = RequestKey(key);
                systems::dispatch(&mut cx, Event::CallerDisconnected { key: admitted });
                cx.out.clear();
                key += 1;
            });
        });
        c.bench_function(&format!("control tick: {}", size.name), |b| {
            b.iter(|| limits::tick(&mut cx));
        });
        eject_half(&mut cx);
        c.bench_function(&format!("choice, half ejected: {}", size.name), |b| {
            b.iter(|| black_box(routing::chain(&cx, &row, work).expect("a chain exists")));
        });
        cx.now = cx.now + cfg.health.base_ejection_time.mul_f64(1.25) + cfg.health.half_open_time;
        c.bench_function(&format!("choice, half ramping: {}", size.name), |b| {
            b.iter(|| black_box(routing::chain(&cx, &row, work).expect("a chain exists")));
        });
    }
}

criterion_group!(benches, policy);
criterion_main!(benches);
