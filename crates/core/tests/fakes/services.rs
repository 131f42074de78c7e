//! A node and fake servers of one plain service.
//!
//! A plain service handles each call in one piece, without stages or sessions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bolero_generator::TypeGenerator;
use radishhaven_core::{
    config::{Batch, Object, Service},
    configs::{Configs, Identity},
    ids::{Attempt, Incarnation, RequestKey},
    message::{Action, AttemptError, Demand, Event, Reply, Submission},
    node::Node,
    outcome::Outcome,
    platform::{Record, Vm, VmList, VmRole, VmState},
    time::Timestamp,
};
use serde_json::json;
use sha2::{Digest, Sha256};

use super::{id, objects, trace};

/// Number of servers of the service.
pub const SERVERS: usize = 3;
/// Duration of a call to a server that answers quickly.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Time after which no event is pending any more.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// How a server responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
pub enum Behaviour {
    /// Responds after [`SERVICE_TIME`].
    Quick,
    /// Responds after 120 ms.
    Slow,
    /// Does not receive the calls.
    Unreachable,
    /// Runs the calls, but the responses are lost.
    LosesAnswers,
    /// Runs the calls and never responds.
    Unresponsive,
}

/// An attempt as its server received it.
#[derive(Debug, Clone, Copy)]
pub struct SentAttempt {
    pub attempt: Attempt,
    pub at: Timestamp,
    pub timeout: Duration,
    pub started: bool,
}

/// What the servers and the caller observed of one request.
#[derive(Debug)]
pub struct ObservedRequest {
    pub idempotent: bool,
    pub caller_disconnected: bool,
    pub attempts: Vec<SentAttempt>,
    pub id: Option<String>,
    pub outcomes: Vec<(Timestamp, Outcome)>,
}

pub struct ServiceWorld {
    pub node: Node,
    pub now: Timestamp,
    pub behaviours: [Behaviour; SERVERS],
    pub requests: BTreeMap<RequestKey, ObservedRequest>,
    pub trace_lines: Vec<String>,
    queue: BTreeMap<(Timestamp, u64), Event>,
    queued: u64,
    timers: usize,
}

fn vm(n: usize) -> String {
    format!("service-{n}")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 80))
}

fn batch() -> Batch {
    let mut all = vec![
        Object::Service(Service {
            id: id("libro"),
            idempotent: BTreeSet::from(["lookup".to_owned()]),
        }),
        objects::organisation(5),
    ];
    all.extend((0..SERVERS).map(|n| objects::server(&vm(n), "libro")));
    objects::batch(all)
}

impl ServiceWorld {
    /// Creates a node that has all servers in its tables; `adjust` changes its
    /// settings.
    pub fn new(seed: u64, adjust: impl FnOnce(&mut Configs)) -> Self {
        let mut cfg = Configs::new(Identity {
            vm: id("node-0"),
            failure_domain: id("mvd-centro"),
            address: address(200),
            incarnation: Incarnation(1),
        });
        adjust(&mut cfg);
        let mut world = Self {
            node: Node::new(cfg, seed),
            now: Timestamp::from_millis(1_000),
            behaviours: [Behaviour::Quick; SERVERS],
            requests: BTreeMap::new(),
            trace_lines: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
            timers: 0,
        };
        let body = serde_json::to_string(&batch()).expect("the batch is serialised");
        world.handle(Event::ConfigRecords {
            first: 0,
            end: 1,
            records: vec![Record { offset: 0, body }],
        });
        let server = |n| Vm {
            vm: id(&vm(n)),
            role: VmRole::Backend,
            address: address(n),
            peer_address: None,
            failure_domain: id("mvd-centro"),
            state: VmState::Live,
        };
        let vms = (0..SERVERS).map(server).collect();
        world.handle(Event::VmList(VmList { vms }));
        world.timers = world.node.tables().timers.len();
        world.trace_lines.clear();
        world
    }

    /// Submits a `lookup`, which is idempotent, or a `book`, which is not.
    pub fn submit(&mut self, idempotent: bool, timeout: Duration) -> RequestKey {
        let key = RequestKey(self.requests.len() as u64 + 1);
        let operation = if idempotent { "lookup" } else { "book" };
        let request = ObservedRequest {
            idempotent,
            caller_disconnected: false,
            attempts: Vec::new(),
            id: None,
            outcomes: Vec::new(),
        };
        self.requests.insert(key, request);
        let submission = Submission {
            token_sha256: Sha256::digest(b"token").into(),
            id: None,
            priority: None,
            timeout: Some(timeout),
            idempotent: None,
            demand: Demand::Call {
                service: id("libro"),
                operation: operation.to_owned(),
                body: json!({ "hearing": 12 }),
            },
        };
        self.handle(Event::Submit {
            key,
            submission: Box::new(submission),
        });
        key
    }

    pub fn disconnect_caller(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.caller_disconnected = true;
            self.handle(Event::CallerDisconnected { key });
        }
    }

    /// Returns the first outcome of a request and its time.
    pub fn first_outcome(&self, key: RequestKey) -> Option<(Timestamp, Outcome)> {
        self.requests[&key].outcomes.first().copied()
    }

    /// Advances the clock and handles all events that are due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let queued = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let next = queued.into_iter().chain(self.node.next_due()).min();
            let Some(at) = next.filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            let event = match queued == Some(at) {
                true => self.queue.pop_first().map(|(_, event)| event),
                false => None,
            };
            self.handle(event.unwrap_or(Event::Tick));
        }
        self.now = end;
    }

    /// Advances the clock until no event is pending any more.
    pub fn settle(&mut self) {
        self.advance(SETTLE_TIME);
    }

    fn handle(&mut self, event: Event) {
        self.trace_lines.push(trace::event(self.now, &event));
        let failed = matches!(event, Event::CallDone { result: Err(_), .. });
        for action in self.node.handle(self.now, event) {
            self.trace_lines.extend(trace::action(self.now, &action));
            match action {
                Action::Call {
                    key,
                    attempt,
                    address,
                    timeout,
                    ..
                } => {
                    assert!(!failed, "{key}: retried without a delay");
                    self.serve(key, attempt, address, timeout);
                }
                Action::Reply { key, reply } => self.record_reply(key, reply),
                _ => {}
            }
        }
    }

    fn serve(&mut self, key: RequestKey, attempt: Attempt, to: SocketAddr, timeout: Duration) {
        let server = (0..SERVERS).find(|n| address(*n) == to);
        let behaviour = self.behaviours[server.expect("the address belongs to a server")];
        let done = Ok(json!({ "call": 0 }));
        let (duration, result) = match behaviour {
            Behaviour::Quick => (SERVICE_TIME, done),
            Behaviour::Slow => (Duration::from_millis(120), done),
            Behaviour::Unreachable => (Duration::from_millis(1), Err(AttemptError::NotSent)),
            Behaviour::LosesAnswers => (SERVICE_TIME, Err(AttemptError::Lost)),
            Behaviour::Unresponsive => (timeout, Err(AttemptError::Lost)),
        };
        let result = if duration > timeout {
            Err(AttemptError::Lost)
        } else {
            result
        };
        let request = self
            .requests
            .get_mut(&key)
            .expect("the request was submitted");
        assert!(request.outcomes.is_empty(), "{key}: sent after its outcome");
        request.attempts.push(SentAttempt {
            attempt,
            at: self.now,
            timeout,
            started: behaviour != Behaviour::Unreachable,
        });
        let event = Event::CallDone {
            key,
            attempt,
            result,
        };
        self.queued += 1;
        let at = self.now + duration.min(timeout);
        self.queue.insert((at, self.queued), event);
    }

    fn record_reply(&mut self, key: RequestKey, reply: Reply) {
        let request = self
            .requests
            .get_mut(&key)
            .expect("the request was submitted");
        match reply {
            Reply::Admitted { id } => request.id = Some(id.to_string()),
            Reply::Done(done) => request.outcomes.push((self.now, done.outcome)),
            other => panic!("{key}: unexpected reply to a call: {other:?}"),
        }
    }

    /// Checks the invariants, which hold once no event is pending any more.
    pub fn check(&self) {
        let cfg = &self.node.configs().retry;
        let mut retries = 0;
        for (key, request) in &self.requests {
            check_call(*key, request, cfg.max_attempts);
            retries += request.attempts.len().saturating_sub(1);
        }
        let share = self.requests.len() * cfg.budget_percent as usize / 100;
        let budget = cfg.budget_burst as usize + share;
        assert_eq!(
            cfg.budget_per_s, 0,
            "the bound below does not include retries per second"
        );
        assert!(
            retries <= budget,
            "{retries} retries exceed the budget of {budget}"
        );
        let tables = self.node.tables();
        assert_eq!(tables.counters.retries, retries as u64);
        assert!(
            tables.requests.is_empty(),
            "a request is still in the table"
        );
        assert_eq!(tables.timers.len(), self.timers, "a timer was not removed");
        let busy = tables.backends.iter().find(|b| b.in_flight > 0);
        assert!(busy.is_none(), "{busy:?} still has requests in flight");
    }
}

fn check_call(key: RequestKey, request: &ObservedRequest, max_attempts: u32) {
    let expected = usize::from(!request.caller_disconnected);
    let ends = request.outcomes.len();
    assert!((expected..=1).contains(&ends), "{key}: {ends} outcomes");
    assert!(
        request.attempts.len() <= max_attempts as usize,
        "{key}: {request:?}"
    );
    let numbers = request.attempts.iter().map(|sent| sent.attempt.0);
    assert!(
        numbers.eq(0..request.attempts.len() as u32),
        "{key}: {request:?}"
    );
    let in_time = request.attempts.iter().all(|sent| !sent.timeout.is_zero());
    assert!(in_time, "{key}: sent with no time left: {request:?}");
    let started = request.attempts.iter().filter(|sent| sent.started).count();
    assert!(request.idempotent || started <= 1, "{key}: {request:?}");
    match request.outcomes.first() {
        Some((_, Outcome::NotRun(_))) => {
            assert_eq!(started, 0, "{key}: reported as not run, but it ran")
        }
        Some((_, Outcome::Completed)) => assert!(
            started > 0,
            "{key}: reported as completed, but it never ran"
        ),
        _ => {}
    }
}
