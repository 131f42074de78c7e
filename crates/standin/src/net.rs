//! Simulates a network of nodes in virtual time.
//!
//! The simulation uses no sockets and no clock. A test or a measurement sets the
//! delay and loss of links, pauses and kills nodes, and advances the time.

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

/// Overhead of each message in bytes: an HTTP/2 frame header, and TCP and IP
/// headers.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 9 + 52;
/// Port below the first assigned one; each start of a node uses a new port.
const BASE_PORT: u16 = 1_024;

/// Counts the traffic of a node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent, including [`MESSAGE_OVERHEAD_BYTES`] for each message.
    pub sent_bytes: u64,
    /// Bytes received, including [`MESSAGE_OVERHEAD_BYTES`] for each message.
    pub received_bytes: u64,
    /// Bytes sent to disseminate observations of engines, a part of `sent_bytes`.
    pub watch_bytes: u64,
    /// Read requests sent to engines.
    pub reads: u64,
}

/// Delay and loss of all links.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// Minimum one-way delay.
    pub min_delay: Duration,
    /// Maximum one-way delay.
    pub max_delay: Duration,
    /// Percentage of messages that are lost.
    pub loss_percent: u8,
}

#[derive(Debug)]
struct Delivery {
    address: SocketAddr,
    from: Sender,
    message: PeerMessage,
    bytes: u64,
}

/// A simulated node.
#[derive(Debug)]
pub struct SimNode {
    /// The node under test.
    pub node: Node,
    /// The address that its peers send to.
    pub address: SocketAddr,
    /// Counts of its traffic.
    pub traffic: Traffic,
    inbox: Vec<(Sender, PeerMessage)>,
    paused: bool,
}

/// Simulated nodes, engines and the links between them.
#[derive(Debug)]
pub struct SimNetwork {
    /// The current time.
    pub now: Timestamp,
    /// Delay and loss of all links.
    pub links: Links,
    /// Running nodes by VM.
    pub nodes: BTreeMap<VmId, SimNode>,
    /// Nodes separated by a network partition from all nodes outside this set.
    pub partitioned: BTreeSet<VmId>,
    /// Membership settings for nodes that start later.
    pub membership: MembershipConfig,
    /// Running engines by VM.
    pub engines: BTreeMap<VmId, SimEngine>,
    records: Vec<Record>,
    engine_replies: BTreeMap<(Timestamp, u64), (VmId, Event)>,
    domains: Vec<FailureDomain>,
    listed_vms: BTreeMap<VmId, Vm>,
    vm_by_address: BTreeMap<SocketAddr, VmId>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    timers: BTreeSet<(Timestamp, VmId)>,
    timer_of: BTreeMap<VmId, Timestamp>,
    sequence: u64,
    starts: u16,
    rng: StdRng,
}

impl SimNetwork {
    /// Creates a network without nodes.
    ///
    /// # Panics
    ///
    /// Panics if the name of a failure domain is invalid.
    pub fn new(domains: &[&str], links: Links, seed: u64) -> Self {
        let domain = |name: &&str| name.parse().expect("the failure domain name is valid");
        Self {
            now: Timestamp::from_millis(1),
            links,
            nodes: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            membership: MembershipConfig::default(),
            engines: BTreeMap::new(),
            records: Vec::new(),
            engine_replies: BTreeMap::new(),
            domains: domains.iter().map(domain).collect(),
            listed_vms: BTreeMap::new(),
            vm_by_address: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            timers: BTreeSet::new(),
            timer_of: BTreeMap::new(),
            sequence: 0,
            starts: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the id of the `n`th VM.
    ///
    /// # Panics
    ///
    /// Does not panic, because the generated name is always valid.
    pub fn vm(n: usize) -> VmId {
        format!("node-{n}").parse().expect("the VM name is valid")
    }

    /// Starts the `n`th node with a new incarnation, killing the previous one.
    pub fn start(&mut self, n: usize) {
        let vm = Self::vm(n);
        self.kill(&vm);
        self.starts += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], BASE_PORT + self.starts));
        let domain = self.domains[n % self.domains.len()].clone();
        let mut cfg = Configs::new(Identity {
            vm: vm.clone(),
            failure_domain: domain.clone(),
            address,
            incarnation: Incarnation(1_700_000_000_000 + u64::from(self.starts)),
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
        self.vm_by_address.insert(address, vm.clone());
        self.nodes.insert(vm.clone(), node);
        let row = Vm {
            vm: vm.clone(),
            role: VmRole::Node,
            address,
            peer_address: Some(address),
            failure_domain: domain,
            state: VmState::Live,
        };
        self.listed_vms.insert(vm.clone(), row);
        self.handle(&vm, Event::VmList(self.vm_list()));
        self.handle(&vm, Event::Start);
        // Nodes without access to the log keep requesting its records from peers.
        let records = Event::ConfigRecords {
            first: 0,
            end: self.records.len() as u64,
            records: self.records.clone(),
        };
        self.handle(&vm, records);
    }

    /// Kills a node at once.
    pub fn kill(&mut self, vm: &VmId) {
        if let Some(node) = self.nodes.remove(vm) {
            self.vm_by_address.remove(&node.address);
        }
    }

    /// Removes a VM from the list that [`SimNetwork::publish_vm_list`] sends.
    pub fn remove_from_vm_list(&mut self, vm: &VmId) {
        self.listed_vms.remove(vm);
    }

    /// Pauses a node, as SIGSTOP pauses a process.
    pub fn pause(&mut self, vm: &VmId) {
        if let Some(node) = self.nodes.get_mut(vm) {
            node.paused = true;
        }
    }

    /// Resumes a paused node and delivers the messages received during the pause.
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

    /// Sends the current VM list to all nodes.
    pub fn publish_vm_list(&mut self) {
        let list = self.vm_list();
        let vms: Vec<VmId> = self.nodes.keys().cloned().collect();
        for vm in vms {
            self.handle(&vm, Event::VmList(list.clone()));
        }
    }

    fn vm_list(&self) -> VmList {
        VmList {
            vms: self.listed_vms.values().cloned().collect(),
        }
    }

    /// Delivers an event to a node and performs the actions that it returns.
    ///
    /// Events for paused nodes are dropped.
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
                } => self.send_to_peer(vm, address, message),
                Action::ReadWatched {
                    vm: engine,
                    address,
                    load,
                    ..
                } => self.read_engine(vm, engine, address, load),
                _ => {}
            }
        }
        self.schedule_timer(vm);
    }

    fn send_to_peer(&mut self, vm: &VmId, address: SocketAddr, message: PeerMessage) {
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
        self.sequence += 1;
        let delivery = Delivery {
            address,
            from,
            message,
            bytes,
        };
        self.deliveries
            .insert((self.now + delay, self.sequence), delivery);
    }

    fn schedule_timer(&mut self, vm: &VmId) {
        let Some(due) = self.nodes.get(vm).and_then(|node| node.node.next_due()) else {
            return;
        };
        if let Some(old) = self.timer_of.insert(vm.clone(), due) {
            self.timers.remove(&(old, vm.clone()));
        }
        self.timers.insert((due, vm.clone()));
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Some(vm) = self.vm_by_address.get(&delivery.address).cloned() else {
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

    /// Advances virtual time and processes all events that are due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let timer = self.timers.first().map(|(at, _)| *at);
            let arrival = self.deliveries.first_key_value().map(|((at, _), _)| *at);
            let reply = self
                .engine_replies
                .first_key_value()
                .map(|((at, _), _)| *at);
            let next = [timer, arrival, reply].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if arrival == Some(next) {
                if let Some((_, delivery)) = self.deliveries.pop_first() {
                    self.deliver(delivery);
                }
            } else if reply == Some(next) {
                if let Some((_, (vm, event))) = self.engine_replies.pop_first() {
                    self.handle(&vm, event);
                }
            } else if let Some((_, vm)) = self.timers.pop_first() {
                self.timer_of.remove(&vm);
                self.handle(&vm, Event::Tick);
            }
        }
        self.now = end;
    }

    /// Returns whether `check` holds for every node that is not paused.
    pub fn all(&self, check: impl Fn(&Node) -> bool) -> bool {
        let mut running = self.nodes.values().filter(|node| !node.paused);
        running.all(|node| check(&node.node))
    }

    /// Returns the incarnation of a node, or `None` if it is not running.
    pub fn incarnation(&self, vm: &VmId) -> Option<Incarnation> {
        let node = self.nodes.get(vm)?;
        Some(node.node.configs().identity.incarnation)
    }
}
