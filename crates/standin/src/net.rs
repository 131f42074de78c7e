//! Carries messages between the decisions of several nodes in virtual time.
//!
//! There are no sockets and no clock here: a test or a measurement says what
//! each link delays or loses, pauses and kills nodes, and moves time on.

mod engines;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use radishhaven_core::{
    configs::{Configs, Identity, MembershipConfig},
    ids::{FailureDomain, Incarnation, VmId},
    message::{Action, Event},
    node::Node,
    peer::{PeerMessage, Sender},
    platform::{Record, Vm, VmList, VmRole, VmState},
    time::Timestamp,
};
use radishhavend::edges::peers;
use rand::{Rng, SeedableRng, rngs::StdRng};

pub use self::engines::SimEngine;

/// Bytes around each message: an HTTP/2 frame's head, and TCP over IP.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 9 + 52;
/// Port of the first node's first life; each life has a port of its own.
const FIRST_PORT: u16 = 1_024;

/// What a node sent and received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent, [`MESSAGE_OVERHEAD_BYTES`] included.
    pub sent_bytes: u64,
    /// Bytes received, likewise.
    pub received_bytes: u64,
    /// Bytes sent for the watch over engines, likewise; part of all.
    pub watch_bytes: u64,
    /// Reads of engines.
    pub reads: u64,
}

/// How links behave.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// Shortest one-way time.
    pub min_delay: Duration,
    /// Longest one-way time.
    pub max_delay: Duration,
    /// Messages lost of a hundred.
    pub loss_percent: u8,
}

#[derive(Debug)]
struct Delivery {
    address: SocketAddr,
    from: Sender,
    message: PeerMessage,
    bytes: u64,
}

/// One node of the net.
#[derive(Debug)]
pub struct SimNode {
    /// Its decisions.
    pub node: Node,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// What it sent and received.
    pub traffic: Traffic,
    inbox: Vec<(Sender, PeerMessage)>,
    paused: bool,
}

/// Nodes and the links between them.
#[derive(Debug)]
pub struct SimNetwork {
    /// The current time.
    pub now: Timestamp,
    /// How links behave.
    pub links: Links,
    /// Nodes that run, by VM.
    pub nodes: BTreeMap<VmId, SimNode>,
    /// Nodes that can't reach nodes outside this set, nor be reached.
    pub partitioned: BTreeSet<VmId>,
    /// Settings of membership for nodes that start.
    pub membership: MembershipConfig,
    /// Engines that run, by VM.
    pub engines: BTreeMap<VmId, SimEngine>,
    records: Vec<Record>,
    answers: BTreeMap<(Timestamp, u64), (VmId, Event)>,
    domains: Vec<FailureDomain>,
    list: BTreeMap<VmId, Vm>,
    homes: BTreeMap<SocketAddr, VmId>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    wakes: BTreeSet<(Timestamp, VmId)>,
    wake_of: BTreeMap<VmId, Timestamp>,
    counted: u64,
    lives: u16,
    rng: StdRng,
}

impl SimNetwork {
    /// Makes a net without nodes.
    ///
    /// # Panics
    ///
    /// Panics if a failure domain's name is not valid.
    pub fn new(domains: &[&str], links: Links, seed: u64) -> Self {
        let domain = |name: &&str| name.parse().expect("a failure domain");
        Self {
            now: Timestamp::from_millis(1),
            links,
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            membership: MembershipConfig::default(),
            engines: BTreeMap::new(),
            records: Vec::new(),
            answers: BTreeMap::new(),
            domains: domains.iter().map(domain).collect(),
            list: BTreeMap::new(),
            homes: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            wakes: BTreeSet::new(),
            wake_of: BTreeMap::new(),
            counted: 0,
            lives: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Names the `n`th VM.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    pub fn vm(n: usize) -> VmId {
        format!("node-{n}").parse().expect("a VM")
    }

    /// Starts the `n`th node in a new life, ending the one before.
    pub fn start(&mut self, n: usize) {
        let vm = Self::vm(n);
        self.kill(&vm);
        self.lives += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + self.lives));
        let domain = self.domains[n % self.domains.len()].clone();
        let mut cfg = Configs::new(Identity {
            vm: vm.clone(),
            failure_domain: domain.clone(),
            address,
            incarnation: Incarnation(1_700_000_000_000 + u64::from(self.lives)),
        });
        cfg.membership = MembershipConfig {
            peer_address: Some(address),
            ..self.membership.clone()
        };
        let node = SimNode {
            node: Node::new(cfg, self.rng.random()),
            address,
            traffic: Traffic::default(),
            inbox: Vec::new(),
            paused: false,
        };
        self.homes.insert(address, vm.clone());
        self.nodes.insert(vm.clone(), node);
        let row = Vm {
            vm: vm.clone(),
            role: VmRole::Node,
            address,
            peer_address: Some(address),
            failure_domain: domain,
            state: VmState::Live,
        };
        self.list.insert(vm.clone(), row);
        self.handle(&vm, Event::VmList(self.vm_list()));
        self.handle(&vm, Event::Start);
        // Nodes that can't read a log go on asking each other.
        let read = Event::ConfigRecords {
            first: 0,
            end: self.records.len() as u64,
            records: self.records.clone(),
        };
        self.handle(&vm, read);
    }

    /// Ends a node at once.
    pub fn kill(&mut self, vm: &VmId) {
        if let Some(node) = self.nodes.remove(vm) {
            self.homes.remove(&node.address);
        }
    }

    /// Takes a VM off the list that [`SimNetwork::publish_vm_list`] shows.
    pub fn remove_from_vm_list(&mut self, vm: &VmId) {
        self.list.remove(vm);
    }

    /// Stops a node's process, as a signal would.
    pub fn pause(&mut self, vm: &VmId) {
        if let Some(node) = self.nodes.get_mut(vm) {
            node.paused = true;
        }
    }

    /// Lets a stopped node go on; what came meanwhile is waiting for it.
    pub fn resume(&mut self, vm: &VmId) {
        let Some(node) = self.nodes.get_mut(vm).filter(|node| node.paused) else {
            return;
        };
        node.paused = false;
        let inbox = std::mem::take(&mut node.inbox);
        self.handle(vm, Event::Tick);
        for (from, message) in inbox {
            self.handle(vm, Event::Peer { from, message });
        }
    }

    /// Shows all nodes the VM list as it is now.
    pub fn publish_vm_list(&mut self) {
        let list = self.vm_list();
        let vms: Vec<VmId> = self.nodes.keys().cloned().collect();
        for vm in vms {
            self.handle(&vm, Event::VmList(list.clone()));
        }
    }

    fn vm_list(&self) -> VmList {
        VmList {
            vms: self.list.values().cloned().collect(),
        }
    }

    /// Hands an event to a node that is not paused and carries what it sends.
    pub fn handle(&mut self, vm: &VmId, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(vm).filter(|node| !node.paused) else {
            return;
        };
        let actions = node.node.handle(now, event);
        for action in actions {
            match action {
                Action::Peer {
                    address, message, ..
                } => self.post(vm, address, message),
                Action::ReadWatched {
                    vm: engine,
                    address,
                    load,
                    ..
                } => self.read(vm, engine, address, load),
                _ => {}
            }
        }
        self.schedule(vm);
    }

    fn post(&mut self, vm: &VmId, address: SocketAddr, message: PeerMessage) {
        let frame = peers::encode(&message).map_or(0, |frame| frame.len() as u64);
        let bytes = frame + MESSAGE_OVERHEAD_BYTES;
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        node.traffic.sent += 1;
        node.traffic.sent_bytes += bytes;
        if matches!(message, PeerMessage::Watch(_)) {
            node.traffic.watch_bytes += bytes;
        }
        let identity = &node.node.configs().identity;
        let from = Sender {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
        };
        if self.rng.random_range(0..100) < self.links.loss_percent {
            return;
        }
        let delay = self
            .rng
            .random_range(self.links.min_delay..=self.links.max_delay);
        self.counted += 1;
        let delivery = Delivery {
            address,
            from,
            message,
            bytes,
        };
        self.deliveries
            .insert((self.now + delay, self.counted), delivery);
    }

    fn schedule(&mut self, vm: &VmId) {
        let Some(due) = self.nodes.get(vm).and_then(|node| node.node.next_due()) else {
            return;
        };
        if let Some(old) = self.wake_of.insert(vm.clone(), due) {
            self.wakes.remove(&(old, vm.clone()));
        }
        self.wakes.insert((due, vm.clone()));
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Some(vm) = self.homes.get(&delivery.address).cloned() else {
            return;
        };
        if self.partitioned.contains(&vm) != self.partitioned.contains(&delivery.from.vm) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&vm) else {
            return;
        };
        node.traffic.received_bytes += delivery.bytes;
        let (from, message) = (delivery.from, delivery.message);
        if node.paused {
            node.inbox.push((from, message));
        } else {
            self.handle(&vm, Event::Peer { from, message });
        }
    }

    /// Moves time on.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wake = self.wakes.first().map(|(at, _)| *at);
            let arrival = self.deliveries.first_key_value().map(|((at, _), _)| *at);
            let answer = self.answers.first_key_value().map(|((at, _), _)| *at);
            let next = [wake, arrival, answer].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if arrival == Some(next) {
                if let Some((_, delivery)) = self.deliveries.pop_first() {
                    self.deliver(delivery);
                }
            } else if answer == Some(next) {
                if let Some((_, (vm, event))) = self.answers.pop_first() {
                    self.handle(&vm, event);
                }
            } else if let Some((_, vm)) = self.wakes.pop_first() {
                self.wake_of.remove(&vm);
                self.handle(&vm, Event::Tick);
            }
        }
        self.now = end;
    }

    /// Tells whether every node that runs and isn't paused finds `check` true.
    pub fn all(&self, check: impl Fn(&Node) -> bool) -> bool {
        let mut running = self.nodes.values().filter(|node| !node.paused);
        running.all(|node| check(&node.node))
    }

    /// Returns the incarnation of a node that runs.
    pub fn incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        let node = self.nodes.get(vm)?;
        Some(node.node.configs().identity.incarnation)
    }
}
