//! Routing and concurrency limits under random deployments and loads.
//!
//! The tests guard against incomplete chains, requests that are queued past
//! their latest useful start, and limits that are divided unfairly or don't add
//! up.

mod fakes;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bolero_generator::TypeGenerator;
use fakes::{id, objects};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    config::{Batch, Deployment, Object, RoutingPolicy},
    configs::{Configs, Identity},
    ids::{Incarnation, LayerRange, OrganisationId, Priority, RequestKey},
    message::{Action, Demand, Event, Reply, Submission},
    node::Node,
    outcome::{NotRun, Outcome},
    platform::{Record, Vm, VmList, VmRole, VmState},
    tables::{Limit, LimitTable, WaitKey, Work},
    time::Timestamp,
};
use sha2::{Digest, Sha256};

const SEED: u64 = 7;
const LAYERS: u16 = 6;
const START: Timestamp = Timestamp::from_millis(1_000);

/// One engine of a random deployment.
#[derive(Debug, Clone, TypeGenerator)]
struct EngineCase {
    #[generator(0..LAYERS)]
    start: u16,
    #[generator(1..=LAYERS)]
    count: u16,
    leaving: bool,
    listed: bool,
    adapter: bool,
}

impl EngineCase {
    fn layers(&self) -> LayerRange {
        let end = (self.start + self.count).min(LAYERS);
        LayerRange::new(self.start, end).expect("the range is valid")
    }

    fn is_usable(&self, adapter: bool) -> bool {
        self.listed && !self.leaving && (self.adapter || !adapter)
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct ChainCase {
    engines: Vec<EngineCase>,
    adapter: bool,
    #[generator(0..3_u8)]
    policy: u8,
    candidates: bool,
}

/// Maximum number of engines per case.
const MAX_ENGINES: usize = 10;

fn batch(case: &ChainCase) -> Batch {
    let adapters = |on: bool| {
        on.then(|| id("patois"))
            .into_iter()
            .collect::<BTreeSet<_>>()
    };
    let mut all = vec![
        objects::model(LAYERS),
        objects::pipeline(adapters(case.adapter)),
        Object::Deployment(Deployment {
            routing: match case.policy {
                0 => RoutingPolicy::Predicted,
                1 => RoutingPolicy::LeastInFlight,
                _ => RoutingPolicy::RoundRobin,
            },
        }),
        objects::organisation(9),
    ];
    let engines = case.engines.iter().take(MAX_ENGINES).enumerate();
    all.extend(
        engines.map(|(n, engine)| objects::engine(n, engine.layers(), adapters(engine.adapter))),
    );
    objects::batch(all)
}

fn vm(name: &str, role: VmRole, state: VmState, port: u16) -> Vm {
    Vm {
        vm: id(name),
        role,
        address: ([127, 0, 0, 1], port).into(),
        peer_address: None,
        failure_domain: id("mvd-centro"),
        state,
    }
}

fn node(case: &ChainCase, adjust: impl FnOnce(&mut Configs)) -> Node {
    let mut cfg = Configs::new(Identity {
        vm: id("node-0"),
        failure_domain: id("mvd-centro"),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
    });
    adjust(&mut cfg);
    let mut node = Node::new(cfg, SEED);
    let engines = case.engines.iter().take(MAX_ENGINES).enumerate();
    let engines = engines.filter(|(_, engine)| engine.listed);
    let state = |leaving| {
        if leaving {
            VmState::Leaving
        } else {
            VmState::Live
        }
    };
    let mut vms: Vec<Vm> = engines
        .map(|(n, e)| {
            let port = 100 + n as u16;
            vm(
                &format!("engine-{n}"),
                VmRole::Backend,
                state(e.leaving),
                port,
            )
        })
        .collect();
    vms.push(vm("node-0", VmRole::Node, VmState::Live, 1));
    node.handle(START, Event::Start);
    let record = Record {
        offset: 0,
        body: serde_json::to_string(&batch(case)).expect("the batch serializes"),
    };
    let records = Event::ConfigRecords {
        first: 0,
        end: 1,
        records: vec![record],
    };
    node.handle(START, records);
    node.handle(START, Event::VmList(VmList { vms }));
    node
}

fn submission(timeout: Duration, priority: u8) -> Submission {
    Submission {
        token_sha256: Sha256::digest(b"token").into(),
        id: None,
        priority: Some(Priority(priority)),
        timeout: Some(timeout),
        idempotent: Some(true),
        demand: Demand::Completion {
            pipeline: id("dictado"),
            prompt: vec![65; 4],
            max_tokens: 4,
        },
    }
}

fn submit(node: &mut Node, now: Timestamp, key: u64, submission: Submission) -> Vec<Action> {
    let event = Event::Submit {
        key: RequestKey(key),
        submission: Box::new(submission),
    };
    node.handle(now, event)
}

/// Returns whether a chain of usable engines can cover all layers.
fn is_coverable(case: &ChainCase) -> bool {
    let engines = case.engines.iter().take(MAX_ENGINES);
    let usable: Vec<LayerRange> = engines
        .filter(|engine| engine.is_usable(case.adapter))
        .map(EngineCase::layers)
        .collect();
    (0..LAYERS).all(|layer| {
        usable
            .iter()
            .any(|held| held.start() <= layer && layer < held.end())
    })
}

#[test]
fn a_chain_covers_all_layers_in_order_with_live_engines() {
    check::<ChainCase>(SEED, INVARIANT_CASES, |case| {
        let mut node = node(&case, |cfg| {
            cfg.routing.candidates = if case.candidates { 1 } else { 6 };
        });
        submit(&mut node, START, 1, submission(Duration::from_secs(5), 5));
        let row = node.tables().requests.get(RequestKey(1));
        assert_eq!(row.is_some(), is_coverable(&case), "{case:?}");
        let Some(row) = row else { return };
        let Work::Completion(work) = &row.work else {
            panic!("expected a completion");
        };
        let mut next = 0;
        for session in &work.chain {
            let stage = &session.stage;
            assert_eq!(stage.layers.start(), next, "{case:?}");
            next = stage.layers.end();
            let number: usize = stage.vm.as_str()["engine-".len()..]
                .parse()
                .expect("engines have numbers");
            let engine = &case.engines[number];
            assert!(engine.is_usable(case.adapter), "{case:?}");
            let held = engine.layers();
            assert!(held.start() <= stage.layers.start() && stage.layers.end() <= held.end());
        }
        assert_eq!(next, LAYERS, "{case:?}");
    });
}

#[derive(Debug, Clone, TypeGenerator)]
struct ArrivalCase {
    #[generator(0..300_u64)]
    after_ms: u64,
    #[generator(1..3_000_u64)]
    timeout_ms: u64,
    #[generator(0..10_u8)]
    priority: u8,
}

/// Maximum number of requests per case.
const MAX_ARRIVALS: usize = 16;

fn one_engine() -> ChainCase {
    let engine = EngineCase {
        start: 0,
        count: LAYERS,
        leaving: false,
        listed: true,
        adapter: false,
    };
    ChainCase {
        engines: vec![engine],
        adapter: false,
        policy: 0,
        candidates: false,
    }
}

#[test]
fn no_request_is_queued_past_its_latest_start() {
    check::<Vec<ArrivalCase>>(SEED, INVARIANT_CASES, |arrivals| {
        let mut node = node(&one_engine(), |cfg| cfg.admission.initial_limit = 2);
        let max_wait = node.configs().admission.max_queue_wait;
        let mut now = START;
        let mut ended = BTreeMap::new();
        for (key, arrival) in (1..).zip(arrivals.iter().take(MAX_ARRIVALS)) {
            now = now + Duration::from_millis(arrival.after_ms);
            let timeout = Duration::from_millis(arrival.timeout_ms);
            let actions = submit(&mut node, now, key, submission(timeout, arrival.priority));
            for action in actions {
                let Action::Reply { key, reply } = action else {
                    continue;
                };
                if let Reply::Done(done) = reply {
                    let retryable = done.outcome == Outcome::NotRun(NotRun::NoCapacity);
                    assert!(!retryable || done.retry_after.is_some(), "{arrivals:?}");
                    assert!(ended.insert(key, done.outcome).is_none(), "{arrivals:?}");
                }
            }
            for key in (1..=key).map(RequestKey) {
                let Some(row) = node.tables().requests.get(key) else {
                    assert!(ended.contains_key(&key), "{arrivals:?}");
                    continue;
                };
                let until = row.deadline.min(row.admitted + max_wait);
                assert!(!row.waiting || now < until, "{arrivals:?}");
            }
        }
    });
}

#[derive(Debug, Clone, TypeGenerator)]
struct QueueCase {
    #[generator(0..4_u8)]
    organisation: u8,
    #[generator(0..10_u8)]
    priority: u8,
    ends: bool,
}

#[test]
fn organisations_below_their_share_go_first_and_counts_stay_consistent() {
    check::<Vec<QueueCase>>(SEED, INVARIANT_CASES, |cases| {
        let mut limit = Limit::new(6.0);
        let mut running: Vec<OrganisationId> = Vec::new();
        let mut waiting: BTreeMap<OrganisationId, BTreeSet<WaitKey>> = BTreeMap::new();
        for (key, case) in (1..).zip(&cases) {
            let share = u32::from(case.organisation) + 1;
            let organisation: OrganisationId = id(&format!("firm-{}", case.organisation));
            let wait = WaitKey {
                priority: std::cmp::Reverse(Priority(case.priority)),
                deadline: Timestamp(key),
                key: RequestKey(key),
            };
            limit.wait(&organisation, share, wait);
            waiting.entry(organisation).or_default().insert(wait);
            if case.ends && !running.is_empty() {
                limit.end(&running.remove(0));
            }
            while limit.has_capacity()
                && let Some((next, wait)) = limit.next()
            {
                assert_fair(&limit, &waiting, &next, wait);
                assert!(limit.stop_waiting(&next, &wait));
                assert!(waiting.get_mut(&next).is_some_and(|w| w.remove(&wait)));
                limit.begin(&next);
                running.push(next);
            }
            assert_eq!(limit.running as usize, running.len());
            let count: usize = waiting.values().map(BTreeSet::len).sum();
            assert_eq!(limit.waiting as usize, count);
            assert!(running.len() <= 6);
        }
    });
}

fn assert_fair(
    limit: &Limit,
    waiting: &BTreeMap<OrganisationId, BTreeSet<WaitKey>>,
    next: &OrganisationId,
    wait: WaitKey,
) {
    let shares: u32 = limit.organisations.values().map(|entry| entry.share).sum();
    let over = |organisation: &OrganisationId| {
        let entry = &limit.organisations[organisation];
        f64::from(entry.running) >= limit.limit * f64::from(entry.share) / f64::from(shares)
    };
    for (organisation, waits) in waiting {
        let Some(first) = waits.first() else { continue };
        assert!((over(next), wait) <= (over(organisation), *first));
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct NodeShareCase {
    #[generator(0..100_000_u32)]
    limit: u32,
    #[generator(1..400_u32)]
    nodes: u32,
}

#[test]
fn node_shares_add_up_to_the_limit() {
    check::<NodeShareCase>(SEED, INVARIANT_CASES, |case| {
        let share = |rank| {
            let mut table = LimitTable::default();
            table.set_nodes(case.nodes, rank);
            table.node_share(case.limit)
        };
        let sum: u32 = (0..case.nodes).map(share).sum();
        assert_eq!(sum, case.limit, "{case:?}");
    });
}
