//! Runs leases and orders through random sequences of faults: several nodes
//! with clocks that drift, a log that loses, delays and expires records, and
//! engines that check fencing tokens or ignore them.

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use super::*;
use crate::{
    ids::{FencingToken, Incarnation, ShardId, VmId},
    orders::{DesiredState, EngineState, LeaseTerm, OrderAction, OrderConfig, ShardOrders},
    platform::Record,
    time::Timestamp,
};

const NODES: usize = 3;
const ENGINES: usize = 2;
/// Real time that a round takes, in microseconds.
const ROUND_US: u64 = 1_000_000;
/// Upper bound on the time that an append takes to reach the log, in rounds.
const MAX_APPEND_ROUNDS: u8 = 30;
/// Maximum number of rounds from the last fault until the cluster converges. A
/// node that missed records waits for the longest lease before it claims, then
/// sends orders and reads them back.
const MAX_SETTLE_ROUNDS: u32 = 160;
/// Number of consecutive rounds for which the cluster must stay converged.
const STABLE_ROUNDS: u32 = 8;
const MILLION_US: u64 = 1_000_000;

#[derive(Debug, Clone, TypeGenerator)]
enum Fault {
    Pause(u8),
    Resume(u8),
    Restart(u8),
    Outage,
    EndOutage,
    LoseNextRecord(u8),
    DelayNextAppend(u8, u8),
    PauseBeforeNextOrder(u8),
    DelayReads(u8, u8),
    ExpireRecords(u8),
    Rounds(u8),
}

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    clock_rates: [u8; NODES],
    faults: [Fault; 14],
}

struct Node {
    vm: VmId,
    incarnation: u64,
    leases: Leases,
    orders: ShardOrders,
    paused: bool,
    /// Error of the clock rate in parts per million; positive if it runs fast.
    clock_error_ppm: i64,
    renewed: Timestamp,
    /// The order that the node had checked but not sent when it was paused.
    undelivered_order: Option<Order>,
    pause_before_next_order: bool,
    lose_next_append: bool,
    next_append_delay: u8,
    /// Number of rounds by which the node sees the log late.
    read_delay: usize,
}

#[derive(Debug, Clone)]
struct Order {
    engine: usize,
    token: FencingToken,
    version: u16,
}

#[derive(Debug, Clone)]
struct Engine {
    checks_tokens: bool,
    token: FencingToken,
    newest_token: FencingToken,
    version: u16,
}

struct Cluster {
    real_us: u64,
    round: u64,
    log: Vec<String>,
    first_retained: usize,
    /// The length of the log after each round.
    log_ends: Vec<usize>,
    outage: bool,
    pending_appends: Vec<(u64, String)>,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    desired: u16,
}

fn shard() -> ShardId {
    "mvd-centro".parse().expect("a shard")
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().expect("a VM")
}

/// Uses a large clock drift, so that its effect exceeds the length of a round.
fn cfg() -> LeaseConfig {
    LeaseConfig {
        drift_ppm: 200_000,
        ..LeaseConfig::default()
    }
}

fn leases(vm: &VmId, incarnation: u64) -> Leases {
    let holder = Holder {
        vm: vm.clone(),
        incarnation: Incarnation(incarnation),
    };
    Leases::new(holder, cfg())
}

fn desired(value: u16, checks_tokens: bool) -> DesiredState {
    DesiredState {
        model: "dictado".parse().expect("a model"),
        version: format!("v{value}").parse().expect("a version"),
        layers: "0..8".parse().expect("layers"),
        adapters: Default::default(),
        checks_tokens,
    }
}

impl Cluster {
    fn new(case: &Case) -> Self {
        let drift = i64::from(cfg().drift_ppm);
        let node = |n: usize| Node {
            vm: vm(n),
            incarnation: 1,
            leases: leases(&vm(n), 1),
            orders: ShardOrders::default(),
            paused: false,
            clock_error_ppm: i64::from(case.clock_rates[n]) * 2 * drift / 255 - drift,
            renewed: Timestamp::default(),
            undelivered_order: None,
            pause_before_next_order: false,
            lose_next_append: false,
            next_append_delay: 0,
            read_delay: 0,
        };
        let engine = |n: usize| Engine {
            checks_tokens: n == 0,
            token: FencingToken(0),
            newest_token: FencingToken(0),
            version: 0,
        };
        Self {
            real_us: MILLION_US,
            round: 0,
            log: Vec::new(),
            first_retained: 0,
            log_ends: Vec::new(),
            outage: false,
            pending_appends: Vec::new(),
            nodes: (0..NODES).map(node).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            desired: 1,
        }
    }

    fn local_time(&self, n: usize) -> Timestamp {
        let rate = i128::from(MILLION_US) + i128::from(self.nodes[n].clock_error_ppm);
        let local_us = i128::from(self.real_us) * rate / i128::from(MILLION_US);
        // The clocks of the nodes start at different values.
        Timestamp(local_us as u64 + n as u64 * 77 * MILLION_US)
    }

    fn append(&mut self, n: usize, record: &LeaseRecord) {
        let body = serde_json::to_string(record).expect("a record");
        let node = &mut self.nodes[n];
        let lost = std::mem::take(&mut node.lose_next_append);
        let rounds = std::mem::take(&mut node.next_append_delay);
        if !lost && !self.outage {
            self.pending_appends
                .push((self.round + u64::from(rounds), body));
        }
    }

    fn run_round(&mut self) {
        self.round += 1;
        self.real_us += ROUND_US;
        let round = self.round;
        if !self.outage {
            let (arrived, waiting) = self
                .pending_appends
                .drain(..)
                .partition(|(at, _)| *at <= round);
            self.pending_appends = waiting;
            let arrived: Vec<(u64, String)> = arrived;
            self.log.extend(arrived.into_iter().map(|(_, body)| body));
        }
        self.log_ends.push(self.log.len());
        for n in 0..NODES {
            if !self.nodes[n].paused {
                self.run_node(n);
            }
        }
        self.check();
    }

    fn run_node(&mut self, n: usize) {
        let now = self.local_time(n);
        if let Some(order) = self.nodes[n].undelivered_order.take() {
            self.deliver(&order);
        }
        if !self.outage {
            let next = (self.nodes[n].leases.next_offset() as usize).max(self.first_retained);
            let seen = self.log_ends.iter().nth_back(self.nodes[n].read_delay);
            let seen = seen.copied().unwrap_or_default().max(self.first_retained);
            let bodies = self.log[..seen].iter().enumerate().skip(next);
            let records: Vec<Record> = bodies
                .map(|(offset, body)| Record {
                    offset: offset as u64,
                    body: body.clone(),
                })
                .collect();
            let (first, end) = (self.first_retained as u64, seen as u64);
            self.nodes[n].leases.apply_read(now, first, end, &records);
        }
        let shard = shard();
        if let Some(record) = self.nodes[n].leases.claim(now, &shard) {
            self.append(n, &record);
        }
        if now >= self.nodes[n].renewed + cfg().renew_interval
            && let Some(record) = self.nodes[n].leases.renew(now)
        {
            self.nodes[n].renewed = now;
            self.append(n, &record);
        }
        self.send_orders(n, now);
    }

    fn send_orders(&mut self, n: usize, now: Timestamp) {
        let shard = shard();
        let Some(token) = self.nodes[n].leases.token(now, &shard) else {
            return;
        };
        let since = self.nodes[n].leases.rows()[&shard].since;
        let term = LeaseTerm { token, since };
        let cfg = OrderConfig::default();
        for (e, engine) in self.engines.iter().enumerate() {
            let desired_state = desired(self.desired, engine.checks_tokens);
            self.nodes[n]
                .orders
                .set_desired(now, &vm(e), Some(desired_state));
        }
        for action in self.nodes[n].orders.due_reads(now, &cfg) {
            let OrderAction::Read { vm: at } = action else {
                continue;
            };
            let e = (0..ENGINES).find(|e| vm(*e) == at).expect("an engine");
            let engine = &self.engines[e];
            let holds = desired(engine.version, engine.checks_tokens);
            let held = EngineState {
                model: holds.model,
                version: holds.version,
                layers: holds.layers,
                adapters: holds.adapters,
                token: engine.token,
                loading: false,
            };
            let actions = self.nodes[n].orders.apply_read(now, &at, held, term, &cfg);
            for action in actions {
                self.send_order(n, now, action);
            }
        }
    }

    fn send_order(&mut self, n: usize, now: Timestamp, action: OrderAction) {
        let OrderAction::Send { vm: at, token, .. } = action else {
            return;
        };
        // Checks the lease again right before the order is sent, as a node does.
        if self.nodes[n].leases.token(now, &shard()) != Some(token) {
            return;
        }
        let engine = (0..ENGINES).find(|e| vm(*e) == at).expect("an engine");
        let order = Order {
            engine,
            token,
            version: self.desired,
        };
        let node = &mut self.nodes[n];
        if std::mem::take(&mut node.pause_before_next_order) {
            // The process is paused between the check and the order.
            node.paused = true;
            node.undelivered_order = Some(order);
        } else {
            self.deliver(&order);
        }
    }

    fn deliver(&mut self, order: &Order) {
        let engine = &mut self.engines[order.engine];
        if engine.checks_tokens && order.token < engine.newest_token {
            return;
        }
        engine.newest_token = engine.newest_token.max(order.token);
        engine.token = order.token;
        engine.version = order.version;
    }

    /// Checks that at most one node considers itself the holder, and that no
    /// engine that checks tokens applied an outdated order. A paused node checks
    /// its lease again when it resumes.
    fn check(&self) {
        let valid: Vec<(usize, FencingToken)> = (0..NODES)
            .filter_map(|n| Some((n, self.nodes[n].leases.token(self.local_time(n), &shard())?)))
            .collect();
        assert!(valid.len() <= 1, "round {}: {valid:?}", self.round);
        for engine in self.engines.iter().filter(|engine| engine.checks_tokens) {
            assert_eq!(
                engine.token, engine.newest_token,
                "an outdated order took effect"
            );
        }
    }

    fn apply(&mut self, fault: &Fault) {
        let at = |n: &u8| usize::from(*n) % NODES;
        match fault {
            Fault::Pause(n) => self.nodes[at(n)].paused = true,
            Fault::Resume(n) => self.nodes[at(n)].paused = false,
            Fault::Restart(n) => {
                let node = &mut self.nodes[at(n)];
                node.incarnation += 1;
                node.leases = leases(&node.vm, node.incarnation);
                node.orders = ShardOrders::default();
                node.undelivered_order = None;
                node.paused = false;
            }
            Fault::Outage => self.outage = true,
            Fault::EndOutage => self.outage = false,
            Fault::LoseNextRecord(n) => self.nodes[at(n)].lose_next_append = true,
            Fault::DelayNextAppend(n, rounds) => {
                self.nodes[at(n)].next_append_delay = rounds % MAX_APPEND_ROUNDS;
            }
            Fault::PauseBeforeNextOrder(n) => self.nodes[at(n)].pause_before_next_order = true,
            Fault::DelayReads(n, rounds) => {
                self.nodes[at(n)].read_delay = usize::from(*rounds) % 16;
            }
            Fault::ExpireRecords(n) => {
                let end = self.log.len();
                self.first_retained = (self.first_retained + usize::from(*n) % 8).min(end);
            }
            Fault::Rounds(rounds) => {
                // Operators change the desired state from time to time.
                self.desired += 1;
                for _ in 0..u32::from(*rounds) % 20 {
                    self.run_round();
                }
            }
        }
    }

    /// Ends all faults and runs until the cluster has converged.
    fn settle(&mut self) {
        self.outage = false;
        for n in 0..NODES {
            self.nodes[n].paused = false;
            self.nodes[n].pause_before_next_order = false;
            self.nodes[n].read_delay = 0;
        }
        let mut stable_rounds = 0;
        for _ in 0..MAX_SETTLE_ROUNDS {
            self.run_round();
            stable_rounds = if self.is_converged() {
                stable_rounds + 1
            } else {
                0
            };
            if stable_rounds == STABLE_ROUNDS {
                return;
            }
        }
        panic!("the cluster did not converge: {:?}", self.engines);
    }

    /// Returns whether a node holds the lease and all engines hold the desired
    /// state under its token.
    fn is_converged(&self) -> bool {
        let token = |n: usize| self.nodes[n].leases.token(self.local_time(n), &shard());
        let holder = (0..NODES).find_map(token);
        let engines = self.engines.iter();
        let mut engines = engines.map(|e| Some(e.token) == holder && e.version == self.desired);
        holder.is_some() && engines.all(|matches| matches)
    }
}

#[test]
fn at_most_one_node_holds_a_lease_and_engines_converge_to_its_orders() {
    check(7, INVARIANT_CASES, |case: Case| {
        let mut cluster = Cluster::new(&case);
        for fault in &case.faults {
            cluster.apply(fault);
            cluster.run_round();
        }
        cluster.settle();
    });
}

fn append(log: &mut Vec<Record>, record: &LeaseRecord) {
    log.push(Record {
        offset: log.len() as u64,
        body: serde_json::to_string(record).expect("a record"),
    });
}

fn read(leases: &mut Leases, ms: u64, log: &[Record]) {
    leases.apply_read(Timestamp::from_millis(ms), 0, log.len() as u64, log);
}

#[test]
fn of_two_concurrent_claims_the_first_in_the_log_wins() {
    let (mut a, mut b) = (leases(&vm(0), 1), leases(&vm(1), 1));
    let mut log = Vec::new();
    read(&mut a, 1, &log);
    read(&mut b, 1, &log);
    let now = Timestamp::from_millis(2);
    let claims = [b.claim(now, &shard()), a.claim(now, &shard())];
    for claim in claims.into_iter().flatten() {
        append(&mut log, &claim);
    }
    read(&mut a, 3, &log);
    read(&mut b, 3, &log);
    let now = Timestamp::from_millis(4);
    assert_eq!(b.token(now, &shard()), Some(FencingToken(1)));
    assert_eq!(a.token(now, &shard()), None);
    assert!(!a.is_free(now, &shard()));
}

#[test]
fn the_token_of_the_first_claim_is_greater_than_the_default_token() {
    let mut first = leases(&vm(0), 1);
    let mut log = Vec::new();
    read(&mut first, 1, &log);
    let claim = first.claim(Timestamp::from_millis(2), &shard());
    append(&mut log, &claim.expect("the shard is free"));
    read(&mut first, 3, &log);
    let token = first.token(Timestamp::from_millis(4), &shard());
    assert!(token > Some(FencingToken::default()), "{token:?}");
}

#[test]
fn a_released_lease_is_free_immediately() {
    let (mut a, mut b) = (leases(&vm(0), 1), leases(&vm(1), 1));
    let mut log = Vec::new();
    read(&mut a, 1, &log);
    let claim = a.claim(Timestamp::from_millis(2), &shard()).expect("free");
    append(&mut log, &claim);
    read(&mut a, 3, &log);
    let now = Timestamp::from_millis(4);
    let release = a.release(now, &shard()).expect("held");
    assert_eq!(
        a.token(now, &shard()),
        None,
        "the holder gives it up before the record is in the log"
    );
    append(&mut log, &release);
    read(&mut b, 5, &log);
    assert!(b.claim(Timestamp::from_millis(6), &shard()).is_some());
}

#[test]
fn unreadable_records_are_counted_and_ignored() {
    let mut a = leases(&vm(0), 1);
    let bad = ["", "{}", "{\"format\":2}", "[1,2"];
    let log: Vec<Record> = (0..)
        .zip(bad)
        .map(|(offset, body)| Record {
            offset,
            body: body.to_owned(),
        })
        .collect();
    read(&mut a, 1, &log);
    assert_eq!(a.broken_records(), 4);
    assert_eq!(a.next_offset(), 4);
    assert_eq!(a.rows(), &BTreeMap::new());
}

#[test]
fn a_node_that_missed_records_waits_for_unknown_holders() {
    let mut late = leases(&vm(2), 1);
    late.apply_read(Timestamp::from_millis(1), 500, 500, &[]);
    let wait = cfg().expiry_wait(MAX_LEASE_DURATION);
    let early = Timestamp::from_millis(1) + wait - Duration::from_millis(1);
    assert!(!late.is_free(early, &shard()));
    assert!(late.is_free(Timestamp::from_millis(1) + wait, &shard()));
}
