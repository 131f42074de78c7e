//! A simulated cluster: nodes, a log and messages in flight.

mod invariants;
mod isolated;
mod log;

pub use self::isolated::{IsolatedNode, count_snapshot_writers};

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::oracle::{Objects, Oracle};
use crate::{
    config::{
        BATCH_FORMAT, Backend, Batch, Change, Config, ConfigDigest, LogRecord, Model, Object,
        ObjectKey, SnapshotAssembler, Workload,
    },
    configs::{Configs, Identity},
    ids::{Incarnation, LayerRange, RequestKey, Revision, VmId},
    message::{Action, Demand, Event, Reply, Submission},
    node::Node,
    outcome::{NotRun, Outcome},
    peer::{ConfigMessage, PeerMessage, Sender},
    platform::{Record, Vm, VmList, VmRole, VmState},
    systems::directory,
    time::Timestamp,
};

pub const NODES: usize = 3;
/// Number of rounds after the last fault within which all nodes must converge.
const RECOVERY_ROUNDS: u32 = 6;

/// A fault of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Unavailable,
    Shorter,
    OtherHistory,
}

const FAULTS: [Fault; 4] = [
    Fault::None,
    Fault::Unavailable,
    Fault::Shorter,
    Fault::OtherHistory,
];

struct Envelope {
    to: usize,
    from: Sender,
    message: PeerMessage,
}

/// Bounds on the revision of a node since its last start or pause.
struct StartState {
    /// The newest revision that its reachable peers had at that time.
    required: Revision,
    /// The newest revision that the node has had since.
    highest: Revision,
}

pub struct Cluster {
    seed: u64,
    now: Timestamp,
    nodes: Vec<Node>,
    start_states: Vec<StartState>,
    in_flight: Vec<Envelope>,
    records: Vec<String>,
    first_retained: u64,
    fault: Fault,
    /// The offset at which a shorter log ends or another history begins.
    fault_offset: usize,
    batches: u32,
    /// The digest and the objects at each revision.
    expected: Vec<(ConfigDigest, Objects)>,
    reference: Config,
    oracle: Oracle,
}

fn vm(n: usize) -> VmId {
    format!("node-{n}").parse().expect("a name")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + n as u16))
}

fn list() -> VmList {
    let row = |n| Vm {
        vm: vm(n),
        role: VmRole::Node,
        address: address(n),
        peer_address: Some(address(100 + n)),
        failure_domain: "mvd-centro".parse().expect("a name"),
        state: VmState::Live,
    };
    VmList {
        vms: (0..NODES).map(row).collect(),
    }
}

fn node(n: usize, incarnation: u64, seed: u64) -> Node {
    let mut cfg = Configs::new(Identity {
        vm: vm(n),
        failure_domain: "mvd-centro".parse().expect("a name"),
        address: address(n),
        incarnation: Incarnation(incarnation),
    });
    cfg.dissemination.retained_records = 4;
    cfg.snapshots.interval_records = 6;
    cfg.snapshots.spread = Duration::from_secs(1);
    cfg.snapshots.interval = Duration::from_secs(20);
    Node::new(cfg, seed ^ (incarnation * 10 + n as u64))
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let reference = Config::new();
        let mut cluster = Self {
            seed,
            now: Timestamp::from_millis(10),
            nodes: (0..NODES).map(|n| node(n, 1, seed)).collect(),
            start_states: Vec::new(),
            in_flight: Vec::new(),
            records: Vec::new(),
            first_retained: 0,
            fault: Fault::None,
            fault_offset: 0,
            batches: 0,
            expected: vec![(reference.digest(), Objects::new())],
            reference,
            oracle: Oracle::default(),
        };
        for n in 0..NODES {
            cluster.start_states.push(StartState {
                required: Revision(0),
                highest: Revision(0),
            });
            cluster.start_node(n);
        }
        cluster
    }

    pub fn node(&self, n: usize) -> &Node {
        &self.nodes[n]
    }

    pub fn node_mut(&mut self, n: usize) -> &mut Node {
        &mut self.nodes[n]
    }

    pub fn now_plus(&self, ms: u64) -> Timestamp {
        self.now + Duration::from_millis(ms)
    }

    pub fn first_retained(&self) -> u64 {
        self.first_retained
    }

    pub fn record(&self, offset: u64, body: &str) -> Record {
        let body = body.to_owned();
        Record { offset, body }
    }

    fn start_node(&mut self, n: usize) {
        self.handle(n, Event::Start);
        self.handle(n, Event::VmList(list()));
    }

    fn handle(&mut self, n: usize, event: Event) {
        let actions = self.nodes[n].handle(self.now, event);
        let identity = &self.nodes[n].configs().identity;
        let from = Sender {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
        };
        for action in actions {
            match action {
                Action::Peer { to, message, .. } => {
                    let to = (0..NODES).find(|n| vm(*n) == to).expect("a node");
                    let from = from.clone();
                    self.in_flight.push(Envelope { to, from, message });
                }
                Action::AppendConfig { bodies } => {
                    bodies.into_iter().for_each(|body| self.append(body));
                }
                _ => {}
            }
        }
    }

    pub fn deliver(&mut self, which: u8, twice: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = which as usize % self.in_flight.len();
        let envelope = self.in_flight.swap_remove(index);
        if twice {
            let (from, message) = (envelope.from.clone(), envelope.message.clone());
            let to = envelope.to;
            self.in_flight.push(Envelope { to, from, message });
        }
        let Envelope { to, from, message } = envelope;
        self.handle(to, Event::Peer { from, message });
    }

    pub fn deliver_directly(&mut self, from: usize, to: usize, message: PeerMessage) {
        let from = Sender {
            vm: vm(from),
            incarnation: Incarnation(1),
        };
        self.handle(to, Event::Peer { from, message });
    }

    /// Requests all records for node `to` from node `by`, which no longer has them,
    /// and returns the revision of the snapshot that `by` sends instead.
    pub fn request_snapshot(&mut self, by: usize, to: usize) -> Revision {
        self.in_flight.clear();
        let from = Revision(0);
        let request = ConfigMessage::QueryRecords { from };
        self.deliver_directly(to, by, PeerMessage::Config(request));
        let snapshot = self
            .in_flight
            .iter()
            .find_map(|envelope| match &envelope.message {
                PeerMessage::Config(ConfigMessage::Snapshot { body }) => Some(body.clone()),
                _ => None,
            });
        match LogRecord::parse(&snapshot.expect("a snapshot is sent")) {
            Ok(LogRecord::Snapshot(part)) => part.snapshot.revision,
            other => panic!("not a snapshot: {other:?}"),
        }
    }

    pub fn drop_messages(&mut self) {
        self.in_flight.clear();
    }

    pub fn deliver_all(&mut self) {
        let mut left = 10_000;
        while !self.in_flight.is_empty() && left > 0 {
            let envelope = self.in_flight.remove(0);
            let (from, message) = (envelope.from, envelope.message);
            self.handle(envelope.to, Event::Peer { from, message });
            left -= 1;
        }
        assert!(left > 0, "the nodes send messages in an endless loop");
    }

    pub fn drop_message(&mut self, which: u8) {
        if !self.in_flight.is_empty() {
            let index = which as usize % self.in_flight.len();
            self.in_flight.swap_remove(index);
        }
    }

    pub fn mark_unreachable(&mut self, n: usize, peer: usize) {
        if n != peer {
            self.handle(n, Event::PeerUnreachable { vm: vm(peer) });
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now_plus(ms);
        for n in 0..NODES {
            self.handle(n, Event::Tick);
        }
    }

    pub fn restart(&mut self, n: usize) {
        if self.fault == Fault::OtherHistory {
            return;
        }
        let others = (0..NODES).filter(|m| *m != n);
        let required = others.map(|m| self.nodes[m].tables().config.revision());
        let required = required.max().unwrap_or_default();
        let incarnation = self.nodes[n].configs().identity.incarnation.0 + 1;
        self.nodes[n] = node(n, incarnation, self.seed);
        self.start_states[n] = StartState {
            required,
            highest: Revision(0),
        };
        // Messages in flight to the previous incarnation are lost.
        self.in_flight.retain(|envelope| envelope.to != n);
        self.start_node(n);
    }

    /// Pauses the process of a node while the others continue.
    pub fn pause_node(&mut self, n: usize, ms: u64) {
        // Nodes that are joining can't reach the paused node, so they need not reach
        // its revision.
        let revision = |node: &Node| node.tables().config.revision();
        for m in (0..NODES).filter(|m| *m != n && !self.nodes[*m].tables().ready) {
            let others = (0..NODES).filter(|other| *other != m && *other != n);
            let reached = others.map(|other| revision(&self.nodes[other])).max();
            self.start_states[m].required = self.start_states[m]
                .required
                .min(reached.unwrap_or_default());
        }
        let due = self.now_plus(ms);
        while self.now < due {
            let step = due.since(self.now).min(Duration::from_millis(500));
            self.now = self.now + step;
            for other in (0..NODES).filter(|other| *other != n) {
                self.handle(other, Event::Tick);
                self.read_log(other);
            }
            // Messages to the paused node are queued.
            let (held, in_flight): (Vec<Envelope>, _) = self
                .in_flight
                .drain(..)
                .partition(|envelope| envelope.to == n);
            self.in_flight = in_flight;
            self.deliver_all_except(n, held);
        }
        let rejoin_after = self.nodes[n].configs().dissemination.rejoin_after;
        if Duration::from_millis(ms) > rejoin_after {
            let others = (0..NODES).filter(|m| *m != n);
            let required = others.map(|m| self.nodes[m].tables().config.revision());
            self.start_states[n].required = required.max().unwrap_or_default();
        }
        self.handle(n, Event::Tick);
    }

    fn deliver_all_except(&mut self, n: usize, mut held: Vec<Envelope>) {
        while !self.in_flight.is_empty() {
            let envelope = self.in_flight.remove(0);
            if envelope.to == n {
                held.push(envelope);
                continue;
            }
            let (from, message) = (envelope.from, envelope.message);
            self.handle(envelope.to, Event::Peer { from, message });
        }
        self.in_flight = held;
    }

    /// Reads the log until there are no more records, and drops all messages to
    /// and from peers.
    pub fn read_log_without_peers(&mut self, n: usize) {
        for _ in 0..20 {
            self.read_log(n);
        }
        self.in_flight.clear();
    }

    /// Advances time while all nodes read the log and all messages are delivered.
    pub fn settle(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(200) {
            self.advance(200);
            for n in 0..NODES {
                self.read_log(n);
            }
            self.deliver_all();
        }
    }

    pub fn recover(&mut self) {
        self.fault = Fault::None;
        for _ in 0..RECOVERY_ROUNDS {
            self.advance(400);
            (0..NODES).for_each(|n| self.read_log(n));
            self.deliver_all();
        }
    }
}
