//! A whole deployment on loopback: stand-ins and real entry nodes.
//!
//! Each part runs on a runtime of its own inside this process, so that any of
//! them can be killed alone. Tests and examples share it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use radishhaven_core::{
    config::{
        BATCH_FORMAT, Backend, Batch, Carries, Change, Deployment as DeploymentObject, Link, Model,
        Object, Organisation, Pipeline, RoutingPolicy, Service,
    },
    ids::{
        BatchId, FailureDomain, LayerRange, ModelId, PipelineId, Priority, Revision, ServiceId,
        VersionId, VmId,
    },
    platform::{Vm, VmList, VmRole, VmState},
};
use radishhaven_proto::platform::CONFIG_STREAM;
use radishhavend::{
    host::RunningNode,
    settings::{Settings, SettingsErrors},
};
use sha2::{Digest, Sha256};
use tokio::runtime::Runtime;

use crate::{
    checker::{CallerRecord, Evidence, Life, PlannedStop},
    cpu::MAX_THREAD_NAME_BYTES,
    engine::{Accelerator, Engine, EngineCfg},
    log::{Log, LogCfg},
    runtime::{Running, StartError},
    service::{PlainService, ServiceCfg},
    vms::{Vms, VmsCfg},
    wire::wall_clock_us,
};

/// Time within which nodes should have read log and VM list.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the threads of entry nodes, by which their processor time is told
/// from that of the stand-ins.
pub const NODE_THREAD: &str = "node-";
/// Threads of an entry node.
const WORKERS: usize = 2;
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

/// One engine of a plan.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its kind of accelerator.
    pub accelerator: Accelerator,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Microseconds that its link adds each way.
    pub link_delay_us: u64,
    /// Whether it refuses old fencing tokens.
    pub checks_tokens: bool,
}

/// One server of a plain service of a plan.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// One organisation of a plan; its bearer token is its name.
#[derive(Debug, Clone)]
pub struct OrganisationPlan {
    /// Its name.
    pub name: String,
    /// Its highest priority.
    pub priority: Priority,
    /// Its bound on requests in flight.
    pub max_in_flight: u32,
    /// Its share.
    pub share: u32,
}

/// What a deployment is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The pipeline; its model has the same name.
    pub pipeline: PipelineId,
    /// Number of layers of the model.
    pub layers: u16,
    /// The plain service.
    pub service: ServiceId,
    /// Operations of the service that are idempotent.
    pub idempotent: BTreeSet<String>,
    /// Entry nodes and their failure domains.
    pub nodes: Vec<(VmId, FailureDomain)>,
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// Servers of the plain service.
    pub services: Vec<ServicePlan>,
    /// Organisations.
    pub organisations: Vec<OrganisationPlan>,
    /// INI lines that are added to each node's settings.
    pub settings: String,
    /// Settings of the log.
    pub log: LogCfg,
    /// Lag of the VM list in milliseconds.
    pub vms_lag_ms: u64,
    /// Factor by which the time of every batch grows.
    pub slowdown: u64,
    /// Steps in a batch of an engine at most.
    pub max_batch: usize,
    /// How nodes choose backend servers.
    pub routing: RoutingPolicy,
    /// Links between failure domains that are configured.
    pub links: Vec<Link>,
}

/// The version that all engines of a plan hold.
pub const VERSION: &str = "v1";

/// Makes an identifier from a name that is known to be valid.
///
/// # Panics
///
/// Panics if the name is not valid.
pub fn id<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("names in plans are valid")
}

impl Plan {
    /// Makes a plan with `nodes` nodes and, for each of three stages,
    /// `replicas` engines of unlike accelerators, over three failure domains.
    pub fn new(
        domains: [&str; 3],
        pipeline: &str,
        service: &str,
        nodes: usize,
        replicas: usize,
    ) -> Self {
        let domain = |n: usize| id::<FailureDomain>(domains[n % domains.len()]);
        let stages = ["0..8", "8..16", "16..24"];
        let kinds = [
            Accelerator::Large,
            Accelerator::Standard,
            Accelerator::Small,
        ];
        let engine = |n: usize| EnginePlan {
            vm: id(&format!("engine-{n}")),
            domain: domain(n / stages.len() + n),
            accelerator: kinds[(n / stages.len()) % kinds.len()],
            layers: id(stages[n % stages.len()]),
            link_delay_us: 0,
            checks_tokens: n.is_multiple_of(2),
        };
        let organisation = |name: &str| OrganisationPlan {
            name: name.to_owned(),
            priority: Priority(5),
            max_in_flight: 10_000,
            share: 1,
        };
        Self {
            pipeline: id(pipeline),
            layers: 24,
            service: id(service),
            idempotent: BTreeSet::from(["lookup".to_owned()]),
            nodes: (0..nodes)
                .map(|n| (id(&format!("node-{n}")), domain(n)))
                .collect(),
            engines: (0..replicas * stages.len()).map(engine).collect(),
            services: (0..3)
                .map(|n| ServicePlan {
                    vm: id(&format!("service-{n}")),
                    domain: domain(n),
                })
                .collect(),
            organisations: vec![organisation("small-firm"), organisation("large-firm")],
            settings: String::new(),
            log: LogCfg::default(),
            vms_lag_ms: 0,
            slowdown: 1,
            max_batch: 16,
            routing: RoutingPolicy::default(),
            links: Vec::new(),
        }
    }

    /// Makes the plan of the users in Montevideo.
    pub fn bitacora(nodes: usize, replicas: usize) -> Self {
        let domains = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
        Self::new(domains, "dictado", "libro", nodes, replicas)
    }

    /// Makes the plan of the users in Perth.
    pub fn roster(nodes: usize, replicas: usize) -> Self {
        let domains = ["cbd-hall", "northbridge", "east-perth"];
        Self::new(domains, "brief-writer", "roster-desk", nodes, replicas)
    }

    /// Returns the batch that configures the whole plan.
    pub fn batch(&self) -> Batch {
        let model: ModelId = id(self.pipeline.as_str());
        let version: VersionId = id(VERSION);
        let mut objects = vec![
            Object::Model(Model {
                id: model.clone(),
                layers: self.layers,
            }),
            Object::Pipeline(Pipeline {
                id: self.pipeline.clone(),
                model: model.clone(),
                version: version.clone(),
                adapters: BTreeSet::new(),
            }),
            Object::Service(Service {
                id: self.service.clone(),
                idempotent: self.idempotent.clone(),
            }),
            Object::Deployment(DeploymentObject {
                routing: self.routing,
            }),
        ];
        objects.extend(self.links.iter().cloned().map(Object::Link));
        objects.extend(
            self.organisations
                .iter()
                .map(|o| Object::Organisation(organisation(o))),
        );
        objects.extend(self.engines.iter().map(|e| {
            let carries = Carries::Layers {
                model: model.clone(),
                version: version.clone(),
                layers: e.layers,
                adapters: BTreeSet::new(),
            };
            Object::Backend(Backend {
                id: e.vm.clone(),
                carries,
                checks_tokens: e.checks_tokens,
            })
        }));
        objects.extend(self.services.iter().map(|s| {
            let carries = Carries::Service(self.service.clone());
            Object::Backend(Backend {
                id: s.vm.clone(),
                carries,
                checks_tokens: false,
            })
        }));
        Batch {
            format: BATCH_FORMAT,
            batch: id::<BatchId>("first"),
            planned: Revision(0),
            source: None,
            base: BTreeMap::new(),
            changes: objects.into_iter().map(Change::Put).collect(),
        }
    }
}

fn organisation(plan: &OrganisationPlan) -> Organisation {
    let token = Sha256::digest(plan.name.as_bytes());
    Organisation {
        id: id(&plan.name),
        token_sha256: token.iter().map(|b| format!("{b:02x}")).collect(),
        priority: plan.priority,
        max_in_flight: plan.max_in_flight,
        share: plan.share,
    }
}

/// An entry node on a runtime of its own.
#[derive(Debug)]
pub struct NodeProcess {
    /// The node.
    pub node: RunningNode,
    runtime: Option<Runtime>,
}

impl NodeProcess {
    /// Starts a node on new ports of loopback.
    ///
    /// Its threads carry the VM's name, so that [`crate::cpu`] can tell their cost.
    ///
    /// # Errors
    ///
    /// Fails if the runtime or the node can't be started.
    pub fn start(settings: Settings) -> Result<Self, DeploymentError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(thread_name(settings.node.vm.as_str()))
            .enable_all()
            .build()?;
        // The caller may be inside another runtime, which must not be blocked on.
        let started = std::thread::scope(|scope| {
            let start = || runtime.block_on(RunningNode::start(settings));
            scope
                .spawn(start)
                .join()
                .expect("starting a node doesn't panic")
        });
        Ok(Self {
            node: started?,
            runtime: Some(runtime),
        })
    }

    /// Stops all of the node's threads until what it returns is dropped, as a
    /// signal would; its sockets stay open meanwhile.
    pub fn pause(&self) -> Pause {
        let (stopped, all_stopped) = mpsc::channel();
        let holds = (0..WORKERS).filter_map(|_| {
            let (hold, held) = mpsc::channel::<()>();
            let stopped = stopped.clone();
            self.runtime.as_ref()?.spawn(async move {
                // Blocks the thread on purpose, until the other end is dropped.
                let _ = stopped.send(());
                let _ = held.recv();
            });
            Some(hold)
        });
        let pause = Pause {
            _holds: holds.collect(),
        };
        drop(stopped);
        for () in all_stopped.iter().take(WORKERS) {}
        pause
    }

    /// Ends the node at once, as if its VM were lost.
    pub fn kill(self) {
        drop(self);
    }

    /// Shuts the node down gracefully; returns whether every request ended.
    pub async fn drain(self) -> bool {
        self.node.drain().await
    }
}

/// Holds a node's threads while it lives.
#[derive(Debug)]
pub struct Pause {
    _holds: Vec<mpsc::Sender<()>>,
}

fn thread_name(name: &str) -> String {
    name.chars().take(MAX_THREAD_NAME_BYTES).collect()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A deployment that runs.
#[derive(Debug)]
pub struct Deployment {
    /// What it was made of.
    pub plan: Plan,
    /// The log.
    pub log: Running<Log>,
    /// The VM list.
    pub vms: Running<Vms>,
    /// Engines by VM.
    pub engines: BTreeMap<VmId, Running<Engine>>,
    /// Servers of the plain service by VM.
    pub services: BTreeMap<VmId, Running<PlainService>>,
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
        let vms_cfg = VmsCfg {
            lag_ms: plan.vms_lag_ms,
            file: None,
        };
        let mut deployment = Self {
            log: Running::start(ANY_PORT, Log::new(plan.log.clone()))?,
            vms: Running::start(ANY_PORT, Vms::new(vms_cfg, VmList::default()))?,
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
        deployment.ready().await?;
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
            cost: plan.accelerator.cost().times(self.plan.slowdown),
            max_batch: self.plan.max_batch,
            checks_tokens: plan.checks_tokens,
            link_delay_us: plan.link_delay_us,
            ..EngineCfg::new(plan.vm.clone(), model, id(VERSION), plan.layers)
        };
        let engine = Running::start(ANY_PORT, Engine::new(cfg))?;
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
        let service = Running::start(ANY_PORT, PlainService::new(ServiceCfg::default()))?;
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
    pub fn leave(&mut self, vm: &VmId) {
        if let Some(row) = self.list.get_mut(vm) {
            row.state = VmState::Leaving;
            self.stops.push(PlannedStop {
                vm: vm.clone(),
                shown_us: wall_clock_us() + self.plan.vms_lag_ms * 1_000,
            });
        }
        self.show_list();
    }

    /// Takes a VM off the VM list.
    pub fn unlist(&mut self, vm: &VmId) {
        self.list.remove(vm);
        self.show_list();
    }

    /// Returns what callers saw together with what every life of every
    /// stand-in has recorded, killed ones included.
    pub fn records(&self, callers: Vec<CallerRecord>, faults: bool) -> Evidence {
        let engine = |(vm, state): &(VmId, Arc<Engine>)| Life {
            vm: vm.clone(),
            records: state.records(),
        };
        let service = |(vm, state): &(VmId, Arc<PlainService>)| Life {
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
        self.show_list();
    }

    fn show_list(&self) {
        self.vms.state.set(VmList {
            vms: self.list.values().cloned().collect(),
        });
    }

    /// Waits until every node is ready and has the whole log and VM list.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub async fn ready(&self) -> Result<(), DeploymentError> {
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
