//! Simulation of several nodes, a plain service and callers on one thread, with a
//! simulated clock and with faults in all exchanges.
//!
//! The invariants are checked only against the outcomes that callers received and
//! the starts that the service recorded.

mod engine;
mod net;
mod operations;
mod setup;

pub use net::FaultRates;
pub use operations::Case;
pub use setup::{NODES, RequestKind};

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use engine::Step;
use radishhaven_core::{
    ids::{Attempt, Incarnation, RequestId, RequestKey},
    message::{Action, AttemptError, Event, Reply},
    node::{Node, RequestState},
    outcome::Outcome,
    time::Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// One process of a node.
pub struct Process {
    pub incarnation: Incarnation,
    node: Node,
    /// Simulated time at which the clock of the process read zero. A pause may
    /// move it.
    clock_start: Timestamp,
    paused: bool,
    deferred_events: VecDeque<Event>,
    tick_at: Option<Timestamp>,
}

/// An event that is scheduled for a point in time.
enum ScheduledEvent {
    /// Delivers an event to a node, if the same process still runs.
    ToProcess(usize, Incarnation, Event),
    /// Delivers an event to the process that runs on a node at that time.
    ToNode(usize, Event),
    /// Sends a tick to a process, because one of its timers may be due.
    Tick(usize, Incarnation),
    /// Delivers a call to the service.
    Call(Call),
    /// Delivers a step to the engine.
    Step(Step),
    /// Makes a caller retry.
    Retry(usize, u8),
}

/// A call in transit.
struct Call {
    node: usize,
    incarnation: Incarnation,
    key: RequestKey,
    attempt: Attempt,
    id: RequestId,
}

/// The state of one caller.
#[derive(Default)]
pub struct Caller {
    /// The id of the request, or `None` before it is issued.
    id: Option<RequestId>,
    retries_left: u8,
}

/// What the callers, the service and the engine observed.
#[derive(Default)]
pub struct Observations {
    /// Number of starts at the service or the engine, by request id.
    pub starts: BTreeMap<RequestId, u32>,
    /// Outcomes that were reported to callers, by request id.
    pub reported: BTreeMap<RequestId, BTreeSet<Outcome>>,
    /// Response bodies that callers received, by request id.
    pub bodies: BTreeMap<RequestId, BTreeSet<String>>,
    /// Number of final replies to callers, by the key of the exchange.
    final_replies: BTreeMap<RequestKey, u32>,
}

/// The simulated deployment.
pub struct World {
    pub now: Timestamp,
    pub observed: Observations,
    kind: RequestKind,
    engine_starts: BTreeMap<RequestId, BTreeSet<(usize, Incarnation, RequestKey)>>,
    rates: FaultRates,
    short_retention: bool,
    rng: StdRng,
    processes: Vec<Option<Process>>,
    partitions: BTreeMap<(usize, usize), Timestamp>,
    queue: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    callers: Vec<Caller>,
    /// The caller, the node and the request id of each open exchange, by key.
    exchanges: BTreeMap<RequestKey, (usize, usize, Option<RequestId>)>,
    last_number: u64,
}

impl World {
    pub fn new(
        seed: u64,
        kind: RequestKind,
        rates: FaultRates,
        callers: usize,
        short_retention: bool,
    ) -> Self {
        let mut world = Self {
            now: Timestamp(0),
            observed: Observations::default(),
            kind,
            engine_starts: BTreeMap::new(),
            rates,
            short_retention,
            rng: StdRng::seed_from_u64(seed),
            processes: (0..NODES).map(|_| None).collect(),
            partitions: BTreeMap::new(),
            queue: BTreeMap::new(),
            callers: (0..callers).map(|_| Caller::default()).collect(),
            exchanges: BTreeMap::new(),
            last_number: 1,
        };
        for n in 0..NODES {
            world.start(n);
        }
        world
    }

    /// Starts a new process of a node, with empty state.
    pub fn start(&mut self, n: usize) {
        if self.processes[n].is_some() {
            return;
        }
        let incarnation = Incarnation(self.next_number());
        self.processes[n] = Some(Process {
            incarnation,
            node: Node::new(
                setup::configs(n, incarnation, self.short_retention),
                incarnation.0,
            ),
            clock_start: self.now,
            paused: false,
            deferred_events: VecDeque::new(),
            tick_at: None,
        });
        for event in setup::startup_events() {
            self.handle_event(n, event);
        }
    }

    /// Terminates the process of a node immediately.
    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
        let exchanges = self.exchanges.iter().filter(|(_, at)| at.1 == n);
        let open: Vec<(RequestKey, usize)> = exchanges.map(|(key, at)| (*key, at.0)).collect();
        for (key, caller) in open {
            self.exchanges.remove(&key);
            self.retry_later(caller);
        }
    }

    /// Pauses the process of a node. [`World::resume`] decides whether its clock
    /// stopped as well.
    pub fn pause(&mut self, n: usize) {
        if let Some(process) = &mut self.processes[n] {
            process.paused = true;
        }
    }

    /// Resumes a paused process, which then handles the events that arrived during
    /// the pause.
    pub fn resume(&mut self, n: usize, paused_for: Duration, clock_stopped: bool) {
        let Some(process) = &mut self.processes[n] else {
            return;
        };
        if !std::mem::take(&mut process.paused) {
            return;
        }
        if clock_stopped {
            process.clock_start = process.clock_start + paused_for;
        }
        for event in std::mem::take(&mut process.deferred_events) {
            self.handle_event(n, event);
        }
        self.handle_event(n, Event::Tick);
    }

    /// Submits the request of a caller to a node, which first issues an id for it
    /// if there is none.
    pub fn submit(&mut self, caller: usize, n: usize) {
        if self.callers[caller].id.is_none() {
            let now = self.now;
            let Some(process) = self.process_mut(n) else {
                return;
            };
            let id = process.node.issue_id(process.clock(now));
            self.callers[caller] = Caller {
                id: Some(id),
                retries_left: 4,
            };
        }
        let id = self.callers[caller].id.clone();
        self.send_request(caller, n, id);
    }

    /// Submits a request of a caller without an id.
    pub fn submit_without_id(&mut self, caller: usize, n: usize) {
        self.send_request(caller, n, None);
    }

    fn send_request(&mut self, caller: usize, n: usize, id: Option<RequestId>) {
        let key = RequestKey(self.next_number());
        if self.processes[n].is_none() {
            return self.retry_later(caller);
        }
        self.exchanges.insert(key, (caller, n, id.clone()));
        let submission = Box::new(setup::submission(self.kind, id));
        self.handle_event(n, Event::Submit { key, submission });
    }

    /// Queries a node for the outcome of the request of a caller.
    pub fn query_status(&mut self, caller: usize, n: usize) {
        let Some(id) = self.callers[caller].id.clone() else {
            return;
        };
        let key = RequestKey(self.next_number());
        if self.processes[n].is_some() {
            self.exchanges.insert(key, (caller, n, Some(id.clone())));
            self.handle_event(n, Event::StatusQuery { key, id });
        }
    }

    /// Ends all open exchanges of a caller, which retries later.
    pub fn disconnect_caller(&mut self, caller: usize) {
        let open = self.exchanges.iter().filter(|(_, at)| at.0 == caller);
        let open: Vec<(RequestKey, usize)> = open.map(|(key, at)| (*key, at.1)).collect();
        for (key, n) in open {
            self.exchanges.remove(&key);
            self.handle_event(n, Event::CallerDisconnected { key });
        }
        self.retry_later(caller);
    }

    /// Runs all events that are due within a time.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > until {
                break;
            }
            let Some((_, scheduled)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.run_scheduled(scheduled);
        }
        self.now = until;
    }

    fn run_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::ToNode(n, event) => self.handle_event(n, event),
            ScheduledEvent::ToProcess(n, incarnation, event) => {
                if self
                    .process_mut(n)
                    .is_some_and(|p| p.incarnation == incarnation)
                {
                    self.handle_event(n, event);
                }
            }
            ScheduledEvent::Tick(n, incarnation) => {
                let now = self.now;
                let Some(process) = self.process_mut(n).filter(|p| p.incarnation == incarnation)
                else {
                    return;
                };
                if process.tick_at == Some(now) {
                    process.tick_at = None;
                    self.handle_event(n, Event::Tick);
                }
            }
            ScheduledEvent::Call(call) => self.run_call(call),
            ScheduledEvent::Step(step) => self.run_step(step),
            ScheduledEvent::Retry(caller, n) => self.submit(caller, n as usize % NODES),
        }
    }

    /// Delivers an event to the process of a node and executes the resulting
    /// actions.
    fn handle_event(&mut self, n: usize, event: Event) {
        let now = self.now;
        let Some(process) = self.process_mut(n) else {
            return;
        };
        if process.paused {
            process.deferred_events.push_back(event);
            return;
        }
        let at = process.clock(now);
        let incarnation = process.incarnation;
        let actions = process.node.handle(at, event);
        for action in actions {
            self.perform(n, incarnation, action);
        }
        self.schedule_tick(n);
    }

    fn schedule_tick(&mut self, n: usize) {
        let now = self.now;
        let Some(process) = self.process_mut(n) else {
            return;
        };
        let Some(due) = process.node.next_due() else {
            return;
        };
        let at =
            (process.clock_start + due.since(Timestamp(0))).max(now + Duration::from_micros(1));
        if process.tick_at.is_some_and(|tick| tick > now && tick <= at) {
            return;
        }
        process.tick_at = Some(at);
        let incarnation = process.incarnation;
        self.schedule(at, ScheduledEvent::Tick(n, incarnation));
    }

    fn perform(&mut self, n: usize, incarnation: Incarnation, action: Action) {
        match action {
            Action::Peer { to, message, .. } => self.send_to_peer(n, incarnation, &to, message),
            Action::Call {
                key, attempt, id, ..
            } => {
                let call = Call {
                    node: n,
                    incarnation,
                    key,
                    attempt,
                    id,
                };
                self.send_call(call);
            }
            Action::Step {
                key, step, spec, ..
            } => {
                let step = Step {
                    node: n,
                    incarnation,
                    key,
                    step,
                    spec,
                };
                self.send_step(step);
            }
            Action::Reply { key, reply } => self.receive_reply(key, reply),
            // No other action starts a request.
            _ => {}
        }
    }

    /// Records a reply to a caller.
    fn receive_reply(&mut self, key: RequestKey, reply: Reply) {
        let Some((caller, _, requested_id)) = self.exchanges.get(&key).cloned() else {
            return;
        };
        match reply {
            Reply::Done(done) => {
                self.exchanges.remove(&key);
                *self.observed.final_replies.entry(key).or_default() += 1;
                // A request that came without an id and was rejected has no id.
                let id = done.id.or(requested_id);
                let Some(id) = id else { return };
                let completion = (done.tokens > 0 && done.outcome == Outcome::Completed)
                    .then(|| format!("{id} {}", done.digest));
                if let Some(body) = done.body.map(|body| body.to_string()).or(completion) {
                    let bodies = self.observed.bodies.entry(id.clone()).or_default();
                    bodies.insert(body);
                }
                self.record_outcome(id, done.outcome);
                if done.outcome == Outcome::Unknown || self.rng.random_ratio(1, 4) {
                    self.retry_later(caller);
                }
            }
            Reply::Status(state) => {
                self.exchanges.remove(&key);
                if let (RequestState::Ended(outcome), Some(id)) = (state, requested_id) {
                    self.record_outcome(id, outcome);
                }
            }
            Reply::Admitted { .. } | Reply::Delta { .. } => {}
        }
    }

    fn record_outcome(&mut self, id: RequestId, outcome: Outcome) {
        self.observed
            .reported
            .entry(id)
            .or_default()
            .insert(outcome);
    }

    fn retry_later(&mut self, caller: usize) {
        let row = &mut self.callers[caller];
        if row.retries_left == 0 || row.id.is_none() {
            return;
        }
        row.retries_left -= 1;
        let wait = Duration::from_millis(self.rng.random_range(0..300));
        let n = self.rng.random();
        self.schedule(self.now + wait, ScheduledEvent::Retry(caller, n));
    }

    fn process_mut(&mut self, n: usize) -> Option<&mut Process> {
        self.processes[n].as_mut()
    }

    fn schedule(&mut self, at: Timestamp, scheduled: ScheduledEvent) {
        let next = self.next_number();
        self.queue.insert((at, next), scheduled);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns a description of the first violation of the invariants I2 to I4, if
    /// there is one.
    pub fn violation(&self) -> Option<String> {
        for (id, starts) in &self.observed.starts {
            if *starts > 1 {
                return Some(format!("I4: {id} started {starts} times"));
            }
            let reported = self.observed.reported.get(id);
            let is_not_run = |o: &Outcome| matches!(o, Outcome::NotRun(_));
            if reported.is_some_and(|reported| reported.iter().any(is_not_run)) {
                return Some(format!(
                    "I3: {id} started, but {reported:?} was reported to callers"
                ));
            }
        }
        for (id, bodies) in &self.observed.bodies {
            if bodies.len() > 1 || bodies.iter().any(|body| !body.contains(id.as_str())) {
                return Some(format!("I2: {id} was answered by {bodies:?}"));
            }
        }
        let repeated = self
            .observed
            .final_replies
            .iter()
            .find(|(_, ends)| **ends > 1);
        repeated.map(|(key, ends)| format!("I2: exchange {key} ended {ends} times"))
    }
}

impl Process {
    fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp(0) + now.since(self.clock_start)
    }
}

/// Returns the response of the service to a call.
fn result(id: &RequestId, run: u32) -> Result<serde_json::Value, AttemptError> {
    Ok(serde_json::json!({ "request": id, "run": run }))
}
