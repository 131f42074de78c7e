//! Health of backend servers under random sequences of signals, requests and VM
//! list changes.
//!
//! The tests guard against ejections beyond the cap, servers that get no work
//! again after they recovered, and too much work for servers in slow start or
//! half open. They also cover how slowness is judged.

mod fakes;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bolero_generator::TypeGenerator;
use fakes::{id, objects};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    config::Batch,
    configs::{Configs, Identity},
    health::{Health, LatencyBaseline, Phase, Signal},
    ids::{Incarnation, LayerRange, RequestKey},
    message::{Demand, Event, Submission},
    platform::{Record, Vm, VmList, VmRole, VmState},
    systems::{self, Context, health},
    tables::{BackendRow, Tables},
    time::Timestamp,
};
use rand::{SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};

const SEED: u64 = 11;
/// Number of backend servers. The even ones hold the first stage, the odd ones
/// the second.
const SERVERS: u8 = 8;
const LAYERS: u16 = 4;
const START: Timestamp = Timestamp::from_millis(1_000);
/// Maximum number of operations per case.
const MAX_OPS: usize = 40;
/// Maximum number of checked routing choices per case.
const MAX_CHECKED_CHOICES: usize = 24;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    Answered {
        server: u8,
        slow: bool,
    },
    Busy {
        server: u8,
    },
    Failed {
        server: u8,
        down: bool,
    },
    Submit,
    End {
        key: u8,
    },
    SetVmState {
        server: u8,
        #[generator(0..4_u8)]
        state: u8,
    },
    Advance {
        #[generator(0..3_000_u64)]
        ms: u64,
    },
}

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    #[generator(0..=100_u32)]
    percent: u32,
    /// How often all servers fail after the operations; each time ejects them
    /// once more.
    #[generator(0..4_u8)]
    flaps: u8,
    ops: Vec<Op>,
}

struct World {
    cfg: Configs,
    tables: Tables,
    rng: StdRng,
    now: Timestamp,
    listed: BTreeMap<u8, VmState>,
    submitted: u64,
}

impl World {
    fn new(percent: u32) -> Self {
        let mut cfg = Configs::new(Identity {
            vm: id("node-0"),
            failure_domain: id("mvd-centro"),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(1),
        });
        cfg.health.max_ejected_percent = percent;
        cfg.health.base_ejection_time = Duration::from_secs(4);
        cfg.health.max_ejection_time = Duration::from_secs(8);
        cfg.health.half_life = Duration::from_secs(2);
        cfg.routing.candidates = 64;
        cfg.retry.step_timeout = Duration::from_secs(600);
        cfg.retry.max_step_timeout = Duration::from_secs(600);
        cfg.admission.initial_limit = 1_000;
        let mut world = Self {
            cfg,
            tables: Tables::default(),
            rng: StdRng::seed_from_u64(SEED),
            now: START,
            listed: (0..SERVERS).map(|n| (n, VmState::Live)).collect(),
            submitted: 0,
        };
        world.handle(Event::ConfigRecords {
            first: 0,
            end: 1,
            records: vec![Record {
                offset: 0,
                body: serde_json::to_string(&batch()).expect("the batch serializes"),
            }],
        });
        world.send_vm_list();
        // The stages must be known for the slow-start period, or else new
        // servers are not started slowly.
        world.now = world.now + world.cfg.health.ramp;
        world
    }

    fn run(&mut self, run: impl FnOnce(&mut Context<'_>)) {
        let mut out = Vec::new();
        run(&mut Context {
            now: self.now,
            cfg: &self.cfg,
            tables: &mut self.tables,
            rng: &mut self.rng,
            out: &mut out,
        });
    }

    fn handle(&mut self, event: Event) {
        self.run(|cx| systems::dispatch(cx, event));
    }

    fn send_vm_list(&mut self) {
        let vm = |name: String, role, state, port| Vm {
            vm: id(&name),
            role,
            address: ([127, 0, 0, 1], port).into(),
            peer_address: None,
            failure_domain: id("mvd-centro"),
            state,
        };
        let servers = self.listed.iter().map(|(n, state)| {
            let port = 100 + u16::from(*n);
            vm(format!("engine-{n}"), VmRole::Backend, *state, port)
        });
        let node = vm("node-0".to_owned(), VmRole::Node, VmState::Live, 1);
        let vms = servers.chain([node]).collect();
        self.handle(Event::VmList(VmList { vms }));
    }

    fn signal(&mut self, server: u8, signal: Signal) {
        let vm = id(&format!("engine-{}", server % SERVERS));
        self.run(|cx| health::record(cx, &vm, signal));
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let submission = Submission {
            token_sha256: Sha256::digest(b"token").into(),
            id: None,
            priority: None,
            timeout: Some(Duration::from_secs(600)),
            idempotent: Some(true),
            demand: Demand::Completion {
                pipeline: id("dictado"),
                prompt: vec![65; 4],
                max_tokens: 4,
            },
        };
        let key = RequestKey(self.submitted);
        let submission = Box::new(submission);
        self.handle(Event::Submit { key, submission });
    }

    fn end(&mut self, key: u64) {
        self.handle(Event::CallerDisconnected {
            key: RequestKey(key),
        });
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Answered { server, slow } => {
                let slowness = f64::from(u8::from(slow));
                self.signal(server, Signal::Answered { slowness });
            }
            Op::Busy { server } => self.signal(server, Signal::Busy),
            Op::Failed { server, down: true } => self.signal(server, Signal::Down),
            Op::Failed { server, .. } => self.signal(server, Signal::Failed),
            Op::Submit => self.submit(),
            Op::End { key } => self.end(u64::from(key) % (self.submitted + 1)),
            Op::SetVmState { server, state } => {
                match state {
                    0 => self.listed.remove(&(server % SERVERS)),
                    1 => self.listed.insert(server % SERVERS, VmState::Leaving),
                    _ => self.listed.insert(server % SERVERS, VmState::Live),
                };
                self.send_vm_list();
            }
            Op::Advance { ms } => self.now = self.now + Duration::from_millis(ms),
        }
    }

    fn live(&self) -> impl Iterator<Item = &BackendRow> {
        let rows = self.tables.backends.iter();
        rows.filter(|row| row.state == VmState::Live)
    }

    /// Returns the live servers of each stage.
    fn stages(&self) -> BTreeMap<String, Vec<&BackendRow>> {
        let mut stages: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for row in self.live() {
            let carries = format!("{:?}", row.carries);
            stages.entry(carries).or_default().push(row);
        }
        stages
    }
}

fn batch() -> Batch {
    let half = LAYERS / 2;
    let mut all = vec![
        objects::model(LAYERS),
        objects::pipeline(BTreeSet::new()),
        objects::organisation(9),
    ];
    all.extend((0..u16::from(SERVERS)).map(|n| {
        let start = n % 2 * half;
        let layers = LayerRange::new(start, start + half).expect("the range is valid");
        objects::engine(usize::from(n), layers, BTreeSet::new())
    }));
    objects::batch(all)
}

fn count_ejected(rows: &[&BackendRow], now: Timestamp) -> usize {
    rows.iter()
        .filter(|row| row.health.counts_as_ejected(now))
        .count()
}

#[test]
fn ejections_stay_within_the_cap_and_never_cover_a_whole_stage() {
    let mut ejections = 0;
    check::<Case>(SEED, INVARIANT_CASES, |case| {
        let mut world = World::new(case.percent);
        for op in case.ops.iter().take(MAX_OPS) {
            world.apply(*op);
            for rows in world.stages().values() {
                let ejected = count_ejected(rows, world.now);
                assert!(ejected < rows.len(), "{case:?}");
                assert!(
                    ejected * 100 <= rows.len() * case.percent as usize,
                    "{case:?}"
                );
            }
        }
        ejections += world.tables.counters.health_ejections;
    });
    assert!(ejections > u64::from(INVARIANT_CASES), "{ejections}");
}

#[test]
fn a_recovered_server_gets_work_within_the_ejection_bound() {
    check::<Case>(SEED, INVARIANT_CASES, |case| {
        let mut world = World::new(case.percent);
        for op in case.ops.iter().take(MAX_OPS) {
            world.apply(*op);
        }
        for _ in 0..case.flaps {
            (0..SERVERS).for_each(|server| world.signal(server, Signal::Down));
            world.now = world.now + world.cfg.health.max_ejection_time.mul_f64(1.25);
        }
        (0..SERVERS).for_each(|server| world.signal(server, Signal::Down));
        (1..=world.submitted).for_each(|key| world.end(key));
        let cfg = &world.cfg.health;
        world.now = world.now + cfg.max_ejection_time.mul_f64(1.25) + cfg.half_open_time + cfg.ramp;
        let serving = |row: &BackendRow| row.health.phase(world.now) == Phase::Serving;
        assert!(world.live().all(serving), "{case:?}");
        if world.stages().len() < 2 {
            return;
        }
        for _ in 0..SERVERS {
            world.submit();
        }
        assert!(world.live().all(|row| row.in_flight > 0), "{case:?}");
    });
}

/// Checks a routing choice against the state before it.
fn check_choice(world: &World, before: &BTreeMap<String, Vec<BackendRow>>) {
    for rows in before.values() {
        let serving: Vec<_> = rows
            .iter()
            .filter(|row| row.health.phase(world.now) == Phase::Serving)
            .collect();
        let sum: u32 = serving.iter().map(|row| row.in_flight).sum();
        for row in rows {
            let after = world
                .tables
                .backends
                .get(&row.vm)
                .expect("the server remains listed");
            if after.in_flight == row.in_flight {
                continue;
            }
            match row.health.phase(world.now) {
                Phase::Serving => {}
                Phase::Ejected => panic!("an ejected server got work"),
                Phase::HalfOpen => assert!(after.health.probes <= world.cfg.health.probes),
                Phase::Ramping if serving.is_empty() => {}
                Phase::Ramping => {
                    let mean = f64::from(sum) / serving.len() as f64;
                    let max = (mean * row.health.share(world.now)).max(1.0);
                    assert!(f64::from(after.in_flight) <= max, "{row:?}");
                }
            }
        }
    }
}

#[test]
fn slow_start_and_probes_bound_the_work_of_a_readmitted_server() {
    let mut checked = BTreeMap::<Phase, u32>::new();
    check::<Case>(SEED, INVARIANT_CASES, |case| {
        let mut world = World::new(case.percent);
        for op in case.ops.iter().take(MAX_CHECKED_CHOICES) {
            world.apply(*op);
            world.handle(Event::Tick);
            let owned = |rows: Vec<&BackendRow>| rows.into_iter().cloned().collect();
            let stages = world.stages().into_iter();
            let before = stages.map(|(stage, rows)| (stage, owned(rows))).collect();
            world.submit();
            check_choice(&world, &before);
            for row in before.values().flatten() {
                let after = world
                    .tables
                    .backends
                    .get(&row.vm)
                    .expect("the server remains listed");
                if after.in_flight > row.in_flight {
                    *checked.entry(row.health.phase(world.now)).or_default() += 1;
                }
            }
        }
    });
    println!("{checked:?}");
    for phase in [Phase::Serving, Phase::Ramping, Phase::HalfOpen] {
        assert!(
            checked.get(&phase).is_some_and(|n| *n > 1_000),
            "{checked:?}"
        );
    }
}

#[test]
fn a_server_in_slow_start_is_chosen_in_proportion_to_its_share() {
    let mut world = World::new(50);
    world.listed.remove(&0);
    world.send_vm_list();
    world.listed.insert(0, VmState::Live);
    world.send_vm_list();
    world.now = world.now + world.cfg.health.ramp / 4;
    // The signals make the old servers slower, so only the share limits the new
    // server.
    for server in [2, 4, 6] {
        world.signal(server, Signal::Answered { slowness: 0.4 });
    }
    let mut chosen = 0;
    for key in 1..=2_000 {
        world.submit();
        let row = world.tables.backends.get(&id("engine-0"));
        chosen += row.expect("the server is listed").in_flight;
        world.end(key);
    }
    assert!((400..=600).contains(&chosen), "{chosen}");
}

#[test]
fn only_idempotent_requests_are_probes() {
    let cfg = Configs::new(World::new(50).cfg.identity).health;
    let mut health = Health::default();
    health.eject(&cfg, START, 0.0);
    let half_open = START + cfg.base_ejection_time;
    assert_eq!(
        health.phase(half_open - Duration::from_micros(1)),
        Phase::Ejected
    );
    assert_eq!(health.phase(half_open), Phase::HalfOpen);
    assert!(health.accepts_probe(&cfg, true) && !health.accepts_probe(&cfg, false));
    health.probes = cfg.probes;
    assert!(!health.accepts_probe(&cfg, true));
}

#[test]
fn routing_prefers_better_scores_before_any_ejection() {
    let mut world = World::new(50);
    for _ in 0..2 {
        world.signal(0, Signal::Answered { slowness: 1.0 });
    }
    assert_eq!(world.tables.counters.health_ejections, 0);
    for _ in 0..6 {
        world.submit();
    }
    let in_flight = |n| world.tables.backends.get(&id(&format!("engine-{n}")));
    let in_flight = |n| in_flight(n).expect("the server is listed").in_flight;
    assert_eq!(
        (in_flight(0), in_flight(2) + in_flight(4) + in_flight(6)),
        (0, 6)
    );
}

#[test]
fn slowness_is_relative_to_the_server_and_its_group() {
    let min = Duration::from_millis(20);
    let needed = Duration::from_millis(10);
    let mut baseline = LatencyBaseline::default();
    let mut slowness = |times: u32| baseline.slowness(needed * times, needed, min);
    assert_eq!(slowness(1), 0.0);
    let half = slowness(6);
    assert!(half > 0.2 && half < 0.8, "{half}");
    assert_eq!(slowness(100), 1.0);
    // A group under load is not slow as a whole, but a server that is slower
    // than the others still stands out.
    for _ in 0..300 {
        slowness(20);
    }
    assert_eq!(slowness(20), 0.0);
    assert_eq!(slowness(400), 1.0);
    assert_eq!(
        baseline.slowness(min / 2, Duration::from_micros(1), min),
        0.0
    );
}
