//! One node among fake engines, with faults on every exchange.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use radishhaven_core::{
    config::{
        BATCH_FORMAT, Backend, Batch, Carries, Change, Model, Object, Organisation, Pipeline,
        Service,
    },
    configs::{Configs, Identity},
    engine::{EngineRefusal, KvCache, SessionRef, StepReply},
    ids::{Incarnation, LayerRange, Position, Priority, RequestKey, Revision},
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
    id, trace,
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
    let layers = |(start, end)| Carries::Layers {
        model: id("dictado"),
        version: id("v1"),
        layers: LayerRange::new(start, end).expect("a range"),
        adapters: BTreeSet::new(),
    };
    let token = Sha256::digest(b"token");
    let mut objects = vec![
        Object::Model(Model {
            id: id("dictado"),
            layers: LAYERS,
        }),
        Object::Pipeline(Pipeline {
            id: id("dictado"),
            model: id("dictado"),
            version: id("v1"),
            adapters: BTreeSet::new(),
        }),
        Object::Service(Service {
            id: id("libro"),
            idempotent: BTreeSet::new(),
        }),
        Object::Organisation(Organisation {
            id: id("small-firm"),
            token_sha256: token.iter().map(|b| format!("{b:02x}")).collect(),
            priority: Priority(5),
            max_in_flight: 1_000,
            share: 1,
        }),
    ];
    objects.extend(HELD.iter().enumerate().map(|(n, held)| {
        Object::Backend(Backend {
            id: id(&format!("engine-{n}")),
            carries: layers(*held),
            checks_tokens: true,
        })
    }));
    objects.push(Object::Backend(Backend {
        id: id(SERVICE),
        carries: Carries::Service(id("libro")),
        checks_tokens: false,
    }));
    Batch {
        format: BATCH_FORMAT,
        batch: id("first"),
        base: BTreeMap::new(),
        planned: Revision(0),
        source: None,
        changes: objects.into_iter().map(Change::Put).collect(),
    }
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
                within: Some(Duration::from_millis(within_ms)),
                idempotent: None,
                demand,
            }),
        });
        key
    }

    pub fn caller_gone(&mut self, key: RequestKey) {
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.gone = true;
            self.give(Event::CallerGone { key });
        }
    }

    /// Lets a caller take all that there is.
    pub fn take(&mut self, key: RequestKey) {
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.taken = seen.deltas;
            let parts = seen.taken;
            self.give(Event::Taken { key, parts });
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

    fn perform(&mut self, action: Action) {
        match &action {
            Action::Reply { key, reply } => self.see(*key, reply.clone()),
            Action::Call { key, attempt, .. } => {
                let event = Event::CallDone {
                    key: *key,
                    attempt: *attempt,
                    result: Ok(serde_json::json!({ "call": 0 })),
                };
                self.later(Duration::from_millis(2), Delivery::ToNode(Box::new(event)));
            }
            Action::Step { address, order, .. } => {
                self.opened.insert((*address, order.session.clone()));
                self.send(action);
            }
            Action::Import {
                address, session, ..
            } => {
                self.opened.insert((*address, session.clone()));
                self.send(action);
            }
            Action::EndSession { address, session } => {
                self.ended.insert((*address, session.clone()));
                self.later(
                    Duration::from_micros(200),
                    Delivery::ToEngine(Box::new(action)),
                );
            }
            Action::Export { .. } => self.send(action),
            _ => {}
        }
    }

    fn send(&mut self, action: Action) {
        let slow = self.goes_wrong() && self.rng.random_bool(0.2);
        let us = if slow {
            self.rng.random_range(0..2_000_000)
        } else {
            500
        };
        self.later(
            Duration::from_micros(us),
            Delivery::ToEngine(Box::new(action)),
        );
    }

    fn later(&mut self, delay: Duration, delivery: Delivery) {
        self.sent += 1;
        self.queue.insert((self.now + delay, self.sent), delivery);
    }

    fn goes_wrong(&mut self) -> bool {
        self.faults.percent > 0 && self.rng.random_range(0..100) < self.faults.percent
    }

    fn see(&mut self, key: RequestKey, reply: Reply) {
        let seen = self.seen.get_mut(&key).expect("the request was submitted");
        assert!(seen.outcomes.is_empty(), "{key}: {reply:?} after the end");
        match reply {
            Reply::Admitted { id } => seen.id = Some(id.to_string()),
            Reply::Delta { index, text } => {
                assert_eq!(index, seen.deltas, "{key}: a delta is missing or doubled");
                seen.deltas += 1;
                let unread = seen.deltas - seen.taken;
                let most = self.node.configs().flow.max_unread_parts;
                assert!(unread <= most, "{key}: {unread} parts are unread");
                seen.text.push_str(&text);
            }
            Reply::Done(done) => seen.outcomes.push(done.outcome),
            Reply::Status(_) => panic!("{key}: nobody inquired"),
        }
    }

    /// Lets an action reach its engine and sends the answer, or what a fault
    /// makes of it.
    fn arrive(&mut self, action: Action) {
        let target = match &action {
            Action::Step { address, .. }
            | Action::Import { address, .. }
            | Action::Export { address, .. }
            | Action::EndSession { address, .. } => *address,
            other => panic!("{other:?} doesn't go to an engine"),
        };
        let wrong = self.goes_wrong();
        let fate = if wrong {
            self.rng.random_range(0..7)
        } else {
            7
        };
        let found = self.engines.iter_mut().find(|e| e.address == target);
        let Some(engine) = found.filter(|e| e.alive) else {
            return self.answer(action, Err(AttemptError::NotSent));
        };
        if engine.stalled {
            // The work waits; whoever asked hears nothing in time.
            return self.later(
                Duration::from_millis(700),
                Delivery::ToEngine(Box::new(action)),
            );
        }
        match action {
            Action::EndSession { session, .. } => engine.end(&session),
            Action::Step { .. } if fate == 0 => {
                let refusals = [
                    EngineRefusal::Busy,
                    EngineRefusal::NotRun,
                    EngineRefusal::NotHeld,
                ];
                let refusal = refusals[self.rng.random_range(0..refusals.len())];
                self.answer(action, Err(AttemptError::Refused(refusal)));
            }
            Action::Step { ref order, .. } => {
                let result = engine.step(order);
                let reply = self.spoil(fate, result);
                self.answer_late(fate, action, reply);
            }
            Action::Import {
                ref session,
                ref cache,
                ..
            } => {
                let result = engine.import(session, cache).map_err(AttemptError::Refused);
                let lost = fate < 3;
                let result = if lost {
                    Err(AttemptError::Lost)
                } else {
                    result
                };
                self.imported(action, result);
            }
            Action::Export {
                key, ref session, ..
            } => {
                let empty = KvCache {
                    model: id("dictado"),
                    version: id("v1"),
                    layers: engine.layers,
                    next: Position(0),
                    state: Vec::new(),
                };
                let result = engine
                    .export(session, &empty)
                    .map_err(AttemptError::Refused);
                let result = if fate < 3 {
                    Err(AttemptError::Lost)
                } else {
                    result
                };
                let event = Event::ExportDone {
                    key,
                    session: session.clone(),
                    result,
                };
                self.later(Duration::from_millis(1), Delivery::ToNode(Box::new(event)));
            }
            other => panic!("{other:?} doesn't go to an engine"),
        }
    }

    /// Turns the right answer into a lost, crossed or malformed one.
    fn spoil(
        &mut self,
        fate: u32,
        result: Result<StepReply, EngineRefusal>,
    ) -> Result<StepReply, AttemptError> {
        let reply = result.map_err(AttemptError::Refused)?;
        let before = self.last_reply.replace(reply.clone());
        match (fate, before) {
            (1, _) => Err(AttemptError::Lost),
            (2, Some(other)) => Ok(other),
            (3, _) => Err(AttemptError::Malformed),
            _ => Ok(reply),
        }
    }

    fn answer_late(&mut self, fate: u32, action: Action, result: Result<StepReply, AttemptError>) {
        if self.drops > 0 {
            self.drops -= 1;
            return;
        }
        match fate {
            4 => {
                let ms = self.rng.random_range(1..3_000);
                self.answer_after(Duration::from_millis(ms), &action, result);
            }
            5 => {
                self.answer_after(Duration::from_millis(1), &action, result.clone());
                let ms = self.rng.random_range(1..30);
                self.answer_after(Duration::from_millis(ms), &action, result);
            }
            // No answer ever comes.
            6 => {}
            _ => {
                let delay = self.step_delay(&action);
                self.answer_after(delay, &action, result);
            }
        }
    }

    fn step_delay(&mut self, action: &Action) -> Duration {
        let Action::Step { address, .. } = action else {
            return self.step_time;
        };
        if !self.serial {
            return self.step_time;
        }
        let busy_until = self.busy_until.entry(*address).or_default();
        *busy_until = (*busy_until).max(self.now) + self.step_time;
        busy_until.since(self.now)
    }

    fn answer(&mut self, action: Action, result: Result<StepReply, AttemptError>) {
        match &action {
            Action::Step { .. } => self.answer_after(Duration::from_millis(1), &action, result),
            Action::Import { .. } => self.imported(action, result.map(|_| ())),
            Action::Export { key, session, .. } => {
                let result = Err(AttemptError::NotSent);
                let event = Event::ExportDone {
                    key: *key,
                    session: session.clone(),
                    result,
                };
                self.later(Duration::from_millis(1), Delivery::ToNode(Box::new(event)));
            }
            _ => {}
        }
    }

    fn answer_after(
        &mut self,
        delay: Duration,
        action: &Action,
        result: Result<StepReply, AttemptError>,
    ) {
        if let Action::Step { key, step, .. } = action {
            let event = Event::StepDone {
                key: *key,
                step: *step,
                result,
            };
            self.later(delay, Delivery::ToNode(Box::new(event)));
        }
    }

    fn imported(&mut self, action: Action, result: Result<(), AttemptError>) {
        if let Action::Import { key, step, .. } = action {
            let event = Event::ImportDone { key, step, result };
            self.later(Duration::from_millis(1), Delivery::ToNode(Box::new(event)));
        }
    }

    /// Judges everything that must hold once the world is quiet.
    pub fn check(&self) {
        for (key, seen) in &self.seen {
            self.check_request(*key, seen);
        }
        let tables = self.node.tables();
        assert!(tables.requests.is_empty(), "a request is still open");
        assert_eq!(
            tables.timers.len(),
            self.timers,
            "a subscription is left: {:?}",
            tables.timers
        );
        for backend in tables.backends.iter() {
            assert_eq!(backend.in_flight, 0, "{} has places taken", backend.vm);
        }
        let left: Vec<_> = self.opened.difference(&self.ended).collect();
        assert!(left.is_empty(), "sessions were not ended: {left:?}");
        // A step that was late for its session's end opens it anew where that
        // end was forgotten; real engines drop such a session by their own rules.
        let remembering = self.engines.iter().filter(|e| !e.died);
        let open: usize = remembering.map(Engine::open_sessions).sum();
        assert_eq!(open, 0, "engines hold sessions");
    }

    fn check_request(&self, key: RequestKey, seen: &Seen) {
        let right = seen.reference.text();
        assert!(
            right.starts_with(&seen.text),
            "{key}: {:?} of {right:?}",
            seen.text
        );
        let expected = usize::from(!seen.gone);
        assert!(seen.outcomes.len() >= expected, "{key}: no outcome");
        let all = self.engines.iter().flat_map(|e| &e.runs);
        let mut own = all.filter(|run| Some(run.session.request.as_str()) == seen.id.as_deref());
        match seen.outcomes.first() {
            Some(Outcome::Completed) => assert_eq!(seen.text, right, "{key}: not whole"),
            Some(Outcome::NotRun(_)) => assert!(own.next().is_none(), "{key}: it ran"),
            _ => {}
        }
        let foreign = own.find(|run| !seen.reference.allows(run));
        assert!(foreign.is_none(), "{key}: {foreign:?} has another's input");
    }

    pub fn engine_of(&self, n: usize) -> &Engine {
        &self.engines[n]
    }
}
