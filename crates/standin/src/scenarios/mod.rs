//! Named fault scenarios for a complete deployment, evaluated by the checker.
//!
//! Each scenario starts stand-ins and real nodes on loopback, runs a load, injects
//! its fault at a random time that depends on the seed, and returns the
//! violations and the time until tokens arrived again.

mod load;

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use radishhaven_core::ids::{FailureDomain, VmId};
use rand::{Rng, SeedableRng, rngs::StdRng};

use self::load::RequestTrace;
use crate::{
    checker::{Violation, check},
    deployment::{Deployment, DeploymentError, EnginePlan, Plan},
    engine::{EngineFault, EngineRecord},
    wire::wall_clock_us,
};

/// Number of entry nodes.
const NODES: usize = 2;
/// Number of engines per stage.
const ENGINES_PER_STAGE: usize = 3;
/// Time that a backend server keeps running after the VM list marks it as leaving.
const LEAVING_DURATION: Duration = Duration::from_millis(6_500);
/// Time that callers cache the address of a node; a node that shuts down keeps
/// serving them for this long.
const DIRECTORY_KEEP: Duration = Duration::from_millis(1_000);
/// Additional delay of a slow link in each direction, in microseconds.
const SLOW_LINK_US: u64 = 50_000;

/// A scenario, named after its fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// An engine dies in the middle of requests.
    StageDeath,
    /// An engine becomes unresponsive while its connections stay open.
    SilentStall,
    /// A link becomes a hundred times slower.
    SlowLink,
    /// Replies of engines are lost, duplicated, swapped and delayed.
    CrossedAnswers,
    /// All backend servers of a failure domain die at the same time.
    DomainLoss,
    /// A backend server leaves as planned and stops after the leaving period.
    Drain,
    /// An engine dies while another one of the same stage is unresponsive.
    StageDeathSilentStall,
    /// A failure domain fails while the link to an engine in another one is a
    /// hundred times slower.
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
    /// Returns whether the scenario is a planned shutdown, which must interrupt no
    /// request.
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

/// An error on parsing the name of a scenario.
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

/// The load and the node settings of a scenario.
#[derive(Debug, Clone)]
pub struct ScenarioConfig {
    /// Number of concurrent callers, each with one request at a time.
    pub callers: usize,
    /// Length of a prompt in bytes.
    pub prompt: usize,
    /// Maximum number of tokens of an answer.
    pub max_tokens: u32,
    /// INI text appended to the settings of each node.
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

/// The result of a scenario run.
#[derive(Debug, Clone, Default)]
pub struct ScenarioResult {
    /// The violations that the checker found.
    pub violations: Vec<Violation>,
    /// Number of completed requests.
    pub completed: usize,
    /// Number of requests that did not complete, by kind and outcome.
    pub not_completed: BTreeMap<String, usize>,
    /// Time from the fault to the next token, for each affected request.
    pub recovery_times: Vec<Duration>,
    /// Number of positions that ran again.
    pub repeated_positions: u64,
    /// Number of stages resumed from an imported KV cache.
    pub imports: u64,
    /// Number of stages that replayed retained inputs.
    pub replays: u64,
    /// Number of stages replaced together with all stages before them.
    pub restarts: u64,
    /// Number of KV cache exports.
    pub exports: u64,
}

/// Runs a scenario once.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started.
pub async fn run(
    scenario: Scenario,
    seed: u64,
    config: &ScenarioConfig,
) -> Result<ScenarioResult, DeploymentError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Plan::bitacora(NODES, ENGINES_PER_STAGE);
    plan.settings = config.settings.clone();
    if scenario == Scenario::NodeDrain {
        let keep_ms = DIRECTORY_KEEP.as_millis();
        plan.settings += &format!("[directory]\nkeep_ms = {keep_ms}\n");
    }
    let mut deployment = Deployment::start(plan).await?;
    let duration = match scenario {
        Scenario::Drain => LEAVING_DURATION + Duration::from_millis(500),
        Scenario::NodeDrain => DIRECTORY_KEEP * 2 + Duration::from_millis(500),
        _ => Duration::from_millis(900),
    };
    let load = load::start(&deployment, config, seed, duration);
    tokio::time::sleep(Duration::from_millis(rng.random_range(150..450))).await;
    let fault_us = wall_clock_us();
    let affected = inject(scenario, &mut deployment, &mut rng).await;
    let traces = load.await;
    Ok(evaluate(scenario, &deployment, traces, &affected, fault_us))
}

/// Injects the fault and returns the affected engines.
async fn inject(scenario: Scenario, deployment: &mut Deployment, rng: &mut StdRng) -> Vec<VmId> {
    let count = deployment.plan.engines.len();
    let vm = deployment.plan.engines[rng.random_range(0..count)]
        .vm
        .clone();
    match scenario {
        Scenario::StageDeath => kill_engine(deployment, &vm),
        Scenario::SilentStall => set_faults(deployment, &vm, vec![EngineFault::Stall]),
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
                set_faults(deployment, vm, faults);
            }
        }
        Scenario::DomainLoss => {
            let domain = deployment.plan.engines[0].domain.clone();
            return kill_domain(deployment, &domain);
        }
        Scenario::Drain => {
            deployment.mark_leaving(&vm);
            tokio::time::sleep(LEAVING_DURATION).await;
            kill_engine(deployment, &vm);
        }
        Scenario::StageDeathSilentStall => {
            let stalled = other_engine(deployment, &vm, |dead, e| e.layers == dead.layers);
            set_faults(deployment, &stalled, vec![EngineFault::Stall]);
            kill_engine(deployment, &vm);
            return vec![vm, stalled];
        }
        Scenario::DomainLossSlowLink => {
            let slow = other_engine(deployment, &vm, |lost, e| e.domain != lost.domain);
            slow_link(deployment, &slow);
            let lost = deployment.plan.engines.iter().find(|e| e.vm == vm);
            let domain = lost.expect("the engine is in the plan").domain.clone();
            let mut affected = kill_domain(deployment, &domain);
            affected.push(slow);
            return affected;
        }
        Scenario::NodeDrain => {
            let (node, _) = deployment.plan.nodes[rng.random_range(0..NODES)].clone();
            let process = deployment.nodes.remove(&node).expect("the node is running");
            assert!(process.drain().await, "{node} stopped with open requests");
            return Vec::new();
        }
    }
    vec![vm]
}

/// Returns an engine other than `vm` for which `is_candidate` holds.
///
/// `is_candidate` receives the engine on `vm` and the candidate.
fn other_engine(
    deployment: &Deployment,
    vm: &VmId,
    is_candidate: impl Fn(&EnginePlan, &EnginePlan) -> bool,
) -> VmId {
    let engines = &deployment.plan.engines;
    let reference_engine = engines
        .iter()
        .find(|e| e.vm == *vm)
        .expect("the engine is in the plan");
    let mut others = engines
        .iter()
        .filter(|e| e.vm != *vm && is_candidate(reference_engine, e));
    let other = others
        .next()
        .expect("each stage and failure domain has several engines");
    other.vm.clone()
}

fn slow_link(deployment: &Deployment, vm: &VmId) {
    let delay_us = SLOW_LINK_US;
    set_faults(deployment, vm, vec![EngineFault::SlowLink { delay_us }]);
}

fn kill_engine(deployment: &mut Deployment, vm: &VmId) {
    if let Some(engine) = deployment.engines.remove(vm) {
        engine.kill();
    }
}

fn set_faults(deployment: &Deployment, vm: &VmId, faults: Vec<EngineFault>) {
    if let Some(engine) = deployment.engines.get(vm) {
        engine.state.set_faults(faults);
    }
}

fn kill_domain(deployment: &mut Deployment, domain: &FailureDomain) -> Vec<VmId> {
    let engines = deployment.plan.engines.iter();
    let affected: Vec<VmId> = engines
        .filter(|e| e.domain == *domain)
        .map(|e| e.vm.clone())
        .collect();
    for vm in &affected {
        kill_engine(deployment, vm);
    }
    let services = deployment.plan.services.clone();
    for service in services.iter().filter(|s| s.domain == *domain) {
        if let Some(service) = deployment.services.remove(&service.vm) {
            service.kill();
        }
    }
    affected
}

fn evaluate(
    scenario: Scenario,
    deployment: &Deployment,
    traces: Vec<RequestTrace>,
    affected: &[VmId],
    fault_us: u64,
) -> ScenarioResult {
    let mut result = ScenarioResult::default();
    let callers = traces.iter().map(|s| s.record.clone()).collect();
    let evidence = deployment.evidence(callers, !scenario.is_planned());
    result.violations = check(&evidence);
    for trace in &traces {
        if trace.completed() {
            result.completed += 1;
        } else {
            *result
                .not_completed
                .entry(trace.outcome_label())
                .or_default() += 1;
        }
        let ran_on_affected = evidence
            .engines
            .iter()
            .filter(|process| affected.contains(&process.vm))
            .flat_map(|process| &process.records)
            .any(|record| match record {
                EngineRecord::Run(run) => {
                    Some(&run.session.request) == trace.record.id.as_ref() && run.at_us <= fault_us
                }
                _ => false,
            });
        if ran_on_affected && let Some(next_us) = trace.next_token_us(fault_us) {
            result
                .recovery_times
                .push(Duration::from_micros(next_us - fault_us));
        }
    }
    for node in deployment.nodes.values() {
        node.node.host.read(|node| {
            let counters = &node.tables().counters;
            result.repeated_positions += counters.repeated_positions;
            result.imports += counters.imports;
            result.replays += counters.replays;
            result.restarts += counters.restarts;
            result.exports += counters.exports;
        });
    }
    result
}
