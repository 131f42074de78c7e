//! The requests of a run, drawn from a seed before it begins.

use std::time::Duration;

use radishhaven_core::ids::ModelId;
use radishhaven_standin::{
    bound::{self, EngineCapacity, MeanRequest},
    deployment::{EnginePlan, Plan, VERSION, id},
    reference,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{RunCfg, scenario::Phase};

/// Share of requests that go to the plain service, of all requests.
const CALL_SHARE: f64 = 0.1;
/// Share of completions that prepare a hearing, at the roster desk.
const HEARING_SHARE: f64 = 0.2;
/// Prompts of an organisation that begin alike.
const PREFIXES: u32 = 8;
/// Requests from which the mean request is worked out.
const MEAN_OF: usize = 2_000;

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A dictation or an ordinary briefing.
    Ordinary,
    /// A briefing for a hearing that does not wait.
    Hearing,
    /// A call that may run once at most.
    Booking,
}

impl Purpose {
    /// Returns the time in which the answer is of use.
    pub fn useful(self) -> Duration {
        Duration::from_millis(match self {
            Self::Ordinary => 4_000,
            Self::Hearing => 3_000,
            Self::Booking => 2_000,
        })
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it is sent, in seconds.
    pub at: f64,
    /// What it is for.
    pub purpose: Purpose,
    /// Whose it is, as a number into the plan.
    pub organisation: usize,
    /// The node that it is sent to, likewise.
    pub node: usize,
    /// The prompt.
    pub prompt: String,
    /// The largest number of tokens.
    pub max_tokens: u32,
    /// The right answer.
    pub text: String,
}

/// All requests of a run and what the deployment could complete of them.
#[derive(Debug)]
pub struct Load {
    /// The requests by time.
    pub arrivals: Vec<Arrival>,
    /// The phases.
    pub phases: Vec<Phase>,
    /// Tokens of the mean completion.
    pub mean_tokens: f64,
    /// Completions a second, before and after the incident.
    pub capacity: [f64; 2],
}

/// Draws the requests of a run.
pub fn draw(cfg: &RunCfg, plan: &Plan) -> Load {
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let sample: Vec<Arrival> = (0..MEAN_OF)
        .map(|_| completion(cfg, plan, &mut rng, 0.0))
        .collect();
    let mean = mean_request(&sample);
    let capacity = [
        capacity(cfg, plan, mean, false),
        capacity(cfg, plan, mean, true),
    ];
    let phases = cfg.scenario.phases(cfg.seconds);
    let mut arrivals = Vec::new();
    let mut start = 0.0;
    for phase in &phases {
        let rate = phase.factor * capacity[0];
        arrivals.extend(poisson(&mut rng, rate, start, phase.seconds, |rng, at| {
            request(cfg, plan, rng, at)
        }));
        let rate = phase.noisy * capacity[0];
        arrivals.extend(poisson(&mut rng, rate, start, phase.seconds, |rng, at| {
            let organisation = plan.organisations.len() - 1;
            Arrival {
                organisation,
                ..completion(cfg, plan, rng, at)
            }
        }));
        start += phase.seconds;
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    Load {
        arrivals,
        phases,
        mean_tokens: mean.tokens,
        capacity,
    }
}

fn poisson(
    rng: &mut StdRng,
    rate: f64,
    start: f64,
    seconds: f64,
    make: impl Fn(&mut StdRng, f64) -> Arrival,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    if rate <= 0.0 {
        return arrivals;
    }
    let mut at = start;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= start + seconds {
            return arrivals;
        }
        arrivals.push(make(rng, at));
    }
}

/// Bookings come on top of the completions, which alone fill the engines.
fn request(cfg: &RunCfg, plan: &Plan, rng: &mut StdRng, at: f64) -> Arrival {
    let arrival = completion(cfg, plan, rng, at);
    if rng.random_bool(CALL_SHARE) {
        return Arrival {
            purpose: Purpose::Booking,
            ..arrival
        };
    }
    arrival
}

fn completion(cfg: &RunCfg, plan: &Plan, rng: &mut StdRng, at: f64) -> Arrival {
    let organisations = plan.organisations.len();
    // Half of all requests come from the first third of the organisations.
    let organisation = if rng.random_bool(0.5) {
        rng.random_range(0..organisations.div_ceil(3))
    } else {
        rng.random_range(0..organisations - 1)
    };
    let prefix = format!(
        "client-{organisation:02}-{:06}",
        rng.random_range(0..PREFIXES)
    );
    let rest: String = (0..rng.random_range(16..48))
        .map(|_| rng.random_range('a'..='z'))
        .collect();
    let prompt = prefix + &rest;
    let max_tokens = rng.random_range(4..=12);
    let model: ModelId = id(plan.pipeline.as_str());
    let text = reference::generate(&model, &id(VERSION), plan.layers, &prompt, max_tokens);
    let hearing = cfg.deployment == "roster" && rng.random_bool(HEARING_SHARE);
    Arrival {
        at,
        purpose: if hearing {
            Purpose::Hearing
        } else {
            Purpose::Ordinary
        },
        organisation,
        node: rng.random_range(0..plan.nodes.len()),
        prompt,
        max_tokens,
        text,
    }
}

fn mean_request(sample: &[Arrival]) -> MeanRequest {
    let mean = |value: &dyn Fn(&Arrival) -> usize| {
        sample.iter().map(|a| value(a) as f64).sum::<f64>() / sample.len() as f64
    };
    MeanRequest {
        prompt: mean(&|a| a.prompt.len()),
        tokens: mean(&|a| a.text.len()),
    }
}

fn capacity(cfg: &RunCfg, plan: &Plan, mean: MeanRequest, after: bool) -> f64 {
    let incidents = match after {
        true => cfg.scenario.incidents(plan),
        false => Vec::new(),
    };
    let lost = |engine: &EnginePlan| {
        let mut lost = incidents.iter().flat_map(|(_, incident)| incident.lost());
        lost.any(|e| e.vm == engine.vm)
    };
    let engines: Vec<EngineCapacity> = plan
        .engines
        .iter()
        .filter(|engine| !lost(engine))
        .map(|engine| EngineCapacity {
            layers: engine.layers,
            cost: engine.accelerator.cost().scaled(plan.slowdown),
            max_batch: plan.max_batch,
        })
        .collect();
    bound::max_throughput(&engines, plan.layers, mean)
}
