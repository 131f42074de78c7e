//! One node among fake servers of a plain service.

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

/// Servers of the service.
pub const SERVERS: usize = 3;
/// Time that a call takes.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Time that nothing takes longer than.
const QUIET: Duration = Duration::from_secs(60);

/// What a server does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
pub enum Mood {
    /// It answers in [`SERVICE_TIME`].
    Quick,
    /// It answers late.
    Slow,
    /// It is not reached.
    Down,
    /// It runs calls, and the answers are lost.
    Loses,
    /// It runs calls and never answers.
    Silent,
}

/// One attempt as its server saw it.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub attempt: Attempt,
    pub at: Timestamp,
    pub within: Duration,
    pub started: bool,
}

/// What one request saw.
#[derive(Debug)]
pub struct Seen {
    pub idempotent: bool,
    pub gone: bool,
    pub sent: Vec<Sent>,
    pub id: Option<String>,
    pub ended: Vec<(Timestamp, Outcome)>,
}

pub struct Services {
    pub node: Node,
    pub now: Timestamp,
    pub moods: [Mood; SERVERS],
    pub seen: BTreeMap<RequestKey, Seen>,
    pub lines: Vec<String>,
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

impl Services {
    /// Makes a node that knows all servers; `adjust` changes its settings.
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
            moods: [Mood::Quick; SERVERS],
            seen: BTreeMap::new(),
            lines: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
            timers: 0,
        };
        let body = serde_json::to_string(&batch()).expect("a batch is written");
        world.give(Event::ConfigRecords {
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
        world.give(Event::VmList(VmList { vms }));
        world.timers = world.node.tables().timers.len();
        world.lines.clear();
        world
    }

    /// Submits a `lookup`, which is idempotent, or a `book`.
    pub fn submit(&mut self, idempotent: bool, within: Duration) -> RequestKey {
        let key = RequestKey(self.seen.len() as u64 + 1);
        let operation = if idempotent { "lookup" } else { "book" };
        let seen = Seen {
            idempotent,
            gone: false,
            sent: Vec::new(),
            id: None,
            ended: Vec::new(),
        };
        self.seen.insert(key, seen);
        let submission = Submission {
            token_sha256: Sha256::digest(b"token").into(),
            id: None,
            priority: None,
            timeout: Some(within),
            idempotent: None,
            demand: Demand::Call {
                service: id("libro"),
                operation: operation.to_owned(),
                body: json!({ "hearing": 12 }),
            },
        };
        self.give(Event::Submit {
            key,
            submission: Box::new(submission),
        });
        key
    }

    pub fn caller_gone(&mut self, key: RequestKey) {
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.gone = true;
            self.give(Event::CallerDisconnected { key });
        }
    }

    /// Returns when and how a request ended.
    pub fn ended(&self, key: RequestKey) -> Option<(Timestamp, Outcome)> {
        self.seen[&key].ended.first().copied()
    }

    /// Lets time pass.
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
            self.give(event.unwrap_or(Event::Tick));
        }
        self.now = end;
    }

    /// Runs to quiet.
    pub fn settle(&mut self) {
        self.advance(QUIET);
    }

    fn give(&mut self, event: Event) {
        self.lines.push(trace::event(self.now, &event));
        let failed = matches!(event, Event::CallDone { result: Err(_), .. });
        for action in self.node.handle(self.now, event) {
            self.lines.extend(trace::action(self.now, &action));
            match action {
                Action::Call {
                    key,
                    attempt,
                    address,
                    timeout: within,
                    ..
                } => {
                    assert!(!failed, "{key}: a retry without a wait");
                    self.serve(key, attempt, address, within);
                }
                Action::Reply { key, reply } => self.see(key, reply),
                _ => {}
            }
        }
    }

    fn serve(&mut self, key: RequestKey, attempt: Attempt, to: SocketAddr, within: Duration) {
        let server = (0..SERVERS).find(|n| address(*n) == to);
        let mood = self.moods[server.expect("the address is a server's")];
        let done = Ok(json!({ "call": 0 }));
        let (takes, result) = match mood {
            Mood::Quick => (SERVICE_TIME, done),
            Mood::Slow => (Duration::from_millis(120), done),
            Mood::Down => (Duration::from_millis(1), Err(AttemptError::NotSent)),
            Mood::Loses => (SERVICE_TIME, Err(AttemptError::Lost)),
            Mood::Silent => (within, Err(AttemptError::Lost)),
        };
        let result = if takes > within {
            Err(AttemptError::Lost)
        } else {
            result
        };
        let seen = self.seen.get_mut(&key).expect("it was submitted");
        assert!(seen.ended.is_empty(), "{key}: sent after its end");
        seen.sent.push(Sent {
            attempt,
            at: self.now,
            within,
            started: mood != Mood::Down,
        });
        let event = Event::CallDone {
            key,
            attempt,
            result,
        };
        self.queued += 1;
        let at = self.now + takes.min(within);
        self.queue.insert((at, self.queued), event);
    }

    fn see(&mut self, key: RequestKey, reply: Reply) {
        let seen = self.seen.get_mut(&key).expect("it was submitted");
        match reply {
            Reply::Admitted { id } => seen.id = Some(id.to_string()),
            Reply::Done(done) => seen.ended.push((self.now, done.outcome)),
            other => panic!("{key}: {other:?} for a call"),
        }
    }

    /// Judges everything that must hold once the world is quiet.
    pub fn check(&self) {
        let cfg = &self.node.configs().retry;
        let mut further = 0;
        for (key, seen) in &self.seen {
            check_call(*key, seen, cfg.max_attempts);
            further += seen.sent.len().saturating_sub(1);
        }
        let share = self.seen.len() * cfg.budget_percent as usize / 100;
        let budget = cfg.budget_burst as usize + share;
        assert_eq!(cfg.budget_per_s, 0, "the bound below leaves it out");
        assert!(further <= budget, "{further} retries of {budget}");
        let tables = self.node.tables();
        assert_eq!(tables.counters.retries, further as u64);
        assert!(tables.requests.is_empty(), "a request is still open");
        assert_eq!(tables.timers.len(), self.timers, "a subscription is left");
        let busy = tables.backends.iter().find(|b| b.in_flight > 0);
        assert!(busy.is_none(), "{busy:?} has places taken");
    }
}

fn check_call(key: RequestKey, seen: &Seen, max_attempts: u32) {
    let expected = usize::from(!seen.gone);
    let ends = seen.ended.len();
    assert!((expected..=1).contains(&ends), "{key}: {ends} outcomes");
    assert!(seen.sent.len() <= max_attempts as usize, "{key}: {seen:?}");
    let numbers = seen.sent.iter().map(|sent| sent.attempt.0);
    assert!(numbers.eq(0..seen.sent.len() as u32), "{key}: {seen:?}");
    let in_time = seen.sent.iter().all(|sent| !sent.within.is_zero());
    assert!(in_time, "{key}: sent at its deadline: {seen:?}");
    let started = seen.sent.iter().filter(|sent| sent.started).count();
    assert!(seen.idempotent || started <= 1, "{key}: {seen:?}");
    match seen.ended.first() {
        Some((_, Outcome::NotRun(_))) => assert_eq!(started, 0, "{key}: it ran"),
        Some((_, Outcome::Completed)) => assert!(started > 0, "{key}: it never ran"),
        _ => {}
    }
}
