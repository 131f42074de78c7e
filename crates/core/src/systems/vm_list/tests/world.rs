//! Simulated platform with a changing VM list, and nodes with different clocks.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    configs::{Configs, Identity},
    ids::{Incarnation, VmId},
    message::{Action, Event},
    node::Node,
    peer::{PeerMessage, Sender, VmListMessage},
    platform::{Vm, VmList, VmRole, VmState},
    time::Timestamp,
};

pub const NODES: usize = 4;
/// Number of backend servers that the list may contain.
const BACKENDS: u8 = 3;
/// Difference between the clocks of two consecutive nodes.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(1_000);
/// Simulated time between two steps without faults, in milliseconds.
const SETTLE_STEP_MS: u64 = 500;
/// Simulated time within which all nodes converge after faults end, in
/// milliseconds.
const HEAL_MS: u64 = 16_000;

type Rows = BTreeMap<VmId, Vm>;

/// An open read, and the list that the platform returned for it.
struct Read {
    returned: Option<Rows>,
    accepts_unchanged: bool,
}

struct Envelope {
    to: usize,
    from: Sender,
    message: PeerMessage,
}

pub struct World {
    pub now: Timestamp,
    /// Whether updates in transit lose their changes and so no longer match their
    /// digest.
    pub corrupt_updates: bool,
    drop_vm_list: bool,
    seed: u64,
    nodes: Vec<Node>,
    paused: Vec<bool>,
    reads: Vec<Option<Read>>,
    last_read: Vec<Option<Rows>>,
    /// The platform's list from each moment on.
    truth: Vec<(Timestamp, Rows)>,
    /// Index in `truth` of the newest state that each node has held; no node may
    /// go back to an older one.
    floor: Vec<usize>,
    mail: Vec<Envelope>,
}

fn vm(n: usize) -> VmId {
    format!("node-{n}").parse().expect("a name")
}

fn row(name: VmId, role: VmRole, port: u16) -> Vm {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Vm {
        vm: name,
        role,
        address: address(port),
        peer_address: (role == VmRole::Node).then(|| address(port + 100)),
        failure_domain: "mvd-centro".parse().expect("a name"),
        state: VmState::Live,
    }
}

fn node(n: usize, incarnation: u64, seed: u64) -> Node {
    let own = row(vm(n), VmRole::Node, 1_000 + n as u16);
    let mut cfg = Configs::new(Identity {
        vm: own.vm,
        failure_domain: own.failure_domain,
        address: own.address,
        incarnation: Incarnation(incarnation),
    });
    cfg.membership.peer_address = own.peer_address;
    cfg.admission.control_interval = Duration::from_secs(100);
    cfg.vm_list.read_interval = Duration::from_secs(1);
    cfg.vm_list.refresh_interval = Duration::from_secs(2);
    cfg.vm_list.answer_timeout = Duration::from_secs(2);
    cfg.vm_list.fallback_after = Duration::from_secs(5);
    cfg.vm_list.retained_changes = 2;
    Node::new(cfg, seed ^ (incarnation * 10 + n as u64))
}

impl World {
    pub fn new(seed: u64) -> Self {
        let nodes = (0..NODES).map(|n| row(vm(n), VmRole::Node, 1_000 + n as u16));
        let rows: Rows = nodes.map(|vm| (vm.vm.clone(), vm)).collect();
        let mut world = Self {
            now: Timestamp::from_millis(10),
            corrupt_updates: false,
            drop_vm_list: false,
            seed,
            nodes: (0..NODES).map(|n| node(n, 1, seed)).collect(),
            paused: vec![false; NODES],
            reads: (0..NODES).map(|_| None).collect(),
            last_read: vec![None; NODES],
            truth: vec![(Timestamp::default(), rows)],
            floor: vec![0; NODES],
            mail: Vec::new(),
        };
        for n in 0..NODES {
            world.handle(n, Event::Start);
            world.read(n);
        }
        world.deliver_all();
        world
    }

    pub fn node(&self, n: usize) -> &Node {
        &self.nodes[n]
    }

    pub fn node_mut(&mut self, n: usize) -> &mut Node {
        &mut self.nodes[n]
    }

    /// Returns whether a node replicates the list from another node.
    pub fn has_source(&self, n: usize) -> bool {
        self.nodes[n].tables().vm_replication.source.is_some()
    }

    /// Returns the number of reads of each node since it started.
    pub fn reads(&self) -> Vec<u64> {
        let reads = |node: &Node| node.tables().vm_replication.counters.reads;
        self.nodes.iter().map(reads).collect()
    }

    fn sender(&self, n: usize) -> Sender {
        let identity = &self.nodes[n].configs().identity;
        Sender {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
        }
    }

    /// Converts a time of the simulation to a node's clock.
    pub fn clock(n: usize, at: Timestamp) -> Timestamp {
        at + CLOCK_DIFFERENCE * n as u32
    }

    fn handle(&mut self, n: usize, event: Event) {
        let actions = self.nodes[n].handle(Self::clock(n, self.now), event);
        let from = self.sender(n);
        for action in actions {
            let Action::Peer { to, message, .. } = action else {
                continue;
            };
            if self.drop_vm_list && matches!(message, PeerMessage::Vms(_)) {
                continue;
            }
            let message = self.in_transit(message);
            let to = (0..NODES).find(|n| vm(*n) == to).expect("a node");
            let from = from.clone();
            self.mail.push(Envelope { to, from, message });
        }
    }

    fn in_transit(&self, mut message: PeerMessage) -> PeerMessage {
        if let PeerMessage::Vms(
            VmListMessage::Changed(update)
            | VmListMessage::Response {
                update: Some(update),
                ..
            },
        ) = &mut message
            && self.corrupt_updates
        {
            update.changes.put.clear();
        }
        message
    }

    /// Changes the platform's list: adds or removes a backend server, or marks it
    /// as leaving.
    pub fn change(&mut self, which: u8, kind: u8) {
        let which = which % BACKENDS;
        let name: VmId = format!("b{which}").parse().expect("a name");
        let mut rows = self.truth[self.truth.len() - 1].1.clone();
        let mut vm = row(name.clone(), VmRole::Backend, 2_000 + u16::from(which));
        match kind % 3 {
            0 => {
                rows.remove(&name);
            }
            1 => {
                rows.insert(name, vm);
            }
            _ => {
                vm.state = VmState::Leaving;
                rows.insert(name, vm);
            }
        }
        // Each state of the list is visible for some time.
        self.now = self.now + Duration::from_micros(1);
        self.truth.push((self.now, rows));
        self.now = self.now + Duration::from_micros(1);
    }

    pub fn begin_read(&mut self, n: usize) {
        if self.paused[n] || self.reads[n].is_some() {
            return;
        }
        let now = Self::clock(n, self.now);
        let accepts_unchanged = self.nodes[n].next_vms_read(now).accepts_unchanged;
        self.nodes[n].begin_vms_read(now);
        self.reads[n] = Some(Read {
            returned: None,
            accepts_unchanged,
        });
    }

    /// Makes the platform answer an open read; the answer is still in transit.
    pub fn answer_read(&mut self, n: usize) {
        let returned = &self.truth[self.truth.len() - 1].1;
        if let Some(read) = &mut self.reads[n] {
            read.returned.get_or_insert_with(|| returned.clone());
        }
    }

    pub fn end_read(&mut self, n: usize) {
        if self.paused[n] {
            return;
        }
        let Some(read) = self.reads[n].take_if(|read| read.returned.is_some()) else {
            return;
        };
        let same = self.last_read[n] == read.returned;
        self.last_read[n].clone_from(&read.returned);
        let event = match read.returned {
            Some(_) if same && read.accepts_unchanged => Event::VmListUnchanged,
            Some(rows) => Event::VmList(VmList {
                vms: rows.into_values().collect(),
            }),
            None => return,
        };
        self.handle(n, event);
    }

    pub fn lose_read(&mut self, n: usize) {
        self.reads[n] = None;
    }

    pub fn read(&mut self, n: usize) {
        self.begin_read(n);
        self.answer_read(n);
        self.end_read(n);
    }

    pub fn deliver(&mut self, which: u8, twice: bool) {
        if self.mail.is_empty() {
            return;
        }
        let index = which as usize % self.mail.len();
        if self.paused[self.mail[index].to] {
            return;
        }
        let Envelope { to, from, message } = self.mail.swap_remove(index);
        if twice {
            let (from, message) = (from.clone(), message.clone());
            self.mail.push(Envelope { to, from, message });
        }
        self.handle(to, Event::Peer { from, message });
    }

    pub fn deliver_all(&mut self) {
        let mut left = 10_000;
        while let Some(index) = self.mail.iter().position(|mail| !self.paused[mail.to]) {
            let Envelope { to, from, message } = self.mail.remove(index);
            self.handle(to, Event::Peer { from, message });
            left -= 1;
            assert!(left > 0, "the nodes never stop sending messages");
        }
    }

    pub fn deliver_from(&mut self, from: usize, to: usize, message: PeerMessage) {
        let from = self.sender(from);
        self.handle(to, Event::Peer { from, message });
    }

    pub fn lose(&mut self, which: u8) {
        if !self.mail.is_empty() {
            let index = which as usize % self.mail.len();
            self.mail.swap_remove(index);
        }
    }

    /// Drops all further messages about the VM list until [`World::heal`].
    pub fn drop_vm_list_messages(&mut self) {
        self.drop_vm_list = true;
    }

    pub fn unreachable(&mut self, n: usize, peer: usize) {
        if n != peer && !self.paused[n] {
            self.handle(n, Event::PeerUnreachable { vm: vm(peer) });
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        for n in 0..NODES {
            if !self.paused[n] {
                self.handle(n, Event::Tick);
            }
        }
    }

    pub fn pause(&mut self, n: usize) {
        self.paused[n] = true;
    }

    pub fn resume(&mut self, n: usize) {
        self.paused[n] = false;
    }

    pub fn restart(&mut self, n: usize) {
        let incarnation = self.nodes[n].configs().identity.incarnation.0 + 1;
        self.nodes[n] = node(n, incarnation, self.seed);
        self.paused[n] = false;
        self.reads[n] = None;
        self.last_read[n] = None;
        self.floor[n] = 0;
        // Messages in transit to the previous incarnation are lost.
        self.mail.retain(|mail| mail.to != n);
        self.handle(n, Event::Start);
    }

    /// Advances time, delivers all messages and performs all due reads.
    pub fn settle(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(SETTLE_STEP_MS) {
            self.advance(SETTLE_STEP_MS);
            self.deliver_all();
            for n in 0..NODES {
                let now = Self::clock(n, self.now);
                if self.nodes[n].next_vms_read(now).after.is_zero() {
                    self.read(n);
                }
            }
            self.deliver_all();
            self.check_nodes();
        }
    }

    pub fn heal(&mut self) {
        self.paused.fill(false);
        self.drop_vm_list = false;
        (0..NODES).for_each(|n| self.end_read(n));
        self.reads.fill_with(|| None);
        self.settle(HEAL_MS);
    }

    /// Asserts that no node went back to an older list, and that the platform
    /// returned its list within the time range that the node has recorded.
    pub fn check_nodes(&mut self) {
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            if tables.vm_replication.number == 0 {
                continue;
            }
            let held: Rows = tables
                .vms
                .iter()
                .map(|vm| (vm.vm.clone(), vm.clone()))
                .collect();
            let later = self.truth.iter().skip(self.floor[n]);
            let at = later.clone().position(|(_, rows)| *rows == held);
            let at = at.unwrap_or_else(|| {
                panic!(
                    "node {n} went back to an older list: {:?}",
                    tables.vm_replication
                )
            });
            self.floor[n] += at;
            let (began, ended) = (
                tables.vm_replication.read_began,
                tables.vm_replication.read_ended,
            );
            let returned = (self.floor[n]..self.truth.len()).any(|k| {
                let until = self.truth.get(k + 1).map_or(self.now, |(at, _)| *at);
                self.truth[k].1 == held
                    && Self::clock(n, self.truth[k].0) <= ended
                    && Self::clock(n, until) >= began
            });
            assert!(returned, "node {n} records a wrong time for its list");
        }
    }

    pub fn check_converged(&mut self) {
        self.check_nodes();
        let truth = self.truth[self.truth.len() - 1].1.clone();
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            let held: Vec<&Vm> = tables.vms.iter().collect();
            let returned: Vec<&Vm> = truth.values().collect();
            assert_eq!(held, returned, "node {n}: {:?}", tables.vm_replication);
        }
    }
}
