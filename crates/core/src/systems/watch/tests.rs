//! Tests of engine reports: order, restarts of an engine, age and dissemination.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use crate::{
    config::{BATCH_FORMAT, Backend, Batch, Change, Model, Object, Workload},
    configs::{Configs, Identity},
    ids::{Incarnation, LayerRange, Revision, VmId},
    message::{Action, Event},
    node::Node,
    orders::EngineState,
    peer::{GossipKind, Heartbeat, MemberFact, MemberStatus, PeerMessage, Place, Sender},
    platform::{Record, Vm, VmList, VmRole, VmState},
    tables::BackendRow,
    time::Timestamp,
    watch::{
        HeldDigest, QueueLevel, Reading, Report, ReportBody, Sequence, ServerKey, WatchMessage,
    },
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const STALE_AFTER: Duration = Duration::from_secs(30);
const ROUND_GAP: Duration = Duration::from_secs(1_000);

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names in tests are valid")
}

fn address(restarts: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + restarts))
}

fn engine() -> VmId {
    id("engine-0")
}

fn carries(version: &str) -> Workload {
    Workload::Layers {
        model: id("dictado"),
        version: id(version),
        layers: LayerRange::new(0, 8).expect("a range"),
        adapters: BTreeSet::from([id("north")]),
    }
}

fn held(version: &str, adapter: &str, loading: bool) -> EngineState {
    EngineState {
        model: id("dictado"),
        version: id(version),
        layers: LayerRange::new(0, 8).expect("a range"),
        adapters: BTreeSet::from([id(adapter)]),
        token: Default::default(),
        loading,
    }
}

fn vm_list(restarts: u16) -> Event {
    let row = Vm {
        vm: engine(),
        role: VmRole::Backend,
        address: address(restarts),
        peer_address: None,
        failure_domain: id("mvd-centro"),
        state: VmState::Live,
    };
    Event::VmList(VmList { vms: vec![row] })
}

fn node(name: &str) -> Node {
    let mut node = Node::new(
        Configs::new(Identity {
            vm: id(name),
            failure_domain: id("mvd-centro"),
            address: address(100),
            incarnation: Incarnation(1),
        }),
        1,
    );
    let objects = [
        Object::Model(Model {
            id: id("dictado"),
            layers: 8,
        }),
        Object::Backend(Backend {
            id: engine(),
            carries: carries("v1"),
            checks_tokens: true,
        }),
    ];
    let batch = Batch {
        format: BATCH_FORMAT,
        batch: id("first"),
        planned: Revision(0),
        source: None,
        base: BTreeMap::new(),
        changes: objects.into_iter().map(Change::Put).collect(),
    };
    let body = serde_json::to_string(&batch).expect("a batch is written");
    let records = Event::ConfigRecords {
        first: 0,
        end: 1,
        records: vec![Record { offset: 0, body }],
    };
    node.handle(START, records);
    node.handle(START, vm_list(0));
    node
}

fn row(node: &Node) -> &BackendRow {
    let row = node.tables().backends.get(&engine());
    row.expect("the engine is configured")
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct ReportCase {
    restarted: bool,
    seq: u8,
    version: bool,
    queue: u8,
}

impl ReportCase {
    fn report(self) -> (ServerKey, Report) {
        let version = if self.version { "v1" } else { "v2" };
        let body = ReportBody {
            seq: Sequence(u64::from(self.seq % 8)),
            holds: HeldDigest::from_held(&held(version, "north", false)),
            queue: (self.queue > 100).then(|| QueueLevel::new(self.queue.into())),
        };
        let key = ServerKey::new(&engine(), address(self.restarted.into()));
        (key, Report { body, at: START })
    }
}

fn receive(node: &mut Node, case: ReportCase) {
    let (key, report) = case.report();
    let message = WatchMessage::new(false, START, &BTreeMap::from([(key, report)]));
    let from = Sender {
        vm: id("node-9"),
        incarnation: Incarnation(1),
    };
    let message = PeerMessage::Watch(message);
    node.handle(START, Event::Peer { from, message });
}

#[test]
fn an_older_report_or_one_of_a_former_address_never_replaces_a_newer_one() {
    check(
        73,
        INVARIANT_CASES,
        |(cases, restarts): (Vec<ReportCase>, u8)| {
            let (mut one, mut other) = (node("node-0"), node("node-1"));
            let restart = usize::from(restarts) % (cases.len() + 1);
            for (n, case) in cases.iter().enumerate() {
                if n == restart {
                    one.handle(START, vm_list(1));
                    assert!(
                        row(&one).report.is_none(),
                        "a report of the former address remains"
                    );
                }
                let before = row(&one).report;
                receive(&mut one, *case);
                let after = row(&one).report;
                let (key, report) = case.report();
                let own = key == ServerKey::new(&engine(), row(&one).address);
                assert!(after.map(|r| r.body) >= before.map(|r| r.body));
                match own {
                    true => assert!(after.is_some_and(|after| after.body >= report.body)),
                    false => {
                        assert_eq!(after, before, "a report of the former address was applied")
                    }
                }
            }
            if restart == cases.len() {
                one.handle(START, vm_list(1));
            }
            // Reports in another order and twice lead to the same result.
            other.handle(START, vm_list(1));
            let late = cases[restart..].iter();
            for case in late.clone().rev().chain(late) {
                receive(&mut other, *case);
            }
            assert_eq!(row(&one).report, row(&other).report);
        },
    );
}

/// Starts a single node, which is therefore the only watcher, and returns it
/// with the time of its first read.
fn watching() -> (Node, Timestamp) {
    let mut node = node("node-0");
    node.handle(START, Event::Start);
    let mut now = START;
    loop {
        now = now + Duration::from_millis(250);
        let actions = node.handle(now, Event::Tick);
        let read = |action: &Action| matches!(action, Action::ReadWatched { load: true, .. });
        if actions.iter().any(read) {
            return (node, now);
        }
        assert!(now < START + STALE_AFTER, "the engine is not read");
    }
}

fn answer(node: &mut Node, now: Timestamp, restarts: u16, held: EngineState, queued: u32) {
    let reading = Reading {
        held,
        queued: Some(queued),
        at: now,
    };
    let event = Event::WatchedRead {
        vm: engine(),
        address: address(restarts),
        reading: Some(reading),
    };
    node.handle(now, event);
}

#[test]
fn routing_skips_an_engine_without_its_configured_version() {
    let (mut node, now) = watching();
    assert!(
        row(&node).has_configured(now, STALE_AFTER, true),
        "there is no report yet"
    );
    for (held, weights, adapters) in [
        (held("v1", "north", false), true, true),
        (held("v1", "south", false), true, false),
        (held("v1", "north", true), false, false),
        (held("v2", "north", false), false, false),
    ] {
        answer(&mut node, now, 0, held, 0);
        assert_eq!(row(&node).has_configured(now, STALE_AFTER, false), weights);
        assert_eq!(row(&node).has_configured(now, STALE_AFTER, true), adapters);
    }
    assert!(
        row(&node).has_configured(now + STALE_AFTER, STALE_AFTER, true),
        "it is stale"
    );
    // A reading from the former address is ignored.
    node.handle(now, vm_list(1));
    answer(&mut node, now, 0, held("v2", "north", false), 0);
    assert!(row(&node).report.is_none());
}

#[test]
fn a_reported_queue_is_increased_by_steps_begun_since() {
    let (mut node, now) = watching();
    answer(&mut node, now, 0, held("v1", "north", false), 9);
    let mut row = row(&node).clone();
    row.work_started(now - Duration::from_millis(1));
    row.work_started(now);
    row.work_started(now + Duration::from_millis(1));
    // Nine waiting steps are reported as at least eight.
    assert_eq!(row.reported_queue(now, STALE_AFTER), 8 + 2);
    assert_eq!(row.reported_queue(now + STALE_AFTER, STALE_AFTER), 0);
}

#[test]
fn a_later_observation_of_the_node_overrides_a_report() {
    let (mut node, now) = watching();
    answer(&mut node, now, 0, held("v1", "north", false), 9);
    let mut row = row(&node).clone();
    assert_eq!(row.reported_queue(now, STALE_AFTER), 8);
    row.latency.observe(now, 1, Duration::from_millis(2), 0);
    assert_eq!(row.reported_queue(now, STALE_AFTER), 0);
}

fn member(name: &str, domain: &str, port: u16) -> MemberFact {
    MemberFact {
        vm: id(name),
        incarnation: Incarnation(1),
        beat: 1,
        status: MemberStatus::Alive,
        heartbeat: Heartbeat::default(),
        place: Some(Place {
            address: address(port),
            peer_address: address(port),
            failure_domain: id(domain),
        }),
    }
}

#[test]
fn a_report_is_sent_to_one_node_per_domain_and_relayed_within_it() {
    let mut node = node("node-0");
    let names = [
        ("node-1", "mvd-centro"),
        ("node-2", "mvd-cordon"),
        ("node-3", "mvd-cordon"),
    ];
    for (port, (name, domain)) in (200..).zip(names) {
        let own = member(name, domain, port);
        let gossip = crate::peer::Gossip {
            kind: GossipKind::Facts,
            own,
            facts: Vec::new(),
            piggyback: Vec::new(),
        };
        let from = Sender {
            vm: id(name),
            incarnation: Incarnation(1),
        };
        let message = PeerMessage::Gossip(gossip);
        node.handle(START, Event::Peer { from, message });
    }
    // A report to be relayed is sent only within the node's own domain.
    let case = ReportCase {
        restarted: false,
        seq: 1,
        version: true,
        queue: 0,
    };
    let (key, report) = case.report();
    let relayed = WatchMessage::new(true, START, &BTreeMap::from([(key, report)]));
    let from = Sender {
        vm: id("node-2"),
        incarnation: Incarnation(1),
    };
    let message = PeerMessage::Watch(relayed);
    node.handle(START, Event::Peer { from, message });
    assert_eq!(
        sent(&mut node, START + ROUND_GAP),
        [("node-1".to_owned(), false)]
    );
    // The node's own report is also sent to one node of the other domain.
    let now = START + ROUND_GAP * 2;
    super::publish(
        &mut node.context(now, &mut Vec::new()),
        &engine(),
        None,
        HeldDigest::default(),
        None,
        now,
        crate::tables::Urgency::Holds,
    );
    let sent = sent(&mut node, now);
    let own = sent.iter().filter(|(to, relay)| to == "node-1" && !relay);
    let other = sent.iter().filter(|(to, relay)| to != "node-1" && *relay);
    assert_eq!(
        (own.count(), other.count(), sent.len()),
        (1, 1, 2),
        "{sent:?}"
    );
}

fn sent(node: &mut Node, now: Timestamp) -> Vec<(String, bool)> {
    let mut out = Vec::new();
    super::disseminate::flush(&mut node.context(now, &mut out));
    let sent = out.into_iter().filter_map(|action| match action {
        Action::Peer {
            to,
            message: PeerMessage::Watch(message),
            ..
        } => Some((to.to_string(), message.relay)),
        _ => None,
    });
    sent.collect()
}
