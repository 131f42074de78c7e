//! One node among fake engines, with faults on every exchange.

mod check;
mod exchanges;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use radishhaven_core::{
    config::{Batch, Object, Service},
    configs::{Configs, Identity},
    engine::{EngineRefusal, KvCache, SessionRef, StepReply},
    ids::{Incarnation, LayerRange, Position, RequestKey},
    message::{Action, AttemptError, Demand, Event, Reply, Submission},
    node::Node,
    outcome::Outcome,
    platform::{Record, Vm, VmList, VmRole, VmState},
    time::Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};

use super::{
    engine::{Engine, LAYERS, Reference},
    id, objects, trace,
};

/// Layers of the engines, by their number.
const HELD: [(u16, u16); 8] = [
    (0, 2),
    (2, 4),
    (4, 6),
    (0, 2),
    (2, 4),
    (4, 6),
    (0, 3),
    (3, 6),
];
/// The plain service's server.
const SERVICE: &str = "service-0";
/// Time that nothing takes longer than, once all faults are over.
const QUIET: Duration = Duration::from_secs(120);

/// What a test wants of the exchanges.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Exchanges in a hundred that go wrong.
    pub percent: u32,
    pub seed: u64,
}

#[derive(Debug)]
enum Delivery {
    /// A message reaches the node.
    ToNode(Box<Event>),
    /// An action reaches an engine, and its answer leaves.
    ToEngine(Box<Action>),
}

/// What one request saw.
#[derive(Debug)]
pub struct Seen {
    pub reference: Reference,
    pub gone: bool,
    pub text: String,
    pub deltas: u32,
    pub taken: u32,
    pub id: Option<String>,
    pub outcomes: Vec<Outcome>,
}

pub struct World {
    pub node: Node,
    pub engines: Vec<Engine>,
    pub now: Timestamp,
    pub seen: BTreeMap<RequestKey, Seen>,
    pub lines: Vec<String>,
    pub traced: bool,
    /// Callers take parts when the test says so, and all of them at the end.
    pub slow_callers: bool,
    /// Time after which engines answer steps.
    pub step_time: Duration,
    /// Whether engines run one step at a time, in the order of arrival.
    pub serial: bool,
    /// Answers to steps that get lost from now on.
    pub drops: u32,
    busy_until: BTreeMap<SocketAddr, Timestamp>,
    faults: Faults,
    rng: StdRng,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sent: u64,
    keys: u64,
    timers: usize,
    last_reply: Option<StepReply>,
    opened: BTreeSet<(SocketAddr, SessionRef)>,
    ended: BTreeSet<(SocketAddr, SessionRef)>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 80))
}

fn batch() -> Batch {
    let mut all = vec![
        objects::model(LAYERS),
        objects::pipeline(BTreeSet::new()),
        Object::Service(Service {
            id: id("libro"),
            idempotent: BTreeSet::new(),
        }),
        objects::organisation(5),
    ];
    all.extend(HELD.iter().enumerate().map(|(n, (start, end))| {
        let layers = LayerRange::new(*start, *end).expect("a range");
        objects::engine(n, layers, BTreeSet::new())
    }));
    all.push(objects::server(SERVICE, "libro"));
    objects::batch(all)
}

impl World {
    /// Makes a node that knows `engines` engines; `adjust` changes its settings.
    pub fn new(engines: usize, faults: Faults, adjust: impl FnOnce(&mut Configs)) -> Self {
        let mut cfg = Configs::new(Identity {
            vm: id("node-0"),
            failure_domain: id("mvd-centro"),
            address: address(200),
            incarnation: Incarnation(1),
        });
        adjust(&mut cfg);
        let engine = |(n, (start, end)): (usize, &(u16, u16))| {
            let layers = LayerRange::new(*start, *end).expect("a range");
            Engine::new(id(&format!("engine-{n}")), address(n), layers)
        };
        let mut world = Self {
            node: Node::new(cfg, faults.seed),
            engines: HELD.iter().take(engines).enumerate().map(engine).collect(),
            now: Timestamp::from_millis(1_000),
            seen: BTreeMap::new(),
            lines: Vec::new(),
            traced: false,
            slow_callers: false,
            step_time: Duration::from_millis(1),
            serial: false,
            drops: 0,
            busy_until: BTreeMap::new(),
            rng: StdRng::seed_from_u64(faults.seed),
            faults,
            queue: BTreeMap::new(),
            sent: 0,
            keys: 0,
            timers: 0,
            last_reply: None,
            opened: BTreeSet::new(),
            ended: BTreeSet::new(),
        };
        let body = serde_json::to_string(&batch()).expect("a batch is written");
        let records = vec![Record { offset: 0, body }];
        world.give(Event::ConfigRecords {
            first: 0,
            end: 1,
            records,
        });
        world.show_list();
        world.timers = world.node.tables().timers.len();
        world
    }

    /// Gives the node the VM list as it is.
    pub fn show_list(&mut self) {
        let row = |vm, address, leaving| Vm {
            vm,
            role: VmRole::Backend,
            address,
            peer_address: None,
            failure_domain: id("mvd-centro"),
            state: if leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
        };
        let engines = self
            .engines
            .iter()
            .map(|e| row(e.vm.clone(), e.address, e.leaving));
        let mut vms: Vec<Vm> = engines.collect();
        vms.push(row(id(SERVICE), address(100), false));
        self.give(Event::VmList(VmList { vms }));
    }

    pub fn submit(&mut self, prompt: &[u32], max_tokens: u32, within_ms: u64) -> RequestKey {
        let demand = Demand::Completion {
            pipeline: id("dictado"),
            prompt: prompt.to_vec(),
            max_tokens,
        };
        self.submit_demand(demand, Reference::new(prompt, max_tokens), within_ms)
    }

    pub fn book(&mut self, body: serde_json::Value) -> RequestKey {
        let demand = Demand::Call {
            service: id("libro"),
            operation: "book".to_owned(),
            body,
        };
        self.submit_demand(demand, Reference::new(&[1], 0), 10_000)
    }

    fn submit_demand(
        &mut self,
        demand: Demand,
        reference: Reference,
        within_ms: u64,
    ) -> RequestKey {
        self.keys += 1;
        let key = RequestKey(self.keys);
        self.seen.insert(
            key,
            Seen {
                reference,
                gone: false,
                text: String::new(),
                deltas: 0,
                taken: 0,
                id: None,
                outcomes: Vec::new(),
            },
        );
        self.give(Event::Submit {
            key,
            submission: Box::new(Submission {
                token_sha256: Sha256::digest(b"token").into(),
                id: None,
                priority: None,
                timeout: Some(Duration::from_millis(within_ms)),
                idempotent: None,
                demand,
            }),
        });
        key
    }

    pub fn caller_gone(&mut self, key: RequestKey) {
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.gone = true;
            self.give(Event::CallerDisconnected { key });
        }
    }

    /// Lets a caller take all that there is.
    pub fn take(&mut self, key: RequestKey) {
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.taken = seen.deltas;
            let parts = seen.taken;
            self.give(Event::ChunksRead { key, chunks: parts });
        }
    }

    fn take_all(&mut self) -> bool {
        let waits = |(_, seen): &(&RequestKey, &Seen)| seen.taken < seen.deltas;
        let keys: Vec<RequestKey> = self.seen.iter().filter(waits).map(|(k, _)| *k).collect();
        keys.iter().for_each(|key| self.take(*key));
        !keys.is_empty()
    }

    /// Lets time pass until `ms` from now.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.one_before(end) {}
        self.now = end;
    }

    /// Ends all faults, brings all engines up and runs to quiet.
    pub fn settle(&mut self) {
        self.faults.percent = 0;
        for engine in &mut self.engines {
            engine.alive = true;
            (engine.stalled, engine.leaving, engine.busy) = (false, false, false);
        }
        self.show_list();
        let end = self.now + QUIET;
        while (self.slow_callers && self.take_all()) || self.one_before(end) {}
    }

    fn one_before(&mut self, end: Timestamp) -> bool {
        let queued = self.queue.first_key_value().map(|(&(at, _), _)| at);
        let due = self.node.next_due();
        let next = queued.into_iter().chain(due).min();
        let Some(at) = next.filter(|at| *at <= end) else {
            return false;
        };
        self.now = self.now.max(at);
        if queued == Some(at) {
            let (_, delivery) = self.queue.pop_first().expect("it is there");
            match delivery {
                Delivery::ToNode(event) => self.give(*event),
                Delivery::ToEngine(action) => self.arrive(*action),
            }
        } else {
            self.give(Event::Tick);
        }
        true
    }

    pub fn give(&mut self, event: Event) {
        if self.traced {
            self.lines.push(trace::event(self.now, &event));
        }
        let actions = self.node.handle(self.now, event);
        for action in actions {
            if self.traced {
                self.lines.extend(trace::action(self.now, &action));
            }
            self.perform(action);
        }
    }

    pub fn engine_of(&self, n: usize) -> &Engine {
        &self.engines[n]
    }
}
