//! The scenarios: how the load goes over time, and what happens when.

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

/// Load at which a deployment should complete all, over its capacity.
const STEADY: f64 = 0.9;
/// Load at which a deployment that lost a failure domain should complete all.
const SPARE: f64 = 0.6;
/// Engines of each stage.
const REPLICAS: usize = 10;
/// Factor on the engines' step times, so that neither loopback nor the
/// processors of the machine bound the work.
const SLOWDOWN: u64 = 20;
/// Steps in a batch at most.
const MAX_BATCH: usize = 4;
/// One-way time of an ordinary link, in microseconds.
const LINK_US: u64 = 400;
/// One-way time of a slow link, in microseconds.
const SLOW_LINK_US: u64 = 100 * LINK_US;

/// A named scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// 0.9 of the capacity.
    Steady,
    /// Twice and five times the capacity for a while, then back.
    Overload,
    /// The links of one failure domain are a hundred times slower.
    SlowLink,
    /// An engine is lost.
    StageDeath,
    /// A failure domain's engines are lost.
    DomainLoss,
    /// An engine answers nothing while its connections stay open.
    SilentStall,
    /// Engines swap the answers of two steps.
    CrossedAnswers,
    /// One organisation sends ten times what it sent before.
    NoisyOrganisation,
    /// An engine and a server of the plain service leave as planned.
    Drain,
    /// A node is killed and comes back empty at another address.
    NodeRestart,
    /// A node is killed for good; callers keep its address.
    StaleDirectory,
    /// The log is down, then slow, then back.
    LogOutage,
    /// Calls take effect and their answers are lost.
    LostAck,
}

const NAMED: [(&str, Scenario); 13] = [
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

/// A part of a run with a constant load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: f64,
    /// Load over the capacity of the whole deployment.
    pub factor: f64,
    /// Load of the noisy organisation on top, likewise.
    pub noisy: f64,
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = NAMED.iter().find(|(known, _)| *known == name);
        found
            .map(|(_, scenario)| *scenario)
            .ok_or_else(|| format!("{name:?} is no scenario: use {}", Self::NAMES))
    }
}

impl Scenario {
    /// All names.
    pub const NAMES: &str = "steady, overload, slow-link, stage-death, domain-loss, \
                             silent-stall, crossed-answers, noisy-organisation, drain, \
                             node-restart, stale-directory, log-outage or lost-ack";

    /// Returns the name.
    pub fn name(self) -> &'static str {
        let found = NAMED.iter().find(|(_, scenario)| *scenario == self);
        found.map_or("", |(name, _)| *name)
    }

    /// Returns the load over time; the lengths sum up to `seconds`.
    pub fn phases(self, seconds: f64) -> Vec<Phase> {
        let phase = |part: f64, factor: f64, noisy: f64| Phase {
            seconds: part * seconds,
            factor,
            noisy,
        };
        match self {
            Self::Steady | Self::SlowLink => vec![phase(1.0, STEADY, 0.0)],
            Self::Overload => vec![
                phase(0.2, STEADY, 0.0),
                phase(0.2, 2.0, 0.0),
                phase(0.2, STEADY, 0.0),
                phase(0.2, 5.0, 0.0),
                phase(0.2, STEADY, 0.0),
            ],
            Self::NoisyOrganisation => vec![phase(0.4, SPARE, 0.1), phase(0.6, SPARE, 1.0)],
            _ => vec![phase(1.0, SPARE, 0.0)],
        }
    }

    /// Returns the moments, as parts of the run, from which recovery counts.
    pub fn marks(self) -> Vec<f64> {
        match self {
            Self::Steady | Self::SlowLink | Self::NoisyOrganisation => Vec::new(),
            Self::Overload => vec![0.4, 0.8],
            _ => vec![INCIDENT_AT],
        }
    }

    /// Returns the end of the phase that begins at a mark, as part of the run.
    pub fn level_until(self, mark: f64) -> f64 {
        let mut end = 0.0;
        let ends = self.phases(1.0).into_iter().map(|phase| {
            end += phase.seconds;
            end
        });
        let after = |end: &f64| *end > mark + PHASE_SLACK;
        ends.into_iter().find(after).unwrap_or(1.0)
    }

    /// Returns what happens, and when as part of the run; the first is at
    /// [`INCIDENT_AT`].
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
            Self::NodeRestart => incidents.push((BACK_AT, Incident::StartNode(node, domain))),
            Self::LogOutage => {
                let slow = LogFault::Slow {
                    delay_ms: SLOW_LOG_MS,
                };
                incidents.push((SLOW_AT, Incident::Log(vec![slow])));
                incidents.push((BACK_AT, Incident::Log(Vec::new())));
            }
            _ => {}
        }
        incidents
    }
}

/// When the incident of a scenario happens, as part of the run.
pub const INCIDENT_AT: f64 = 0.4;
/// When a log that was down is slow, likewise.
const SLOW_AT: f64 = 0.6;
/// When a node or the log is back, likewise.
const BACK_AT: f64 = 0.7;
/// Added time of a slow log in milliseconds.
const SLOW_LOG_MS: u64 = 500;
/// Answers of each server of the plain service that get lost.
const LOST_ACKS: u32 = 20;

/// Parts of a run that are closer than this are one.
const PHASE_SLACK: f64 = 1e-6;

/// Makes the plan of a run.
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

/// Ten organisations, a few of them large; the last one is noisy.
fn organisations() -> Vec<OrganisationPlan> {
    let organisation = |n: usize| OrganisationPlan {
        name: format!("organisation-{n}"),
        priority: Priority(9),
        max_in_flight: 10_000,
        share: if n < 3 { 4 } else { 1 },
    };
    (0..10).map(organisation).collect()
}

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
