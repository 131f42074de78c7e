//! The scenarios: the load over time and the incidents of each.

use std::str::FromStr;

use radishhaven_core::{
    config::Link,
    ids::{FailureDomain, Priority},
};
use radishhaven_standin::{
    deployment::{EnginePlan, OrganisationPlan, Plan, id},
    engine::EngineFault,
    log::LogFault,
    service::ServiceFault,
};

use crate::{RunCfg, incident::Incident};

/// Load, relative to the capacity, that a healthy deployment should complete
/// in full.
const STEADY_LOAD: f64 = 0.9;
/// Load, relative to the full capacity, that a deployment should complete
/// after the loss of a failure domain.
const SPARE_LOAD: f64 = 0.6;
/// Number of engines of each stage.
const REPLICAS: usize = 10;
/// Factor on the engines' step times. It keeps the engines the bottleneck, not
/// loopback or the machine's processors.
const SLOWDOWN: u64 = 20;
/// Maximum number of steps in an engine's batch.
const MAX_BATCH: usize = 4;
/// One-way delay of a normal link, in microseconds.
const LINK_US: u64 = 400;
/// One-way delay of a slow link, in microseconds.
const SLOW_LINK_US: u64 = 100 * LINK_US;

/// A named scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Constant load of 0.9 times the capacity.
    Steady,
    /// Bursts of two and five times the capacity, each followed by steady load.
    Overload,
    /// The links of one failure domain have a hundred times the delay.
    SlowLink,
    /// One engine is killed.
    StageDeath,
    /// All engines of a failure domain are killed.
    DomainLoss,
    /// An engine stops answering while its connections stay open.
    SilentStall,
    /// An engine swaps the answers of two steps.
    CrossedAnswers,
    /// One organisation sends ten times its earlier load.
    NoisyOrganisation,
    /// An engine is marked as leaving in the VM list.
    Drain,
    /// A node is killed and restarts without state at another address.
    NodeRestart,
    /// A node is killed and not restarted; callers keep using its address.
    StaleDirectory,
    /// The log is unreachable, then slow, then healthy again.
    LogOutage,
    /// Calls run at the plain service but their answers are lost.
    LostAck,
}

/// Command line name of each scenario.
const SCENARIO_NAMES: [(&str, Scenario); 13] = [
    ("steady", Scenario::Steady),
    ("overload", Scenario::Overload),
    ("slow-link", Scenario::SlowLink),
    ("stage-death", Scenario::StageDeath),
    ("domain-loss", Scenario::DomainLoss),
    ("silent-stall", Scenario::SilentStall),
    ("crossed-answers", Scenario::CrossedAnswers),
    ("noisy-organisation", Scenario::NoisyOrganisation),
    ("drain", Scenario::Drain),
    ("node-restart", Scenario::NodeRestart),
    ("stale-directory", Scenario::StaleDirectory),
    ("log-outage", Scenario::LogOutage),
    ("lost-ack", Scenario::LostAck),
];

/// Section of a run with a constant load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: f64,
    /// Load relative to the capacity of the full deployment.
    pub factor: f64,
    /// Additional load of the noisy organisation, relative to the same capacity.
    pub noisy_factor: f64,
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = SCENARIO_NAMES
            .iter()
            .find(|(scenario_name, _)| *scenario_name == name);
        found
            .map(|(_, scenario)| *scenario)
            .ok_or_else(|| format!("unknown scenario {name:?}; expected {}", Self::NAMES))
    }
}

impl Scenario {
    /// Names of all scenarios, as help text.
    pub const NAMES: &str = "steady, overload, slow-link, stage-death, domain-loss, \
                             silent-stall, crossed-answers, noisy-organisation, drain, \
                             node-restart, stale-directory, log-outage or lost-ack";

    /// Returns the command line name.
    pub fn name(self) -> &'static str {
        let found = SCENARIO_NAMES
            .iter()
            .find(|(_, scenario)| *scenario == self);
        found.map_or("", |(name, _)| *name)
    }

    /// Returns the phases of a run; their lengths add up to `seconds`.
    pub fn phases(self, seconds: f64) -> Vec<Phase> {
        let phase = |fraction: f64, factor: f64, noisy_factor: f64| Phase {
            seconds: fraction * seconds,
            factor,
            noisy_factor,
        };
        match self {
            Self::Steady | Self::SlowLink => vec![phase(1.0, STEADY_LOAD, 0.0)],
            Self::Overload => vec![
                phase(0.2, STEADY_LOAD, 0.0),
                phase(0.2, 2.0, 0.0),
                phase(0.2, STEADY_LOAD, 0.0),
                phase(0.2, 5.0, 0.0),
                phase(0.2, STEADY_LOAD, 0.0),
            ],
            Self::NoisyOrganisation => {
                vec![phase(0.4, SPARE_LOAD, 0.1), phase(0.6, SPARE_LOAD, 1.0)]
            }
            _ => vec![phase(1.0, SPARE_LOAD, 0.0)],
        }
    }

    /// Returns the times from which recovery is measured, as fractions of the
    /// run.
    pub fn recovery_marks(self) -> Vec<f64> {
        match self {
            Self::Steady | Self::SlowLink | Self::NoisyOrganisation => Vec::new(),
            Self::Overload => vec![0.4, 0.8],
            _ => vec![INCIDENT_AT],
        }
    }

    /// Returns the end of the phase that contains or starts at a mark, as a
    /// fraction of the run.
    pub fn phase_end(self, mark: f64) -> f64 {
        let mut end = 0.0;
        let ends = self.phases(1.0).into_iter().map(|phase| {
            end += phase.seconds;
            end
        });
        let after = |end: &f64| *end > mark + FRACTION_TOLERANCE;
        ends.into_iter().find(after).unwrap_or(1.0)
    }

    /// Returns the incidents with their times as fractions of the run. The first
    /// one is at [`INCIDENT_AT`].
    pub fn incidents(self, plan: &Plan) -> Vec<(f64, Incident)> {
        let engines = &plan.engines;
        let one: Vec<EnginePlan> = engines.iter().skip(3).take(1).cloned().collect();
        let of_domain = |domain: &FailureDomain| {
            let lost = engines.iter().filter(|e| e.domain == *domain);
            lost.cloned().collect::<Vec<EnginePlan>>()
        };
        let (node, domain) = plan.nodes[0].clone();
        let first = match self {
            Self::Steady | Self::Overload | Self::SlowLink | Self::NoisyOrganisation => {
                return Vec::new();
            }
            Self::StageDeath => Incident::Kill(one),
            Self::SilentStall => Incident::Fault(one, EngineFault::Stall),
            Self::CrossedAnswers => Incident::Fault(one, EngineFault::Crossed),
            Self::DomainLoss => Incident::Kill(of_domain(&engines[0].domain)),
            Self::Drain => Incident::Leave(one),
            Self::NodeRestart | Self::StaleDirectory => Incident::KillNode(node.clone()),
            Self::LogOutage => Incident::Log(vec![LogFault::Outage]),
            Self::LostAck => Incident::Service(ServiceFault::LoseReplyNext { n: LOST_ACKS }),
        };
        let mut incidents = vec![(INCIDENT_AT, first)];
        match self {
            Self::NodeRestart => incidents.push((RECOVERED_AT, Incident::StartNode(node, domain))),
            Self::LogOutage => {
                let slow = LogFault::Slow {
                    delay_ms: SLOW_LOG_MS,
                };
                incidents.push((LOG_SLOW_AT, Incident::Log(vec![slow])));
                incidents.push((RECOVERED_AT, Incident::Log(Vec::new())));
            }
            _ => {}
        }
        incidents
    }
}

/// Time of the first incident, as a fraction of the run.
pub const INCIDENT_AT: f64 = 0.4;
/// Time at which an unreachable log becomes slow, as a fraction of the run.
const LOG_SLOW_AT: f64 = 0.6;
/// Time at which a node restarts or the log is healthy again, as a fraction of
/// the run.
const RECOVERED_AT: f64 = 0.7;
/// Additional delay of a slow log, in milliseconds.
const SLOW_LOG_MS: u64 = 500;
/// Number of answers that each server of the plain service loses.
const LOST_ACKS: u32 = 20;

/// Tolerance for comparing fractions of a run, against rounding errors.
const FRACTION_TOLERANCE: f64 = 1e-6;

/// Builds the deployment plan of a run.
pub fn plan(cfg: &RunCfg) -> Plan {
    let mut plan = match cfg.deployment.as_str() {
        "roster" => Plan::roster(cfg.nodes, REPLICAS),
        _ => Plan::bitacora(cfg.nodes, REPLICAS),
    };
    plan.slowdown = SLOWDOWN;
    plan.max_batch = MAX_BATCH;
    plan.routing = cfg.policy;
    plan.organisations = organisations();
    if cfg.scenario == Scenario::SlowLink {
        slow_link(&mut plan);
    }
    plan
}

/// Returns ten organisations, the first three with a larger share; the last
/// one is the noisy organisation.
fn organisations() -> Vec<OrganisationPlan> {
    let organisation = |n: usize| OrganisationPlan {
        name: format!("organisation-{n}"),
        priority: Priority(9),
        max_in_flight: 10_000,
        share: if n < 3 { 4 } else { 1 },
    };
    (0..10).map(organisation).collect()
}

/// Adds the slow links of one failure domain to the plan.
fn slow_link(plan: &mut Plan) {
    let slow: FailureDomain = plan.nodes[2 % plan.nodes.len()].1.clone();
    for engine in &mut plan.engines {
        engine.link_delay_us = if engine.domain == slow {
            SLOW_LINK_US
        } else {
            LINK_US
        };
    }
    let domains: Vec<FailureDomain> = ["mvd-centro", "mvd-cordon", "mvd-pocitos"]
        .iter()
        .chain(&["cbd-hall", "northbridge", "east-perth"])
        .map(|name| id(name))
        .collect();
    for from in &domains {
        for to in &domains {
            plan.links.push(Link {
                from: from.clone(),
                to: to.clone(),
                one_way_us: if *to == slow || *from == slow {
                    SLOW_LINK_US
                } else {
                    LINK_US
                },
            });
        }
    }
}
