//! Nodes, a log and messages in flight.

mod judge;
mod log;
mod lone;

pub use self::lone::{Lone, snapshot_waits};

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::oracle::{Objects, Oracle};
use crate::{
    config::{
        BATCH_FORMAT, Backend, Batch, Carries, Change, Config, ConfigDigest, LogRecord, Model,
        Object, ObjectKey, SnapshotReader,
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
/// Rounds in which all nodes must be one again.
const HEAL_ROUNDS: u32 = 6;

/// How the log fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Out,
    Shorter,
    OtherHistory,
}

const FAULTS: [Fault; 4] = [Fault::None, Fault::Out, Fault::Shorter, Fault::OtherHistory];

struct Mail {
    to: usize,
    from: Sender,
    message: PeerMessage,
}

/// What was known of all nodes when one started.
struct Start {
    needs: Revision,
    highest: Revision,
}

pub struct World {
    seed: u64,
    now: Timestamp,
    nodes: Vec<Node>,
    starts: Vec<Start>,
    mail: Vec<Mail>,
    records: Vec<String>,
    first: u64,
    fault: Fault,
    cut: usize,
    batches: u32,
    truth: Vec<(ConfigDigest, Objects)>,
    folded: Config,
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

fn node(n: usize, life: u64, seed: u64) -> Node {
    let mut cfg = Configs::new(Identity {
        vm: vm(n),
        failure_domain: "mvd-centro".parse().expect("a name"),
        address: address(n),
        incarnation: Incarnation(life),
    });
    cfg.dissemination.kept_records = 4;
    cfg.snapshots.after_records = 6;
    cfg.snapshots.spread = Duration::from_secs(1);
    cfg.snapshots.every = Duration::from_secs(20);
    Node::new(cfg, seed ^ (life * 10 + n as u64))
}

impl World {
    pub fn new(seed: u64) -> Self {
        let folded = Config::new();
        let mut world = Self {
            seed,
            now: Timestamp::from_millis(10),
            nodes: (0..NODES).map(|n| node(n, 1, seed)).collect(),
            starts: Vec::new(),
            mail: Vec::new(),
            records: Vec::new(),
            first: 0,
            fault: Fault::None,
            cut: 0,
            batches: 0,
            truth: vec![(folded.digest(), Objects::new())],
            folded,
            oracle: Oracle::default(),
        };
        for n in 0..NODES {
            world.starts.push(Start {
                needs: Revision(0),
                highest: Revision(0),
            });
            world.begin(n);
        }
        world
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
        self.first
    }

    pub fn record(&self, offset: u64, body: &str) -> Record {
        let body = body.to_owned();
        Record { offset, body }
    }

    fn begin(&mut self, n: usize) {
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
                    self.mail.push(Mail { to, from, message });
                }
                Action::AppendConfig { bodies } => {
                    bodies.into_iter().for_each(|body| self.append(body));
                }
                _ => {}
            }
        }
    }

    pub fn deliver(&mut self, which: u8, twice: bool) {
        if self.mail.is_empty() {
            return;
        }
        let index = which as usize % self.mail.len();
        let mail = self.mail.swap_remove(index);
        if twice {
            let (from, message) = (mail.from.clone(), mail.message.clone());
            let to = mail.to;
            self.mail.push(Mail { to, from, message });
        }
        let Mail { to, from, message } = mail;
        self.handle(to, Event::Peer { from, message });
    }

    pub fn hand(&mut self, from: usize, to: usize, message: PeerMessage) {
        let from = Sender {
            vm: vm(from),
            incarnation: Incarnation(1),
        };
        self.handle(to, Event::Peer { from, message });
    }

    /// Lets a node ask another for all records, which has them no more, and
    /// returns the revision of the snapshot that it gets.
    pub fn given_snapshot(&mut self, by: usize, to: usize) -> Revision {
        self.mail.clear();
        let from = Revision(0);
        let ask = ConfigMessage::QueryRecords { from };
        self.hand(to, by, PeerMessage::Config(ask));
        let given = self.mail.iter().find_map(|mail| match &mail.message {
            PeerMessage::Config(ConfigMessage::Snapshot { body }) => Some(body.clone()),
            _ => None,
        });
        match LogRecord::parse(&given.expect("a snapshot is given")) {
            Ok(LogRecord::Snapshot(part)) => part.snapshot.revision,
            other => panic!("not a snapshot: {other:?}"),
        }
    }

    pub fn drop_mail(&mut self) {
        self.mail.clear();
    }

    pub fn deliver_all(&mut self) {
        let mut left = 10_000;
        while !self.mail.is_empty() && left > 0 {
            let mail = self.mail.remove(0);
            let (from, message) = (mail.from, mail.message);
            self.handle(mail.to, Event::Peer { from, message });
            left -= 1;
        }
        assert!(left > 0, "messages cause messages without end");
    }

    pub fn lose(&mut self, which: u8) {
        if !self.mail.is_empty() {
            let index = which as usize % self.mail.len();
            self.mail.swap_remove(index);
        }
    }

    pub fn unreachable(&mut self, n: usize, peer: usize) {
        if n != peer {
            self.handle(n, Event::PeerUnreachable { vm: vm(peer) });
        }
    }

    pub fn pass(&mut self, ms: u64) {
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
        let needs = others.map(|m| self.nodes[m].tables().config.revision());
        let needs = needs.max().unwrap_or_default();
        let life = self.nodes[n].configs().identity.incarnation.0 + 1;
        self.nodes[n] = node(n, life, self.seed);
        self.starts[n] = Start {
            needs,
            highest: Revision(0),
        };
        // What was on its way to the life that ended is lost with it.
        self.mail.retain(|mail| mail.to != n);
        self.begin(n);
    }

    /// Stops a node's process while the others go on.
    pub fn sleep(&mut self, n: usize, ms: u64) {
        // Nodes that wait can't reach it meanwhile, and need not hold what it holds.
        let revision = |node: &Node| node.tables().config.revision();
        for m in (0..NODES).filter(|m| *m != n && !self.nodes[*m].tables().ready) {
            let others = (0..NODES).filter(|other| *other != m && *other != n);
            let reached = others.map(|other| revision(&self.nodes[other])).max();
            self.starts[m].needs = self.starts[m].needs.min(reached.unwrap_or_default());
        }
        let due = self.now_plus(ms);
        while self.now < due {
            let step = due.since(self.now).min(Duration::from_millis(500));
            self.now = self.now + step;
            for other in (0..NODES).filter(|other| *other != n) {
                self.handle(other, Event::Tick);
                self.read(other);
            }
            // What is sent to the node waits for it.
            let (held, mail): (Vec<Mail>, _) = self.mail.drain(..).partition(|mail| mail.to == n);
            self.mail = mail;
            self.deliver_all_but(n, held);
        }
        let away = self.nodes[n].configs().dissemination.rejoin_after;
        if Duration::from_millis(ms) > away {
            let others = (0..NODES).filter(|m| *m != n);
            let needs = others.map(|m| self.nodes[m].tables().config.revision());
            self.starts[n].needs = needs.max().unwrap_or_default();
        }
        self.handle(n, Event::Tick);
    }

    fn deliver_all_but(&mut self, n: usize, mut held: Vec<Mail>) {
        while !self.mail.is_empty() {
            let mail = self.mail.remove(0);
            if mail.to == n {
                held.push(mail);
                continue;
            }
            let (from, message) = (mail.from, mail.message);
            self.handle(mail.to, Event::Peer { from, message });
        }
        self.mail = held;
    }

    /// Reads the log alone until there is nothing more.
    pub fn node_alone(&mut self, n: usize) {
        for _ in 0..20 {
            self.read(n);
        }
        self.mail.clear();
    }

    /// Lets time pass with all nodes reading and all messages delivered.
    pub fn settle(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(200) {
            self.pass(200);
            for n in 0..NODES {
                self.read(n);
            }
            self.deliver_all();
        }
    }

    pub fn heal(&mut self) {
        self.fault = Fault::None;
        for _ in 0..HEAL_ROUNDS {
            self.pass(400);
            (0..NODES).for_each(|n| self.read(n));
            self.deliver_all();
        }
    }
}
