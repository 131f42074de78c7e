//! Generates the requests of a run from a seed, before the run starts.

use std::time::Duration;

use radishhaven_core::ids::ModelId;
use radishhaven_standin::{
    bound::{self, EngineCapacity, MeanRequest},
    deployment::{EnginePlan, Plan, VERSION, id},
    reference,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{RunCfg, scenario::Phase};

/// Share of requests that are bookings at the plain service.
const CALL_SHARE: f64 = 0.1;
/// Share of completions that are hearing briefings in the `roster` deployment.
const HEARING_SHARE: f64 = 0.2;
/// Number of distinct prompt prefixes of each organisation.
const PREFIXES_PER_ORGANISATION: u32 = 8;
/// Number of sampled requests from which the mean request is computed.
const MEAN_SAMPLE_SIZE: usize = 2_000;

/// Kind of a request; sets its deadline and its priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A dictation or a briefing without urgency.
    Ordinary,
    /// An urgent briefing for a hearing.
    Hearing,
    /// A call to the plain service that must run at most once.
    Booking,
}

impl Purpose {
    /// Returns the time after sending within which the answer must arrive.
    pub fn deadline(self) -> Duration {
        Duration::from_millis(match self {
            Self::Ordinary => 4_000,
            Self::Hearing => 3_000,
            Self::Booking => 2_000,
        })
    }
}

/// One generated request with its expected answer.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Send time in seconds after the start of the run.
    pub at: f64,
    /// Kind of the request.
    pub purpose: Purpose,
    /// Index of the organisation in the plan.
    pub organisation: usize,
    /// Index in the plan of the node that receives the request first.
    pub node: usize,
    /// Prompt of a completion, or the entry of a booking.
    pub prompt: String,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Text of the correct answer.
    pub expected_text: String,
}

/// All requests of a run, with the capacity of the deployment.
#[derive(Debug)]
pub struct Load {
    /// Requests in order of their send time.
    pub arrivals: Vec<Arrival>,
    /// Phases of the run.
    pub phases: Vec<Phase>,
    /// Generated tokens of the mean completion.
    pub mean_tokens: f64,
    /// Capacity in completions per second, before and after the incident.
    pub capacity: [f64; 2],
}

/// Generates the requests of a run.
pub fn generate(cfg: &RunCfg, plan: &Plan) -> Load {
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let sample: Vec<Arrival> = (0..MEAN_SAMPLE_SIZE)
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
        let rate = phase.noisy_factor * capacity[0];
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

/// Generates requests at the times of a Poisson process with `rate` requests
/// per second, from `start` on for `seconds`.
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

/// Generates a completion, or a booking for a share of the requests.
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

/// Generates a completion of any organisation but the last one, which only
/// sends the additional load of the noisy organisation.
fn completion(cfg: &RunCfg, plan: &Plan, rng: &mut StdRng, at: f64) -> Arrival {
    let organisations = plan.organisations.len();
    // The first third of the organisations sends more than half of all requests.
    let organisation = if rng.random_bool(0.5) {
        rng.random_range(0..organisations.div_ceil(3))
    } else {
        rng.random_range(0..organisations - 1)
    };
    let prefix = format!(
        "client-{organisation:02}-{:06}",
        rng.random_range(0..PREFIXES_PER_ORGANISATION)
    );
    let rest: String = (0..rng.random_range(16..48))
        .map(|_| rng.random_range('a'..='z'))
        .collect();
    let prompt = prefix + &rest;
    let max_tokens = rng.random_range(4..=12);
    let model: ModelId = id(plan.pipeline.as_str());
    let expected_text = reference::generate(&model, &id(VERSION), plan.layers, &prompt, max_tokens);
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
        expected_text,
    }
}

fn mean_request(sample: &[Arrival]) -> MeanRequest {
    let mean = |value: &dyn Fn(&Arrival) -> usize| {
        sample.iter().map(|a| value(a) as f64).sum::<f64>() / sample.len() as f64
    };
    MeanRequest {
        prompt: mean(&|a| a.prompt.len()),
        tokens: mean(&|a| a.expected_text.len()),
    }
}

/// Returns the completions per second that the engines can serve; `after`
/// leaves out the engines that the incidents of the scenario take away.
fn capacity(cfg: &RunCfg, plan: &Plan, mean: MeanRequest, after: bool) -> f64 {
    let incidents = match after {
        true => cfg.scenario.incidents(plan),
        false => Vec::new(),
    };
    let lost = |engine: &EnginePlan| {
        let mut lost = incidents
            .iter()
            .flat_map(|(_, incident)| incident.failed_engines());
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
