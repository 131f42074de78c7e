//! Named faults over a whole deployment, judged by the checker.
//!
//! Each scenario starts stand-ins and real nodes on loopback, keeps callers
//! busy, injects its fault at a seeded moment and returns what the checker
//! found and how long it took until tokens flowed again.

mod load;

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use radishhaven_core::ids::{FailureDomain, VmId};
use rand::{Rng, SeedableRng, rngs::StdRng};

use self::load::Stream;
use crate::{
    checker::{Violation, check},
    deployment::{Deployment, DeploymentError, EnginePlan, Plan},
    engine::{EngineFault, EngineRecord},
    wire::wall_clock_us,
};

/// Nodes of a scenario's deployment.
const NODES: usize = 2;
/// Engines for each stage.
const REPLICAS: usize = 3;
/// Time for which a drain goes on after the VM list showed it.
const DRAIN: Duration = Duration::from_millis(6_500);
/// Time for which a node that shuts down serves callers that keep its address.
const NODE_KEEP: Duration = Duration::from_millis(1_000);
/// Time by which a slow link delays each message, in microseconds.
const SLOW_LINK_US: u64 = 50_000;

/// A fault by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// An engine dies in the middle of requests.
    StageDeath,
    /// An engine answers nothing while its connections stay open.
    SilentStall,
    /// A link becomes a hundred times slower.
    SlowLink,
    /// Replies of engines are lost, doubled, swapped and late.
    CrossedAnswers,
    /// All backend servers of a failure domain die together.
    DomainLoss,
    /// A backend server leaves as planned, and stops when its time is over.
    Drain,
    /// An engine dies while another one of its stage answers nothing.
    StageDeathSilentStall,
    /// A failure domain is lost while the link to an engine of another one is
    /// a hundred times slower.
    DomainLossSlowLink,
    /// An entry node shuts down as planned.
    NodeDrain,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 9] = [
        Self::StageDeath,
        Self::SilentStall,
        Self::SlowLink,
        Self::CrossedAnswers,
        Self::DomainLoss,
        Self::Drain,
        Self::StageDeathSilentStall,
        Self::DomainLossSlowLink,
        Self::NodeDrain,
    ];
}

impl Scenario {
    /// Tells whether nothing fails, so that no request may be cut.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Drain | Self::NodeDrain)
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StageDeath => "stage-death",
            Self::SilentStall => "silent-stall",
            Self::SlowLink => "slow-link",
            Self::CrossedAnswers => "crossed-answers",
            Self::DomainLoss => "domain-loss",
            Self::Drain => "drain",
            Self::StageDeathSilentStall => "stage-death-silent-stall",
            Self::DomainLossSlowLink => "domain-loss-slow-link",
            Self::NodeDrain => "node-drain",
        })
    }
}

/// Says that a text names no scenario.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no scenario is named {0}")]
pub struct ScenarioError(String);

impl FromStr for Scenario {
    type Err = ScenarioError;

    fn from_str(text: &str) -> Result<Self, ScenarioError> {
        let found = Self::ALL.into_iter().find(|s| s.to_string() == text);
        found.ok_or_else(|| ScenarioError(text.to_owned()))
    }
}

/// How much a scenario asks for.
#[derive(Debug, Clone)]
pub struct ScenarioConfig {
    /// Callers that send one request after the other.
    pub callers: usize,
    /// Bytes of a prompt.
    pub prompt: usize,
    /// Tokens of an answer at most.
    pub max_tokens: u32,
    /// INI lines for the nodes.
    pub settings: String,
}

impl Default for ScenarioConfig {
    fn default() -> Self {
        Self {
            callers: 6,
            prompt: 40,
            max_tokens: 48,
            settings: String::new(),
        }
    }
}

/// What came out of one run of a scenario.
#[derive(Debug, Clone, Default)]
pub struct ScenarioResult {
    /// What the checker found.
    pub violations: Vec<Violation>,
    /// Requests that completed.
    pub completed: usize,
    /// Requests that ended otherwise, by their end.
    pub not_completed: BTreeMap<String, usize>,
    /// For each request that the fault hit, the time until its next token.
    pub recovery_times: Vec<Duration>,
    /// Positions that were run again.
    pub repeated_positions: u64,
    /// Stages that went on from KV cache.
    pub imports: u64,
    /// Stages that ran kept inputs anew.
    pub replays: u64,
    /// Stages that were replaced together with those before them.
    pub restarts: u64,
    /// Exports of KV cache.
    pub exports: u64,
}

/// Runs a scenario once.
///
/// # Errors
///
/// Fails if the deployment can't be started.
pub async fn run(
    scenario: Scenario,
    seed: u64,
    size: &ScenarioConfig,
) -> Result<ScenarioResult, DeploymentError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Plan::bitacora(NODES, REPLICAS);
    plan.settings = size.settings.clone();
    if scenario == Scenario::NodeDrain {
        let keep_ms = NODE_KEEP.as_millis();
        plan.settings += &format!("[directory]\nkeep_ms = {keep_ms}\n");
    }
    let mut deployment = Deployment::start(plan).await?;
    let lasting = match scenario {
        Scenario::Drain => DRAIN + Duration::from_millis(500),
        Scenario::NodeDrain => NODE_KEEP * 2 + Duration::from_millis(500),
        _ => Duration::from_millis(900),
    };
    let load = load::start(&deployment, size, seed, lasting);
    tokio::time::sleep(Duration::from_millis(rng.random_range(150..450))).await;
    let fault_us = wall_clock_us();
    let hit = inject(scenario, &mut deployment, &mut rng).await;
    let streams = load.await;
    Ok(judge(scenario, &deployment, streams, &hit, fault_us))
}

/// Injects the fault; returns the engines that it hit.
async fn inject(scenario: Scenario, deployment: &mut Deployment, rng: &mut StdRng) -> Vec<VmId> {
    let count = deployment.plan.engines.len();
    let vm = deployment.plan.engines[rng.random_range(0..count)]
        .vm
        .clone();
    match scenario {
        Scenario::StageDeath => kill(deployment, &vm),
        Scenario::SilentStall => fault(deployment, &vm, vec![EngineFault::Stall]),
        Scenario::SlowLink => slow_link(deployment, &vm),
        Scenario::CrossedAnswers => {
            for vm in deployment.engines.keys() {
                let n = rng.random_range(1..6);
                let faults = vec![
                    EngineFault::Crossed,
                    EngineFault::DuplicateReplyNext { n },
                    EngineFault::LoseReplyNext { n },
                    EngineFault::LateReplies { delay_ms: 3 },
                ];
                fault(deployment, vm, faults);
            }
        }
        Scenario::DomainLoss => {
            let domain = deployment.plan.engines[0].domain.clone();
            return lose_domain(deployment, &domain);
        }
        Scenario::Drain => {
            deployment.mark_leaving(&vm);
            tokio::time::sleep(DRAIN).await;
            kill(deployment, &vm);
        }
        Scenario::StageDeathSilentStall => {
            let twin = other_engine(deployment, &vm, |dead, e| e.layers == dead.layers);
            fault(deployment, &twin, vec![EngineFault::Stall]);
            kill(deployment, &vm);
            return vec![vm, twin];
        }
        Scenario::DomainLossSlowLink => {
            let slow = other_engine(deployment, &vm, |lost, e| e.domain != lost.domain);
            slow_link(deployment, &slow);
            let lost = deployment.plan.engines.iter().find(|e| e.vm == vm);
            let domain = lost.expect("it is planned").domain.clone();
            let mut hit = lose_domain(deployment, &domain);
            hit.push(slow);
            return hit;
        }
        Scenario::NodeDrain => {
            let (node, _) = deployment.plan.nodes[rng.random_range(0..NODES)].clone();
            let process = deployment.nodes.remove(&node).expect("the node runs");
            assert!(process.drain().await, "{node} left requests open");
            return Vec::new();
        }
    }
    vec![vm]
}

/// Returns an engine that stands in a relation to another one.
fn other_engine(
    deployment: &Deployment,
    vm: &VmId,
    related: impl Fn(&EnginePlan, &EnginePlan) -> bool,
) -> VmId {
    let engines = &deployment.plan.engines;
    let one = engines.iter().find(|e| e.vm == *vm).expect("it is planned");
    let mut others = engines.iter().filter(|e| e.vm != *vm && related(one, e));
    let other = others.next().expect("each stage and domain has several");
    other.vm.clone()
}

fn slow_link(deployment: &Deployment, vm: &VmId) {
    let delay_us = SLOW_LINK_US;
    fault(deployment, vm, vec![EngineFault::SlowLink { delay_us }]);
}

fn kill(deployment: &mut Deployment, vm: &VmId) {
    if let Some(engine) = deployment.engines.remove(vm) {
        engine.kill();
    }
}

fn fault(deployment: &Deployment, vm: &VmId, faults: Vec<EngineFault>) {
    if let Some(engine) = deployment.engines.get(vm) {
        engine.state.set_faults(faults);
    }
}

fn lose_domain(deployment: &mut Deployment, domain: &FailureDomain) -> Vec<VmId> {
    let engines = deployment.plan.engines.iter();
    let hit: Vec<VmId> = engines
        .filter(|e| e.domain == *domain)
        .map(|e| e.vm.clone())
        .collect();
    for vm in &hit {
        kill(deployment, vm);
    }
    let services = deployment.plan.services.clone();
    for service in services.iter().filter(|s| s.domain == *domain) {
        if let Some(service) = deployment.services.remove(&service.vm) {
            service.kill();
        }
    }
    hit
}

fn judge(
    scenario: Scenario,
    deployment: &Deployment,
    streams: Vec<Stream>,
    hit: &[VmId],
    fault_us: u64,
) -> ScenarioResult {
    let mut out = ScenarioResult::default();
    let callers = streams.iter().map(|s| s.record.clone()).collect();
    let evidence = deployment.evidence(callers, !scenario.is_planned());
    out.violations = check(&evidence);
    for stream in &streams {
        if stream.completed() {
            out.completed += 1;
        } else {
            *out.not_completed.entry(stream.end()).or_default() += 1;
        }
        let on_hit = evidence
            .engines
            .iter()
            .filter(|life| hit.contains(&life.vm))
            .flat_map(|life| &life.records)
            .any(|record| match record {
                EngineRecord::Run(run) => {
                    Some(&run.session.request) == stream.record.id.as_ref() && run.at_us <= fault_us
                }
                _ => false,
            });
        if on_hit && let Some(next_us) = stream.next_token_us(fault_us) {
            out.recovery_times
                .push(Duration::from_micros(next_us - fault_us));
        }
    }
    for node in deployment.nodes.values() {
        node.node.host.read(|node| {
            let counters = &node.tables().counters;
            out.repeated_positions += counters.repeated_positions;
            out.imports += counters.imports;
            out.replays += counters.replays;
            out.restarts += counters.restarts;
            out.exports += counters.exports;
        });
    }
    out
}
