//! Shared setup of the measurements: a node without network or store
//! connections, and its inputs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use radishhaven_core::{
    config::{
        BATCH_FORMAT, Backend, Batch, Change, Model, Object, Organisation, Pipeline, Workload,
    },
    configs::{Configs, Identity},
    ids::{Incarnation, Priority, RequestKey, Revision},
    message::{Demand, Event, Submission},
    node::Node,
    platform::{Record, Vm, VmList, VmRole, VmState},
    time::Timestamp,
};
use radishhaven_standin::deployment::id;
use sha2::{Digest, Sha256};

use crate::{ALLOCATOR, target};

/// Number of layers of each model.
const LAYERS: u16 = 24;
/// Number of pipeline stages of each model.
const STAGES: u16 = 3;
/// Admission limit of the node.
const OPEN_REQUESTS: u32 = 1_000_000;
/// Number of failure domains.
const DOMAINS: usize = 17;
/// Maximum number of changes in a published batch.
const MAX_BATCH_CHANGES: usize = 1_000;

/// A node without connections, with its own simulated log and clock.
#[derive(Debug)]
pub struct NodeFixture {
    /// The node.
    pub node: Node,
    /// Time of the node's events.
    pub now: Timestamp,
    next_offset: u64,
    next_key: u64,
}

impl NodeFixture {
    /// Creates a node with the given numbers of engines and organisations.
    pub fn new(workers: usize, organisations: usize) -> Self {
        Self::with_configs(workers, organisations, |_| {})
    }

    /// Like [`NodeFixture::new`], with settings that `configure` changes.
    pub fn with_configs(
        workers: usize,
        organisations: usize,
        configure: impl FnOnce(&mut Configs),
    ) -> Self {
        let identity = Identity {
            vm: id("node-0"),
            failure_domain: id("domain-0"),
            address: address(0),
            incarnation: Incarnation(1),
        };
        let mut cfg = Configs::new(identity);
        // The measurements need the cost of a request, not a limited number of
        // admitted ones.
        cfg.admission.initial_limit = OPEN_REQUESTS;
        configure(&mut cfg);
        let mut fixture = Self {
            node: Node::new(cfg, 1),
            now: Timestamp::from_millis(1),
            next_offset: 0,
            next_key: 0,
        };
        fixture.handle(Event::VmList(VmList {
            vms: (0..workers).map(vm).collect(),
        }));
        let objects: Vec<Object> = models()
            .chain((0..organisations).map(organisation))
            .chain((0..workers).map(backend))
            .collect();
        for (n, chunk) in objects.chunks(MAX_BATCH_CHANGES).enumerate() {
            let batch = batch(
                &format!("first-{n}"),
                chunk.to_vec(),
                BTreeMap::new(),
                fixture.revision(),
            );
            fixture.publish(&batch);
        }
        fixture
    }

    /// Passes an event to the node and returns the number of its actions.
    pub fn handle(&mut self, event: Event) -> usize {
        self.node.handle(self.now, event).len()
    }

    /// Appends a batch to the log and passes the record to the node.
    pub fn publish(&mut self, batch: &Batch) {
        let body = serde_json::to_string(batch).expect("a batch can be serialized");
        let record = Record {
            offset: self.next_offset,
            body,
        };
        self.next_offset += 1;
        let end = self.next_offset;
        self.handle(Event::ConfigRecords {
            first: 0,
            end,
            records: vec![record],
        });
    }

    /// Submits a completion for organisation `n` and returns its key.
    pub fn submit(&mut self, n: usize) -> RequestKey {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        let submission = Submission {
            token_sha256: Sha256::digest(organisation_name(n).as_bytes()).into(),
            id: None,
            priority: None,
            timeout: Some(Duration::from_secs(60)),
            idempotent: None,
            demand: Demand::Completion {
                pipeline: id(&model_name(n)),
                prompt: vec![97; 64],
                max_tokens: 425,
            },
        };
        self.handle(Event::Submit {
            key,
            submission: Box::new(submission),
        });
        key
    }

    /// Returns the revision of the configuration that the node has applied.
    pub fn revision(&self) -> Revision {
        self.node.tables().config.revision()
    }
}

/// Creates a batch that puts `objects`.
pub fn batch(
    name: &str,
    objects: Vec<Object>,
    base: BTreeMap<String, Revision>,
    planned: Revision,
) -> Batch {
    Batch {
        format: BATCH_FORMAT,
        batch: id(name),
        base: base.into_iter().map(|(key, at)| (id(&key), at)).collect(),
        planned,
        source: None,
        changes: objects.into_iter().map(Change::Put).collect(),
    }
}

fn address(n: usize) -> SocketAddr {
    let [.., a, b] = (n as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, a, b), 80))
}

/// Creates the VM list entry of engine `n`.
pub fn vm(n: usize) -> Vm {
    Vm {
        vm: id(&format!("engine-{n}")),
        role: VmRole::Backend,
        address: address(n),
        peer_address: None,
        failure_domain: id(&format!("domain-{}", n % DOMAINS)),
        state: VmState::Live,
    }
}

fn model_name(n: usize) -> String {
    format!("model-{}", n % usize::from(target::MODELS))
}

fn organisation_name(n: usize) -> String {
    format!("organisation-{n}")
}

fn models() -> impl Iterator<Item = Object> {
    (0..usize::from(target::MODELS)).flat_map(|n| {
        let model = Object::Model(Model {
            id: id(&model_name(n)),
            layers: LAYERS,
        });
        let pipeline = Object::Pipeline(Pipeline {
            id: id(&model_name(n)),
            model: id(&model_name(n)),
            version: id("v1"),
            adapters: BTreeSet::new(),
        });
        [model, pipeline]
    })
}

/// Creates organisation `n`.
pub fn organisation(n: usize) -> Object {
    let token = Sha256::digest(organisation_name(n).as_bytes());
    Object::Organisation(Organisation {
        id: id(&organisation_name(n)),
        token_sha256: token.iter().map(|b| format!("{b:02x}")).collect(),
        priority: Priority(5),
        max_in_flight: 100_000,
        share: 1,
    })
}

/// Creates the configuration object of engine `n`.
pub fn backend(n: usize) -> Object {
    let per_stage = LAYERS / STAGES;
    let stage = (n / usize::from(target::MODELS)) as u16 % STAGES;
    let layers = format!("{}..{}", stage * per_stage, (stage + 1) * per_stage);
    Object::Backend(Backend {
        id: id(&format!("engine-{n}")),
        carries: Workload::Layers {
            model: id(&model_name(n)),
            version: id("v1"),
            layers: id(&layers),
            adapters: BTreeSet::new(),
        },
        checks_tokens: n.is_multiple_of(2),
    })
}

/// Returns the value of `make` and the bytes that it allocated and did not
/// free.
pub fn allocated_by<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = ALLOCATOR.allocated();
    let made = make();
    let after = ALLOCATOR.allocated();
    (made, after as f64 - before as f64)
}

/// Returns the minimum time of a run, in microseconds, over `times` runs.
pub fn min_micros(times: usize, mut run: impl FnMut()) -> f64 {
    let mut min = f64::INFINITY;
    for _ in 0..times {
        let started = Instant::now();
        run();
        min = min.min(started.elapsed().as_secs_f64() * 1e6);
    }
    min
}
