//! Simulated engines, their state and their replies to nodes that watch them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use radishhaven_core::{
    config::{BATCH_FORMAT, Backend, Batch, Change, Model, Object, Workload},
    ids::{FencingToken, LayerRange, Revision, VmId},
    message::Event,
    orders::EngineState,
    platform::{Record, Vm, VmRole, VmState},
    watch::Reading,
};
use rand::Rng;

use super::SimNetwork;
use crate::deployment::{VERSION, id};

/// Number of layers of the model that all engines hold.
const LAYERS: u16 = 24;
/// Maximum number of changes in a configuration batch.
const MAX_BATCH_CHANGES: usize = 1_000;
/// Maximum number of steps that an engine reports as queued.
const MAX_QUEUED: u32 = 32;

/// A simulated engine. Each read returns a new random queue length.
#[derive(Debug)]
pub struct SimEngine {
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The model, layers and adapters that the engine holds.
    pub held: EngineState,
}

impl SimNetwork {
    /// Adds `count` engines to the configuration and the VM list.
    ///
    /// Only nodes that start later receive them.
    pub fn add_engines(&mut self, count: usize) {
        let layers = LayerRange::new(0, LAYERS).expect("the layer range is valid");
        let mut objects = vec![Object::Model(Model {
            id: id("model"),
            layers: LAYERS,
        })];
        for n in 0..count {
            let vm: VmId = id(&format!("engine-{n}"));
            let [.., high, low] = n.to_be_bytes();
            let address = SocketAddr::from(([127, 1, high, low], 9_000));
            let held = EngineState {
                model: id("model"),
                version: id(VERSION),
                layers,
                adapters: BTreeSet::new(),
                token: FencingToken(0),
                loading: false,
            };
            objects.push(Object::Backend(Backend {
                id: vm.clone(),
                carries: Workload::Layers {
                    model: held.model.clone(),
                    version: held.version.clone(),
                    layers,
                    adapters: BTreeSet::new(),
                },
                checks_tokens: true,
            }));
            let row = Vm {
                vm: vm.clone(),
                role: VmRole::Backend,
                address,
                peer_address: None,
                failure_domain: self.domains[n % self.domains.len()].clone(),
                state: VmState::Live,
            };
            self.listed_vms.insert(vm.clone(), row);
            self.engines.insert(vm, SimEngine { address, held });
        }
        for chunk in objects.chunks(MAX_BATCH_CHANGES) {
            self.append_batch(chunk);
        }
    }

    fn append_batch(&mut self, objects: &[Object]) {
        let offset = self.records.len() as u64;
        let batch = Batch {
            format: BATCH_FORMAT,
            batch: id(&format!("engines-{offset}")),
            planned: Revision(offset),
            source: None,
            base: BTreeMap::new(),
            changes: objects.iter().cloned().map(Change::Put).collect(),
        };
        let body = serde_json::to_string(&batch).expect("the batch can be serialised");
        self.records.push(Record { offset, body });
    }

    /// Schedules the reply of an engine to a node that reads it.
    pub(super) fn read_engine(&mut self, node: &VmId, vm: VmId, address: SocketAddr, load: bool) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.traffic.reads += 1 + u64::from(load);
        }
        let queued = load.then(|| self.rng.random_range(0..=MAX_QUEUED));
        let engine = self.engines.get(&vm).filter(|e| e.address == address);
        let reading = engine.map(|engine| Reading {
            held: engine.held.clone(),
            queued,
            at: self.now,
        });
        let delay = self
            .rng
            .random_range(self.links.min_delay..=self.links.max_delay)
            * 2;
        self.sequence += 1;
        let event = Event::WatchedRead {
            vm,
            address,
            reading,
        };
        self.engine_replies
            .insert((self.now + delay, self.sequence), (node.clone(), event));
    }
}
