//! Leases and orders over random histories: several holders with clocks of
//! their own, a log that loses, delays and expires, and engines that check
//! tokens or ignore them.

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
/// Real time that one turn of the world takes, in microseconds.
const TURN_US: u64 = 1_000_000;
/// Longest time that an append takes to reach the log, in turns.
const MAX_APPEND_TURNS: u8 = 30;
/// Turns within which all is right after the last fault: a late reader waits
/// for the longest lease, then orders and reads back.
const MAX_SETTLE_TURNS: u32 = 160;
/// Turns for which all stays right.
const STABLE_TURNS: u32 = 8;
const MILLION_US: u64 = 1_000_000;

#[derive(Debug, Clone, TypeGenerator)]
enum Fault {
    Pause(u8),
    Resume(u8),
    Restart(u8),
    Outage,
    OutageOver,
    LoseRecord(u8),
    SlowAppend(u8, u8),
    HoldOrder(u8),
    SlowReads(u8, u8),
    Expire(u8),
    Turns(u8),
}

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    rates: [u8; NODES],
    faults: [Fault; 14],
}

struct Node {
    vm: VmId,
    life: u64,
    leases: Leases,
    orders: ShardOrders,
    paused: bool,
    /// Parts of a million by which the clock is fast; negative when slow.
    ppm: i64,
    renewed: Timestamp,
    /// What the node believed when it was paused between check and order.
    held_order: Option<Order>,
    hold_next: bool,
    lose_next: bool,
    slow_next: u8,
    /// Turns by which the log that it reads is old.
    read_delay: usize,
}

#[derive(Debug, Clone)]
struct Order {
    engine: usize,
    token: FencingToken,
    value: u16,
}

#[derive(Debug, Clone)]
struct Engine {
    checks: bool,
    token: FencingToken,
    newest: FencingToken,
    value: u16,
}

struct World {
    real_us: u64,
    turn: u64,
    log: Vec<String>,
    first: usize,
    /// Ends of the log after each turn.
    ends: Vec<usize>,
    outage: bool,
    appends: Vec<(u64, String)>,
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

/// Clocks differ by much, so that a turn of the world is short beside it.
fn cfg() -> LeaseConfig {
    LeaseConfig {
        drift_ppm: 200_000,
        ..LeaseConfig::default()
    }
}

fn leases(vm: &VmId, life: u64) -> Leases {
    let holder = Holder {
        vm: vm.clone(),
        incarnation: Incarnation(life),
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

impl World {
    fn new(case: &Case) -> Self {
        let drift = i64::from(cfg().drift_ppm);
        let node = |n: usize| Node {
            vm: vm(n),
            life: 1,
            leases: leases(&vm(n), 1),
            orders: ShardOrders::default(),
            paused: false,
            ppm: i64::from(case.rates[n]) * 2 * drift / 255 - drift,
            renewed: Timestamp::default(),
            held_order: None,
            hold_next: false,
            lose_next: false,
            slow_next: 0,
            read_delay: 0,
        };
        let engine = |n: usize| Engine {
            checks: n == 0,
            token: FencingToken(0),
            newest: FencingToken(0),
            value: 0,
        };
        Self {
            real_us: MILLION_US,
            turn: 0,
            log: Vec::new(),
            first: 0,
            ends: Vec::new(),
            outage: false,
            appends: Vec::new(),
            nodes: (0..NODES).map(node).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            desired: 1,
        }
    }

    fn local(&self, n: usize) -> Timestamp {
        let rate = i128::from(MILLION_US) + i128::from(self.nodes[n].ppm);
        let local = i128::from(self.real_us) * rate / i128::from(MILLION_US);
        // Clocks start anywhere.
        Timestamp(local as u64 + n as u64 * 77 * MILLION_US)
    }

    fn append(&mut self, n: usize, record: &LeaseRecord) {
        let body = serde_json::to_string(record).expect("a record");
        let node = &mut self.nodes[n];
        let lost = std::mem::take(&mut node.lose_next);
        let turns = std::mem::take(&mut node.slow_next);
        if !lost && !self.outage {
            self.appends.push((self.turn + u64::from(turns), body));
        }
    }

    fn turn(&mut self) {
        self.turn += 1;
        self.real_us += TURN_US;
        let turn = self.turn;
        if !self.outage {
            let (arrived, waiting) = self.appends.drain(..).partition(|(at, _)| *at <= turn);
            self.appends = waiting;
            let arrived: Vec<(u64, String)> = arrived;
            self.log.extend(arrived.into_iter().map(|(_, body)| body));
        }
        self.ends.push(self.log.len());
        for n in 0..NODES {
            if !self.nodes[n].paused {
                self.step(n);
            }
        }
        self.check();
    }

    fn step(&mut self, n: usize) {
        let now = self.local(n);
        if let Some(order) = self.nodes[n].held_order.take() {
            self.deliver(&order);
        }
        if !self.outage {
            let next = (self.nodes[n].leases.next_offset() as usize).max(self.first);
            let seen = self.ends.iter().nth_back(self.nodes[n].read_delay);
            let seen = seen.copied().unwrap_or_default().max(self.first);
            let bodies = self.log[..seen].iter().enumerate().skip(next);
            let records: Vec<Record> = bodies
                .map(|(offset, body)| Record {
                    offset: offset as u64,
                    body: body.clone(),
                })
                .collect();
            let (first, end) = (self.first as u64, seen as u64);
            self.nodes[n].leases.read(now, first, end, &records);
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
        self.give_orders(n, now);
    }

    fn give_orders(&mut self, n: usize, now: Timestamp) {
        let shard = shard();
        let Some(token) = self.nodes[n].leases.token(now, &shard) else {
            return;
        };
        let since = self.nodes[n].leases.rows()[&shard].since;
        let term = LeaseTerm { token, since };
        let cfg = OrderConfig::default();
        for (e, engine) in self.engines.iter().enumerate() {
            let wanted = desired(self.desired, engine.checks);
            self.nodes[n].orders.set(now, &vm(e), Some(wanted));
        }
        for action in self.nodes[n].orders.reads(now, &cfg) {
            let OrderAction::Read { vm: at } = action else {
                continue;
            };
            let e = (0..ENGINES).find(|e| vm(*e) == at).expect("an engine");
            let engine = &self.engines[e];
            let holds = desired(engine.value, engine.checks);
            let held = EngineState {
                model: holds.model,
                version: holds.version,
                layers: holds.layers,
                adapters: holds.adapters,
                token: engine.token,
                loading: false,
            };
            let actions = self.nodes[n].orders.read(now, &at, held, term, &cfg);
            for action in actions {
                self.give(n, now, action);
            }
        }
    }

    fn give(&mut self, n: usize, now: Timestamp, action: OrderAction) {
        let OrderAction::Send { vm: at, token, .. } = action else {
            return;
        };
        // The check just before the order.
        if self.nodes[n].leases.token(now, &shard()) != Some(token) {
            return;
        }
        let engine = (0..ENGINES).find(|e| vm(*e) == at).expect("an engine");
        let order = Order {
            engine,
            token,
            value: self.desired,
        };
        let node = &mut self.nodes[n];
        if std::mem::take(&mut node.hold_next) {
            // The process stops between the check and the order.
            node.paused = true;
            node.held_order = Some(order);
        } else {
            self.deliver(&order);
        }
    }

    fn deliver(&mut self, order: &Order) {
        let engine = &mut self.engines[order.engine];
        if engine.checks && order.token < engine.newest {
            return;
        }
        engine.newest = engine.newest.max(order.token);
        engine.token = order.token;
        engine.value = order.value;
    }

    /// At most one node that runs may give an order right now; a node that
    /// is paused checks again when it goes on.
    fn check(&self) {
        let valid: Vec<(usize, FencingToken)> = (0..NODES)
            .filter_map(|n| Some((n, self.nodes[n].leases.token(self.local(n), &shard())?)))
            .collect();
        assert!(valid.len() <= 1, "turn {}: {valid:?}", self.turn);
        for engine in self.engines.iter().filter(|engine| engine.checks) {
            assert_eq!(engine.token, engine.newest, "an older order took effect");
        }
    }

    fn apply(&mut self, fault: &Fault) {
        let at = |n: &u8| usize::from(*n) % NODES;
        match fault {
            Fault::Pause(n) => self.nodes[at(n)].paused = true,
            Fault::Resume(n) => self.nodes[at(n)].paused = false,
            Fault::Restart(n) => {
                let node = &mut self.nodes[at(n)];
                node.life += 1;
                node.leases = leases(&node.vm, node.life);
                node.orders = ShardOrders::default();
                node.held_order = None;
                node.paused = false;
            }
            Fault::Outage => self.outage = true,
            Fault::OutageOver => self.outage = false,
            Fault::LoseRecord(n) => self.nodes[at(n)].lose_next = true,
            Fault::SlowAppend(n, turns) => {
                self.nodes[at(n)].slow_next = turns % MAX_APPEND_TURNS;
            }
            Fault::HoldOrder(n) => self.nodes[at(n)].hold_next = true,
            Fault::SlowReads(n, turns) => {
                self.nodes[at(n)].read_delay = usize::from(*turns) % 16;
            }
            Fault::Expire(n) => {
                let most = self.log.len();
                self.first = (self.first + usize::from(*n) % 8).min(most);
            }
            Fault::Turns(turns) => {
                // What operators want changes now and then.
                self.desired += 1;
                for _ in 0..u32::from(*turns) % 20 {
                    self.turn();
                }
            }
        }
    }

    /// Ends all faults and gives the world time to settle.
    fn settle(&mut self) {
        self.outage = false;
        for n in 0..NODES {
            self.nodes[n].paused = false;
            self.nodes[n].hold_next = false;
            self.nodes[n].read_delay = 0;
        }
        let mut in_turn = 0;
        for _ in 0..MAX_SETTLE_TURNS {
            self.turn();
            in_turn = if self.settled() { in_turn + 1 } else { 0 };
            if in_turn == STABLE_TURNS {
                return;
            }
        }
        panic!("not settled: {:?}", self.engines);
    }

    /// Tells whether one node holds the lease, and all engines hold what it
    /// was told to order, under its token.
    fn settled(&self) -> bool {
        let token = |n: usize| self.nodes[n].leases.token(self.local(n), &shard());
        let holder = (0..NODES).find_map(token);
        let engines = self.engines.iter();
        let mut engines = engines.map(|e| Some(e.token) == holder && e.value == self.desired);
        holder.is_some() && engines.all(|right| right)
    }
}

#[test]
fn one_holder_at_a_time_and_no_lasting_effect_of_an_older_order() {
    check(7, INVARIANT_CASES, |case: Case| {
        let mut world = World::new(&case);
        for fault in &case.faults {
            world.apply(fault);
            world.turn();
        }
        world.settle();
    });
}

fn append(log: &mut Vec<Record>, record: &LeaseRecord) {
    log.push(Record {
        offset: log.len() as u64,
        body: serde_json::to_string(record).expect("a record"),
    });
}

fn read(leases: &mut Leases, ms: u64, log: &[Record]) {
    leases.read(Timestamp::from_millis(ms), 0, log.len() as u64, log);
}

#[test]
fn of_two_claims_at_once_the_first_in_the_log_holds() {
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
fn the_first_claim_of_the_stream_is_above_the_token_of_no_lease() {
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
fn a_released_lease_is_free_at_once() {
    let (mut a, mut b) = (leases(&vm(0), 1), leases(&vm(1), 1));
    let mut log = Vec::new();
    read(&mut a, 1, &log);
    let claim = a.claim(Timestamp::from_millis(2), &shard()).expect("free");
    append(&mut log, &claim);
    read(&mut a, 3, &log);
    let now = Timestamp::from_millis(4);
    let release = a.release(now, &shard()).expect("held");
    assert_eq!(a.token(now, &shard()), None, "even before it is in the log");
    append(&mut log, &release);
    read(&mut b, 5, &log);
    assert!(b.claim(Timestamp::from_millis(6), &shard()).is_some());
}

#[test]
fn a_record_that_is_not_understood_changes_nothing() {
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
fn a_late_reader_waits_for_holders_that_it_does_not_know() {
    let mut late = leases(&vm(2), 1);
    late.read(Timestamp::from_millis(1), 500, 500, &[]);
    let wait = cfg().expiry_wait(MAX_LEASE_DURATION);
    let early = Timestamp::from_millis(1) + wait - Duration::from_millis(1);
    assert!(!late.is_free(early, &shard()));
    assert!(late.is_free(Timestamp::from_millis(1) + wait, &shard()));
}
