//! Nodes, a log and messages in flight.

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

    /// Makes a batch as an operator at a node would.
    pub fn propose(&mut self, by: u8, object: u8) -> String {
        let by = by as usize % NODES;
        self.batches += 1;
        let name = |text: String| text.parse().expect("a name");
        let model = || Model {
            id: format!("m{}", object % 3).parse().expect("a name"),
            layers: 8 + u16::from(object % 5),
        };
        let key = |text: String| text.parse::<ObjectKey>().expect("a key");
        let backend = Backend {
            id: name(format!("b{}", object % 4)),
            carries: Carries::Layers {
                model: format!("m{}", object / 16 % 3).parse().expect("a name"),
                version: "v1".parse().expect("a name"),
                layers: LayerRange::new(0, 8 + u16::from(object % 3)).expect("a range"),
                adapters: Default::default(),
            },
            checks_tokens: false,
        };
        let changes = match object / 4 % 5 {
            0 => vec![Change::Delete(key(format!("model/m{}", object % 3)))],
            1 => vec![Change::Delete(key(format!("backend/b{}", object % 4)))],
            2 => vec![Change::Put(Object::Backend(backend))],
            3 => vec![
                Change::Put(Object::Model(model())),
                Change::Put(Object::Backend(backend)),
            ],
            _ => vec![Change::Put(Object::Model(model()))],
        };
        let config = &self.nodes[by].tables().config;
        let seen = |change: &Change| {
            let entry = config.objects().get(&change.key());
            entry.map(|entry| (change.key(), entry.changed))
        };
        let batch = Batch {
            format: BATCH_FORMAT,
            batch: format!("batch-{}", self.batches).parse().expect("an id"),
            base: changes.iter().filter_map(seen).collect::<BTreeMap<_, _>>(),
            planned: config.revision(),
            source: None,
            changes,
        };
        serde_json::to_string(&batch).expect("a batch can be written")
    }

    pub fn batch(&mut self, by: u8, object: u8, twice: bool) {
        let body = self.propose(by, object);
        if twice {
            self.append(body.clone());
        }
        self.append(body);
    }

    /// Appends a record that is in the log already.
    pub fn repeat(&mut self, which: u8) {
        if !self.records.is_empty() {
            let body = self.records[which as usize % self.records.len()].clone();
            self.append(body);
        }
    }

    pub fn append(&mut self, body: String) {
        if self.fault != Fault::None {
            return;
        }
        let offset = self.records.len() as u64;
        let record = self.record(offset, &body);
        self.folded.fold(&record).expect("the next record");
        self.oracle.fold(&body);
        self.truth
            .push((self.folded.digest(), self.oracle.objects.clone()));
        self.records.push(body);
    }

    /// Appends a snapshot that lacks an object and names the right digest.
    pub fn append_wrong_snapshot(&mut self) {
        let mut parts = self.folded.snapshot();
        if parts[0].entries.pop().is_some() {
            self.append(parts[0].to_body());
        }
    }

    fn answer(&self, from: u64) -> Event {
        let mut end = self.records.len();
        if self.fault == Fault::Shorter {
            end = self.cut.max(self.first as usize);
        }
        let begin = from.max(self.first) as usize;
        let body = |n: usize| match self.fault == Fault::OtherHistory && n >= self.cut {
            true => format!("another record {n}"),
            false => self.records[n].clone(),
        };
        let records = (begin..end).map(|n| self.record(n as u64, &body(n)));
        Event::ConfigRecords {
            first: self.first,
            end: end as u64,
            records: records.take(16).collect(),
        }
    }

    pub fn read(&mut self, n: usize) {
        let from = self.nodes[n].next_log_read(self.now).from;
        let event = match self.fault {
            Fault::Out => Event::ConfigReadFailed,
            _ => self.answer(from),
        };
        self.handle(n, event);
    }

    pub fn set_fault(&mut self, fault: u8, cut: u8) {
        let fault = FAULTS[fault as usize % FAULTS.len()];
        let revisions = self.nodes.iter().map(|n| n.tables().config.revision().0);
        let lowest = revisions.min().unwrap_or_default() as usize;
        if fault == Fault::OtherHistory {
            // What no node has folded can't be told from the truth.
            if lowest <= self.first as usize {
                return;
            }
            self.cut = lowest - 1;
        } else {
            self.cut = cut as usize % (self.records.len() + 1);
        }
        self.fault = fault;
        // The waiting reads end when another server takes over.
        for n in 0..NODES {
            self.handle(n, Event::ConfigReadFailed);
        }
    }

    /// Lets records expire, as far as a whole snapshot makes up for them.
    pub fn retain(&mut self, keep: u8) {
        let parts = self.records.iter().skip(self.first as usize);
        let covered = parts.filter_map(|body| match LogRecord::parse(body) {
            Ok(LogRecord::Snapshot(part)) => {
                let whole = SnapshotReader::default().add(part).ok().flatten();
                whole.map(|config| config.revision().0)
            }
            _ => None,
        });
        let covered = covered.max().unwrap_or_default();
        let wanted = self.records.len().saturating_sub(keep as usize) as u64;
        self.first = self.first.max(covered.min(wanted));
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
        let ask = ConfigMessage::AskRecords { from };
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

    /// Submits a request, and tells whether the node says that it isn't ready.
    pub fn is_rejected_as_not_ready(&mut self, n: usize) -> bool {
        let submission = Submission {
            token_sha256: [0; 32],
            id: None,
            priority: None,
            within: None,
            idempotent: None,
            demand: Demand::Completion {
                pipeline: "dictado".parse().expect("a name"),
                prompt: vec![65],
                max_tokens: 1,
            },
        };
        let key = RequestKey(1);
        let submission = Box::new(submission);
        let actions = self.nodes[n].handle(self.now, Event::Submit { key, submission });
        let outcome = actions.into_iter().find_map(|action| match action {
            Action::Reply {
                reply: Reply::Done(done),
                ..
            } => Some((done.outcome, done.retry_after.is_some())),
            _ => None,
        });
        match outcome {
            Some((Outcome::NotRun(NotRun::NoCapacity), true)) => true,
            // No organisation is configured, so a node that is ready refuses the token.
            Some((Outcome::NotRun(NotRun::Unauthorised), false)) => false,
            other => panic!("node {n}: {other:?}"),
        }
    }

    /// Submits a request at each node; returns how many were rejected
    /// because the node was not ready.
    pub fn judge_requests(&mut self) -> u32 {
        let mut rejected = 0;
        for n in 0..NODES {
            let revision = self.nodes[n].tables().config.revision();
            let needs = self.starts[n].needs;
            let refused = self.is_rejected_as_not_ready(n);
            assert!(
                refused || revision >= needs,
                "node {n} serves {revision}, peers had {needs}"
            );
            if refused {
                rejected += 1;
                self.judge_not_named(n);
            }
        }
        rejected
    }

    /// No node that has heard of a node's life names it, while it isn't ready.
    fn judge_not_named(&self, n: usize) {
        let life = self.nodes[n].configs().identity.incarnation;
        for by in &self.nodes {
            let (tables, cfg) = (by.tables(), by.configs());
            let row = tables.members.get(&vm(n));
            let heard = row.is_some_and(|row| row.incarnation == life);
            let named = directory::answer(tables, &cfg.identity, &cfg.directory, "caller");
            let named = named.iter().any(|entry| entry.vm == vm(n));
            let own = cfg.identity.vm == vm(n);
            assert!(!(named && (own || heard)), "{} names {n}", cfg.identity.vm);
        }
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

    pub fn judge(&mut self) {
        for n in 0..NODES {
            let config = &self.nodes[n].tables().config;
            let revision = config.revision();
            let highest = &mut self.starts[n].highest;
            assert!(revision >= *highest, "node {n} went back to {revision}");
            let moved = revision > *highest;
            *highest = revision;
            let (digest, objects) = &self.truth[revision.0 as usize];
            assert_eq!(config.digest(), *digest, "node {n} at {revision}");
            if !moved {
                continue;
            }
            let own = config.objects().iter();
            let own: Objects = own
                .map(|(key, e)| (key.clone(), (e.object.clone(), e.changed)))
                .collect();
            assert_eq!(own, *objects, "node {n} at {revision}");
        }
    }

    pub fn judge_starts(&self) {
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            let (revision, needs) = (tables.config.revision(), self.starts[n].needs);
            let serves_old = tables.ready && revision < needs;
            assert!(!serves_old, "node {n} serves {revision}, peers had {needs}");
        }
    }

    pub fn judge_converged(&mut self) {
        self.judge();
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            // Snapshots may still be on their way.
            let behind = self.records.len() as u64 - tables.config.revision().0;
            assert!(
                behind <= 8,
                "node {n} is {behind} behind: {:?}",
                tables.follow
            );
            assert!(tables.ready, "node {n}: {:?}", tables.follow);
        }
    }
}

/// Draws, for each of `rounds` due snapshots, how many of `nodes` nodes write
/// before they see the first one, if that takes 200 ms.
pub fn snapshot_waits(nodes: usize, rounds: usize) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(9);
    let spread = Duration::from_secs(30);
    let round = |rng: &mut StdRng| {
        let mut waits: Vec<Duration> = (0..nodes)
            .map(|_| crate::systems::snapshots::wait(rng.random(), spread))
            .collect();
        waits.sort();
        let seen = waits[0] + Duration::from_millis(200);
        waits.iter().filter(|wait| **wait < seen).count()
    };
    (0..rounds).map(|_| round(&mut rng)).collect()
}

/// One node whose peers are on the VM list and whose log is out.
pub struct Lone {
    pub node: Node,
    now: Timestamp,
    /// The number of the last question.
    round: u64,
    questions: Vec<VmId>,
}

impl Lone {
    pub fn new(peers: usize) -> Self {
        let mut lone = Self {
            node: node(0, 1, 1),
            now: Timestamp::from_millis(10),
            round: 0,
            questions: Vec::new(),
        };
        let mut list = list();
        let first = list.vms[0].clone();
        list.vms = (0..=peers)
            .map(|n| Vm {
                vm: vm(n),
                ..first.clone()
            })
            .collect();
        lone.handle(Event::Start);
        lone.handle(Event::VmList(list));
        lone.handle(Event::ConfigReadFailed);
        lone
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            if let Action::Peer { to, message, .. } = action
                && let PeerMessage::Config(ConfigMessage::AskRevision { round }) = message
            {
                self.round = round;
                self.questions.push(to);
            }
        }
    }

    /// Lets the log answer that it is empty.
    pub fn read_log(&mut self) {
        self.handle(Event::ConfigRecords {
            first: 0,
            end: 0,
            records: Vec::new(),
        });
    }

    /// Stops the process for longer than it may go on without asking.
    pub fn pause(&mut self) {
        let pause = self.node.configs().dissemination.rejoin_after;
        self.now = self.now + pause + Duration::from_millis(1);
        self.handle(Event::Tick);
    }

    /// Returns the number of questions since it was called last.
    pub fn asked(&mut self) -> usize {
        std::mem::take(&mut self.questions).len()
    }

    pub fn pass_a_round(&mut self) -> usize {
        self.now = self.now + self.node.configs().dissemination.join_wait;
        self.handle(Event::Tick);
        self.asked()
    }

    /// Lets one of the peers that were asked last say its revision.
    pub fn answer(&mut self, revision: u64) {
        self.now = self.now + self.node.configs().dissemination.join_wait;
        self.handle(Event::Tick);
        let asked = self.questions.first().cloned().expect("a question");
        let from = Sender {
            vm: asked,
            incarnation: Incarnation(1),
        };
        let message = PeerMessage::Config(ConfigMessage::Revision {
            round: self.round,
            revision: Revision(revision),
        });
        self.questions.clear();
        self.handle(Event::Peer { from, message });
    }
}
