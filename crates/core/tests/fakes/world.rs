//! A node and fake engines, with faults in every exchange between them.

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

/// Layers of each engine, by the number of the engine.
const ENGINE_LAYERS: [(u16, u16); 8] = [
    (0, 2),
    (2, 4),
    (4, 6),
    (0, 2),
    (2, 4),
    (4, 6),
    (0, 3),
    (3, 6),
];
/// The VM of the only server of the plain service.
const SERVICE_VM: &str = "service-0";
/// Time after the end of all faults after which no event is pending any more.
const SETTLE_TIME: Duration = Duration::from_secs(120);

/// Rate of faults, and the seed that selects them.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Percentage of the exchanges that fail.
    pub percent: u32,
    pub seed: u64,
}

#[derive(Debug)]
enum Delivery {
    /// Delivers an event to the node.
    ToNode(Box<Event>),
    /// Delivers an action to an engine, which then sends its response.
    ToEngine(Box<Action>),
}

/// What the caller observed of one request.
#[derive(Debug)]
pub struct ObservedRequest {
    pub reference: Reference,
    pub caller_disconnected: bool,
    pub text: String,
    pub deltas: u32,
    pub read_deltas: u32,
    pub id: Option<String>,
    pub outcomes: Vec<Outcome>,
}

pub struct World {
    pub node: Node,
    pub engines: Vec<Engine>,
    pub now: Timestamp,
    pub requests: BTreeMap<RequestKey, ObservedRequest>,
    pub trace_lines: Vec<String>,
    pub trace_enabled: bool,
    /// Whether callers read chunks only on a call of [`World::read_chunks`], and
    /// the rest at the end.
    pub slow_callers: bool,
    /// Time in which an engine runs a step.
    pub step_time: Duration,
    /// Whether each engine runs one step at a time, in the order of arrival.
    pub serial_steps: bool,
    /// Number of the next responses to steps that are lost.
    pub answers_to_drop: u32,
    busy_until: BTreeMap<SocketAddr, Timestamp>,
    faults: Faults,
    rng: StdRng,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    last_sequence: u64,
    last_key: u64,
    initial_timers: usize,
    last_reply: Option<StepReply>,
    opened_sessions: BTreeSet<(SocketAddr, SessionRef)>,
    ended_sessions: BTreeSet<(SocketAddr, SessionRef)>,
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
    all.extend(ENGINE_LAYERS.iter().enumerate().map(|(n, (start, end))| {
        let layers = LayerRange::new(*start, *end).expect("the range is valid");
        objects::engine(n, layers, BTreeSet::new())
    }));
    all.push(objects::server(SERVICE_VM, "libro"));
    objects::batch(all)
}

impl World {
    /// Creates a node that has the first `engines` engines in its tables; `adjust`
    /// changes its settings.
    pub fn new(engines: usize, faults: Faults, adjust: impl FnOnce(&mut Configs)) -> Self {
        let mut cfg = Configs::new(Identity {
            vm: id("node-0"),
            failure_domain: id("mvd-centro"),
            address: address(200),
            incarnation: Incarnation(1),
        });
        adjust(&mut cfg);
        let engine = |(n, (start, end)): (usize, &(u16, u16))| {
            let layers = LayerRange::new(*start, *end).expect("the range is valid");
            Engine::new(id(&format!("engine-{n}")), address(n), layers)
        };
        let mut world = Self {
            node: Node::new(cfg, faults.seed),
            engines: ENGINE_LAYERS
                .iter()
                .take(engines)
                .enumerate()
                .map(engine)
                .collect(),
            now: Timestamp::from_millis(1_000),
            requests: BTreeMap::new(),
            trace_lines: Vec::new(),
            trace_enabled: false,
            slow_callers: false,
            step_time: Duration::from_millis(1),
            serial_steps: false,
            answers_to_drop: 0,
            busy_until: BTreeMap::new(),
            rng: StdRng::seed_from_u64(faults.seed),
            faults,
            queue: BTreeMap::new(),
            last_sequence: 0,
            last_key: 0,
            initial_timers: 0,
            last_reply: None,
            opened_sessions: BTreeSet::new(),
            ended_sessions: BTreeSet::new(),
        };
        let body = serde_json::to_string(&batch()).expect("the batch is serialised");
        let records = vec![Record { offset: 0, body }];
        world.handle(Event::ConfigRecords {
            first: 0,
            end: 1,
            records,
        });
        world.publish_vm_list();
        world.initial_timers = world.node.tables().timers.len();
        world
    }

    /// Sends the current VM list to the node.
    pub fn publish_vm_list(&mut self) {
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
        vms.push(row(id(SERVICE_VM), address(100), false));
        self.handle(Event::VmList(VmList { vms }));
    }

    pub fn submit(&mut self, prompt: &[u32], max_tokens: u32, timeout_ms: u64) -> RequestKey {
        let demand = Demand::Completion {
            pipeline: id("dictado"),
            prompt: prompt.to_vec(),
            max_tokens,
        };
        self.submit_demand(demand, Reference::new(prompt, max_tokens), timeout_ms)
    }

    pub fn submit_booking(&mut self, body: serde_json::Value) -> RequestKey {
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
        timeout_ms: u64,
    ) -> RequestKey {
        self.last_key += 1;
        let key = RequestKey(self.last_key);
        self.requests.insert(
            key,
            ObservedRequest {
                reference,
                caller_disconnected: false,
                text: String::new(),
                deltas: 0,
                read_deltas: 0,
                id: None,
                outcomes: Vec::new(),
            },
        );
        self.handle(Event::Submit {
            key,
            submission: Box::new(Submission {
                token_sha256: Sha256::digest(b"token").into(),
                id: None,
                priority: None,
                timeout: Some(Duration::from_millis(timeout_ms)),
                idempotent: None,
                demand,
            }),
        });
        key
    }

    pub fn disconnect_caller(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.caller_disconnected = true;
            self.handle(Event::CallerDisconnected { key });
        }
    }

    /// Makes a caller read all chunks that it has received.
    pub fn read_chunks(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.read_deltas = request.deltas;
            let chunks = request.read_deltas;
            self.handle(Event::ChunksRead { key, chunks });
        }
    }

    fn read_all_chunks(&mut self) -> bool {
        let waits =
            |(_, request): &(&RequestKey, &ObservedRequest)| request.read_deltas < request.deltas;
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(waits)
            .map(|(k, _)| *k)
            .collect();
        keys.iter().for_each(|key| self.read_chunks(*key));
        !keys.is_empty()
    }

    /// Advances the clock by `ms` milliseconds and handles all events that are
    /// due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.run_next_event(end) {}
        self.now = end;
    }

    /// Ends all faults, restores all engines, and advances the clock until no
    /// event is pending any more.
    pub fn settle(&mut self) {
        self.faults.percent = 0;
        for engine in &mut self.engines {
            engine.alive = true;
            (engine.stalled, engine.leaving, engine.busy) = (false, false, false);
        }
        self.publish_vm_list();
        let end = self.now + SETTLE_TIME;
        while (self.slow_callers && self.read_all_chunks()) || self.run_next_event(end) {}
    }

    fn run_next_event(&mut self, end: Timestamp) -> bool {
        let queued = self.queue.first_key_value().map(|(&(at, _), _)| at);
        let due = self.node.next_due();
        let next = queued.into_iter().chain(due).min();
        let Some(at) = next.filter(|at| *at <= end) else {
            return false;
        };
        self.now = self.now.max(at);
        if queued == Some(at) {
            let (_, delivery) = self.queue.pop_first().expect("the queue is not empty");
            match delivery {
                Delivery::ToNode(event) => self.handle(*event),
                Delivery::ToEngine(action) => self.deliver_to_engine(*action),
            }
        } else {
            self.handle(Event::Tick);
        }
        true
    }

    pub fn handle(&mut self, event: Event) {
        if self.trace_enabled {
            self.trace_lines.push(trace::event(self.now, &event));
        }
        let actions = self.node.handle(self.now, event);
        for action in actions {
            if self.trace_enabled {
                self.trace_lines.extend(trace::action(self.now, &action));
            }
            self.perform(action);
        }
    }

    pub fn engine(&self, n: usize) -> &Engine {
        &self.engines[n]
    }
}
