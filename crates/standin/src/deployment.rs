//! A whole deployment on loopback: stand-ins and real entry nodes.
//!
//! Each part runs on a runtime of its own inside this process, so that any of
//! them can be killed alone. Tests and examples share it.

mod plan;
mod process;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use radishhaven_core::{
    config::Batch,
    ids::{FailureDomain, VmId},
    platform::{Vm, VmList, VmRole, VmState},
};
use radishhaven_proto::platform::CONFIG_STREAM;
use radishhavend::settings::{Settings, SettingsErrors};

pub use self::{
    plan::{EnginePlan, OrganisationPlan, Plan, ServicePlan, VERSION, id},
    process::{NodeProcess, PauseGuard},
};

use crate::{
    checker::{CallerRecord, Evidence, PlannedStop, ProcessRecords},
    engine::{Engine, EngineCfg},
    log::LogService,
    runtime::{ServerHandle, StartError},
    service::{PlainService, ServiceCfg},
    vms::{VmListCfg, VmListService},
    wire::wall_clock_us,
};

/// Time within which nodes should have read log and VM list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the threads of entry nodes, by which their processor time is told
/// from that of the stand-ins.
pub const NODE_THREAD: &str = "node-";
/// Time between two looks at whether nodes are ready.
const READY_POLL: Duration = Duration::from_millis(5);

/// Why a deployment could not be started.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A stand-in could not be started.
    #[error(transparent)]
    StandIn(#[from] StartError),
    /// A node could not be started.
    #[error(transparent)]
    Node(#[from] radishhavend::host::StartError),
    /// A node's settings were refused.
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    /// A runtime could not be made.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// Nodes did not get ready in time.
    #[error("nodes were not ready within {READY_TIMEOUT:?}")]
    NotReady,
}

/// A deployment that runs.
#[derive(Debug)]
pub struct Deployment {
    /// What it was made of.
    pub plan: Plan,
    /// The log.
    pub log: ServerHandle<LogService>,
    /// The VM list.
    pub vms: ServerHandle<VmListService>,
    /// Engines by VM.
    pub engines: BTreeMap<VmId, ServerHandle<Engine>>,
    /// Servers of the plain service by VM.
    pub services: BTreeMap<VmId, ServerHandle<PlainService>>,
    /// Entry nodes by VM.
    pub nodes: BTreeMap<VmId, NodeProcess>,
    list: BTreeMap<VmId, Vm>,
    /// Every life of every engine, so that records outlast a kill.
    engine_lives: Vec<(VmId, Arc<Engine>)>,
    /// Every life of every server of the plain service.
    service_lives: Vec<(VmId, Arc<PlainService>)>,
    stops: Vec<PlannedStop>,
}

const PEER_KEY: &str = "key-of-a-deployment-on-loopback";
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

impl Deployment {
    /// Starts everything, publishes the configuration and waits until all
    /// nodes have it.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started or nodes don't get ready.
    pub async fn start(plan: Plan) -> Result<Self, DeploymentError> {
        let vms_cfg = VmListCfg {
            lag_ms: plan.vm_list_lag_ms,
            file: None,
        };
        let mut deployment = Self {
            log: ServerHandle::start(ANY_PORT, LogService::new(plan.log.clone()))?,
            vms: ServerHandle::start(ANY_PORT, VmListService::new(vms_cfg, VmList::default()))?,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            nodes: BTreeMap::new(),
            list: BTreeMap::new(),
            engine_lives: Vec::new(),
            service_lives: Vec::new(),
            stops: Vec::new(),
            plan,
        };
        deployment.publish(&deployment.plan.batch());
        for engine in deployment.plan.engines.clone() {
            deployment.start_engine(&engine)?;
        }
        for service in deployment.plan.services.clone() {
            deployment.start_service(&service)?;
        }
        for (vm, domain) in deployment.plan.nodes.clone() {
            deployment.start_node(&vm, &domain)?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Appends a batch to the log.
    pub fn publish(&self, batch: &Batch) -> u64 {
        let body = serde_json::to_string(batch).unwrap_or_default();
        self.log.state.append(CONFIG_STREAM, body)
    }

    /// Starts an engine, anew if it ran before.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub fn start_engine(&mut self, plan: &EnginePlan) -> Result<(), DeploymentError> {
        let model = id(self.plan.pipeline.as_str());
        let cfg = EngineCfg {
            total_layers: self.plan.layers,
            cost: plan.accelerator.cost().scaled(self.plan.slowdown),
            max_batch: self.plan.max_batch,
            checks_tokens: plan.checks_tokens,
            link_delay_us: plan.link_delay_us,
            ..EngineCfg::new(plan.vm.clone(), model, id(VERSION), plan.layers)
        };
        let engine = ServerHandle::start(ANY_PORT, Engine::new(cfg))?;
        self.list_vm(&plan.vm, VmRole::Backend, engine.addr, None, &plan.domain);
        let life = (plan.vm.clone(), engine.state.clone());
        self.engine_lives.push(life);
        self.engines.insert(plan.vm.clone(), engine);
        Ok(())
    }

    /// Starts a server of the plain service, anew if it ran before.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub fn start_service(&mut self, plan: &ServicePlan) -> Result<(), DeploymentError> {
        let service = ServerHandle::start(ANY_PORT, PlainService::new(ServiceCfg::default()))?;
        self.list_vm(&plan.vm, VmRole::Backend, service.addr, None, &plan.domain);
        let life = (plan.vm.clone(), service.state.clone());
        self.service_lives.push(life);
        self.services.insert(plan.vm.clone(), service);
        Ok(())
    }

    /// Starts a node, anew if it ran before.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub fn start_node(&mut self, vm: &VmId, domain: &FailureDomain) -> Result<(), DeploymentError> {
        let text = format!(
            "[node]\nvm = {vm}\nfailure_domain = {domain}\ncallers = {ANY_PORT}\n\
             operators = {ANY_PORT}\n\
             [peers]\nlisten = {ANY_PORT}\nkey = {PEER_KEY}\n[platform]\nlog = {}\nvms = {}\nvms_every_ms = 50\n{}",
            self.log.addr, self.vms.addr, self.plan.settings
        );
        let node = NodeProcess::start(Settings::parse("plan", &text)?)?;
        self.list_vm(
            vm,
            VmRole::Node,
            node.node.callers_address,
            Some(node.node.peers_address),
            domain,
        );
        self.nodes.insert(vm.clone(), node);
        Ok(())
    }

    /// Says on the VM list that a VM is leaving.
    pub fn mark_leaving(&mut self, vm: &VmId) {
        if let Some(row) = self.list.get_mut(vm) {
            row.state = VmState::Leaving;
            self.stops.push(PlannedStop {
                vm: vm.clone(),
                listed_us: wall_clock_us() + self.plan.vm_list_lag_ms * 1_000,
            });
        }
        self.publish_vm_list();
    }

    /// Takes a VM off the VM list.
    pub fn remove_from_vm_list(&mut self, vm: &VmId) {
        self.list.remove(vm);
        self.publish_vm_list();
    }

    /// Returns what callers saw together with what every life of every
    /// stand-in has recorded, killed ones included.
    pub fn evidence(&self, callers: Vec<CallerRecord>, faults: bool) -> Evidence {
        let engine = |(vm, state): &(VmId, Arc<Engine>)| ProcessRecords {
            vm: vm.clone(),
            records: state.records(),
        };
        let service = |(vm, state): &(VmId, Arc<PlainService>)| ProcessRecords {
            vm: vm.clone(),
            records: state.records(),
        };
        Evidence {
            callers,
            engines: self.engine_lives.iter().map(engine).collect(),
            services: self.service_lives.iter().map(service).collect(),
            stops: self.stops.clone(),
            faults,
        }
    }

    fn list_vm(
        &mut self,
        vm: &VmId,
        role: VmRole,
        address: SocketAddr,
        peer_address: Option<SocketAddr>,
        domain: &FailureDomain,
    ) {
        let row = Vm {
            vm: vm.clone(),
            role,
            address,
            peer_address,
            failure_domain: domain.clone(),
            state: VmState::Live,
        };
        self.list.insert(vm.clone(), row);
        self.publish_vm_list();
    }

    fn publish_vm_list(&self) {
        self.vms.state.set(VmList {
            vms: self.list.values().cloned().collect(),
        });
    }

    /// Waits until every node is ready and has the whole log and VM list.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), DeploymentError> {
        let end = self.log.state.read(CONFIG_STREAM, u64::MAX, 0).end;
        let backends = self.engines.len() + self.services.len();
        let is_ready = |node: &NodeProcess| {
            node.node.host.read(|node| {
                let tables = node.tables();
                tables.ready
                    && tables.config.revision().0 >= end
                    && tables.backends.iter().count() >= backends
                    && tables.vms.nodes().count() >= self.nodes.len()
            })
        };
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.nodes.values().all(is_ready) {
            if Instant::now() > deadline {
                return Err(DeploymentError::NotReady);
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    /// Returns where a node serves callers.
    ///
    /// # Panics
    ///
    /// Panics if there is no such node.
    pub fn callers_address(&self, vm: &str) -> SocketAddr {
        self.nodes[&id::<VmId>(vm)].node.callers_address
    }
}
