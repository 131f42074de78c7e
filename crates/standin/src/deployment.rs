//! Runs a complete deployment on loopback, with stand-ins and real entry nodes.
//!
//! Each component has its own Tokio runtime in this process, so that it can be
//! killed alone. Tests and examples use it.

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

/// Time limit for all nodes to load the configuration and the VM list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Name prefix of the threads of entry nodes, which separates their processor time
/// from that of the stand-ins.
pub const NODE_THREAD: &str = "node-";
/// Interval between two checks of whether the nodes are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An error on starting a deployment.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A stand-in could not be started.
    #[error(transparent)]
    StandIn(#[from] StartError),
    /// A node could not be started.
    #[error(transparent)]
    Node(#[from] radishhavend::host::StartError),
    /// The settings of a node are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
    /// A runtime could not be created.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// The nodes did not become ready in time.
    #[error("not all nodes became ready within {READY_TIMEOUT:?}")]
    NotReady,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The plan that it was started from.
    pub plan: Plan,
    /// The log service.
    pub log: ServerHandle<LogService>,
    /// The VM list service.
    pub vms: ServerHandle<VmListService>,
    /// Running engines by VM.
    pub engines: BTreeMap<VmId, ServerHandle<Engine>>,
    /// Running servers of the plain service by VM.
    pub services: BTreeMap<VmId, ServerHandle<PlainService>>,
    /// Running entry nodes by VM.
    pub nodes: BTreeMap<VmId, NodeProcess>,
    listed_vms: BTreeMap<VmId, Vm>,
    /// All engines ever started, to keep the records of killed ones.
    engine_processes: Vec<(VmId, Arc<Engine>)>,
    /// All servers of the plain service ever started.
    service_processes: Vec<(VmId, Arc<PlainService>)>,
    stops: Vec<PlannedStop>,
}

/// Key that the nodes share to authenticate peer messages.
const PEER_KEY: &str = "key-of-a-deployment-on-loopback";
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

impl Deployment {
    /// Starts all components, publishes the configuration and waits until the
    /// nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot be started or the nodes do not
    /// become ready.
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
            listed_vms: BTreeMap::new(),
            engine_processes: Vec::new(),
            service_processes: Vec::new(),
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

    /// Appends a configuration batch to the log and returns its offset.
    pub fn publish(&self, batch: &Batch) -> u64 {
        let body = serde_json::to_string(batch).unwrap_or_default();
        self.log.state.append(CONFIG_STREAM, body)
    }

    /// Starts or restarts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
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
        self.add_to_vm_list(&plan.vm, VmRole::Backend, engine.addr, None, &plan.domain);
        let process = (plan.vm.clone(), engine.state.clone());
        self.engine_processes.push(process);
        self.engines.insert(plan.vm.clone(), engine);
        Ok(())
    }

    /// Starts or restarts a server of the plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn start_service(&mut self, plan: &ServicePlan) -> Result<(), DeploymentError> {
        let service = ServerHandle::start(ANY_PORT, PlainService::new(ServiceCfg::default()))?;
        self.add_to_vm_list(&plan.vm, VmRole::Backend, service.addr, None, &plan.domain);
        let process = (plan.vm.clone(), service.state.clone());
        self.service_processes.push(process);
        self.services.insert(plan.vm.clone(), service);
        Ok(())
    }

    /// Starts or restarts an entry node.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started.
    pub fn start_node(&mut self, vm: &VmId, domain: &FailureDomain) -> Result<(), DeploymentError> {
        let text = format!(
            "[node]\nvm = {vm}\nfailure_domain = {domain}\ncallers = {ANY_PORT}\n\
             operators = {ANY_PORT}\n\
             [peers]\nlisten = {ANY_PORT}\nkey = {PEER_KEY}\n[platform]\nlog = {}\nvms = {}\nvms_every_ms = 50\n{}",
            self.log.addr, self.vms.addr, self.plan.settings
        );
        let node = NodeProcess::start(Settings::parse("plan", &text)?)?;
        self.add_to_vm_list(
            vm,
            VmRole::Node,
            node.node.callers_address,
            Some(node.node.peers_address),
            domain,
        );
        self.nodes.insert(vm.clone(), node);
        Ok(())
    }

    /// Marks a VM as leaving in the VM list.
    pub fn mark_leaving(&mut self, vm: &VmId) {
        if let Some(row) = self.listed_vms.get_mut(vm) {
            row.state = VmState::Leaving;
            self.stops.push(PlannedStop {
                vm: vm.clone(),
                listed_us: wall_clock_us() + self.plan.vm_list_lag_ms * 1_000,
            });
        }
        self.publish_vm_list();
    }

    /// Removes a VM from the VM list.
    pub fn remove_from_vm_list(&mut self, vm: &VmId) {
        self.listed_vms.remove(vm);
        self.publish_vm_list();
    }

    /// Returns the records of `callers` together with those of all stand-ins,
    /// including killed ones.
    ///
    /// `faults` states whether the test injected unplanned faults.
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
            engines: self.engine_processes.iter().map(engine).collect(),
            services: self.service_processes.iter().map(service).collect(),
            stops: self.stops.clone(),
            faults,
        }
    }

    fn add_to_vm_list(
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
        self.listed_vms.insert(vm.clone(), row);
        self.publish_vm_list();
    }

    fn publish_vm_list(&self) {
        self.vms.state.set(VmList {
            vms: self.listed_vms.values().cloned().collect(),
        });
    }

    /// Waits until every node is ready and has loaded the full log and VM list.
    ///
    /// # Errors
    ///
    /// Returns an error if this takes longer than 10 seconds.
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
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the address on which a node serves callers.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    pub fn callers_address(&self, vm: &str) -> SocketAddr {
        self.nodes[&id::<VmId>(vm)].node.callers_address
    }
}
