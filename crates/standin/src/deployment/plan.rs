//! Describes the components of a deployment and builds its configuration batch.

use std::collections::{BTreeMap, BTreeSet};

use radishhaven_core::{
    config::{
        BATCH_FORMAT, Backend, Batch, Change, Deployment as DeploymentObject, Link, Model, Object,
        Organisation, Pipeline, RoutingPolicy, Service, Workload,
    },
    ids::{
        BatchId, FailureDomain, LayerRange, ModelId, PipelineId, Priority, Revision, ServiceId,
        VersionId, VmId,
    },
};
use sha2::{Digest, Sha256};

use crate::{engine::Accelerator, log::LogCfg};

/// An engine of a plan.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// The VM that it runs on.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The kind of accelerator.
    pub accelerator: Accelerator,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Delay of its link in each direction, in microseconds.
    pub link_delay_us: u64,
    /// Whether it refuses orders with stale fencing tokens.
    pub checks_tokens: bool,
}

/// A server of the plain service of a plan.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The VM that it runs on.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
}

/// An organisation of a plan, whose bearer token is its name.
#[derive(Debug, Clone)]
pub struct OrganisationPlan {
    /// Its name.
    pub name: String,
    /// The highest priority of its requests.
    pub priority: Priority,
    /// Its limit on requests in flight.
    pub max_in_flight: u32,
    /// Its weight in sharing capacity with other organisations.
    pub share: u32,
}

/// The components and settings of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The pipeline, whose model has the same name.
    pub pipeline: PipelineId,
    /// Number of layers of the model.
    pub layers: u16,
    /// The plain service.
    pub service: ServiceId,
    /// Idempotent operations of the service.
    pub idempotent: BTreeSet<String>,
    /// Entry nodes and their failure domains.
    pub nodes: Vec<(VmId, FailureDomain)>,
    /// The engines.
    pub engines: Vec<EnginePlan>,
    /// The servers of the plain service.
    pub services: Vec<ServicePlan>,
    /// The organisations.
    pub organisations: Vec<OrganisationPlan>,
    /// INI text appended to the settings of each node.
    pub settings: String,
    /// Settings of the log.
    pub log: LogCfg,
    /// Delay in milliseconds until a change of the VM list becomes visible.
    pub vm_list_lag_ms: u64,
    /// Factor that multiplies the processing time of every step.
    pub slowdown: u64,
    /// Maximum number of steps in a batch of an engine.
    pub max_batch: usize,
    /// The policy by which nodes select backend servers.
    pub routing: RoutingPolicy,
    /// Configured links between failure domains.
    pub links: Vec<Link>,
}

/// The model version that all engines of a plan initially hold.
pub const VERSION: &str = "v1";

/// Parses an identifier that must be valid.
///
/// # Panics
///
/// Panics if the name is invalid.
pub fn id<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("names in plans are valid")
}

impl Plan {
    /// Creates a plan with `nodes` entry nodes and `replicas` engines for each of
    /// three stages.
    ///
    /// The components are distributed over the three failure domains. The engines
    /// of a stage cycle through the kinds of accelerator.
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
            vm_list_lag_ms: 0,
            slowdown: 1,
            max_batch: 16,
            routing: RoutingPolicy::default(),
            links: Vec::new(),
        }
    }

    /// Creates the plan of the example deployment in Montevideo.
    pub fn bitacora(nodes: usize, replicas: usize) -> Self {
        let domains = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];
        Self::new(domains, "dictado", "libro", nodes, replicas)
    }

    /// Creates the plan of the example deployment in Perth.
    pub fn roster(nodes: usize, replicas: usize) -> Self {
        let domains = ["cbd-hall", "northbridge", "east-perth"];
        Self::new(domains, "brief-writer", "roster-desk", nodes, replicas)
    }

    /// Returns the first batch, which configures all objects of the plan.
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
            let carries = Workload::Layers {
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
            let carries = Workload::Service(self.service.clone());
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

    /// Returns a batch that changes the pipeline and all engines to `version`.
    ///
    /// It applies to a deployment at revision 1, after the batch of
    /// [`Plan::batch`].
    ///
    /// # Panics
    ///
    /// Panics if `version` is not a valid name.
    pub fn batch_to_version(&self, version: &str) -> Batch {
        let mut batch = self.batch();
        batch.changes.retain_mut(|change| match change {
            Change::Put(Object::Pipeline(pipeline)) => {
                pipeline.version = id(version);
                true
            }
            Change::Put(Object::Backend(backend)) => match &mut backend.carries {
                Workload::Layers { version: v, .. } => {
                    *v = id(version);
                    true
                }
                Workload::Service(_) => false,
            },
            _ => false,
        });
        let keys = batch.changes.iter().map(Change::key);
        Batch {
            format: BATCH_FORMAT,
            batch: id(&format!("to-{version}")),
            base: keys.map(|key| (key, Revision(1))).collect(),
            ..batch
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
