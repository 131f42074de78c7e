//! Chooses the backend servers of a request.
//!
//! For a pipeline, a chain of stages must cover the model's layers without a gap.
//! The choice is a shortest path over layer boundaries. The cost of a stage is the
//! expected wait there, relative to the engine's own time for a step, plus the
//! share of the request's remaining time that its steps would use.
//! `docs/design/routing.md` describes the design.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{Context, watch};
use crate::{
    config::RoutingPolicy,
    health::{Phase, Ramp},
    ids::{LayerRange, ServiceId, VmId},
    tables::{BackendRow, CompletionState, RequestRow, Stage, StageKey},
    time::Timestamp,
};

/// Expected wait that each request in flight adds, as a multiple of the service
/// time.
const WAIT_PER_REQUEST: f64 = 0.25;
/// Maximum fraction by which a cost is raised at random. Without it, nodes with the
/// same information would all choose the same server.
const MAX_COST_NOISE: f64 = 0.1;
/// Cost of an additional stage for the policy that counts requests in flight, where
/// a request in flight costs 1.
const STAGE_COST: f64 = 4.0;

/// A chain of stages with its expected times.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Chain {
    /// The stages in the order of their layers.
    pub stages: Vec<Stage>,
    /// The expected time to the first token.
    pub first_token: Duration,
    /// The expected time between tokens.
    pub token: Duration,
    cost: f64,
}

impl Chain {
    /// Returns the expected time to the end of an answer with `tokens` tokens.
    pub fn total_time(&self, tokens: u32) -> Duration {
        self.first_token + self.token * tokens.saturating_sub(1)
    }
}

/// The inputs of a choice between backend servers.
struct Chooser<'a, 'c> {
    cx: &'a Context<'c>,
    policy: RoutingPolicy,
    failed: &'a [VmId],
    /// Whether the request may run twice, which allows it to be sent as a health
    /// probe.
    repeatable: bool,
    rng: StdRng,
    /// The number of positions in the first step.
    positions: u32,
    /// The time that remains for each token, in microseconds.
    token_budget_us: f64,
    /// Whether the request needs adapters.
    adapters: bool,
    /// The age at which the report of a watcher is ignored.
    stale: Duration,
}

/// Chooses a chain over all layers of the request's model version.
pub fn chain(cx: &Context<'_>, row: &RequestRow, work: &CompletionState) -> Option<Chain> {
    let layers = cx.tables.config.model(&work.model)?.layers;
    cover(cx, row, work, LayerRange::new(0, layers).ok()?)
}

/// Chooses a chain over a range of layers, without the backend servers that failed
/// the request.
pub fn cover(
    cx: &Context<'_>,
    row: &RequestRow,
    work: &CompletionState,
    layers: LayerRange,
) -> Option<Chain> {
    let stages = cx.tables.backends.stages(&work.model, &work.version)?;
    let left = f64::from(work.max_tokens.saturating_sub(work.generated()).max(1));
    let time = row.deadline.since(cx.now).as_secs_f64() * 1e6;
    let mut chooser = Chooser {
        cx,
        policy: cx.tables.config.deployment().routing,
        failed: &row.failed,
        repeatable: row.idempotent,
        rng: choice_rng(cx),
        positions: u32::try_from(work.tokens.len()).unwrap_or(u32::MAX),
        token_budget_us: (time / left).max(1.0),
        adapters: !work.adapters.is_empty(),
        stale: watch::stale_after(cx),
    };
    let mut best = BTreeMap::from([(layers.start(), Chain::default())]);
    while let Some((at, chain)) = best.pop_first() {
        if at >= layers.end() {
            return Some(chain);
        }
        let covers = |key: &StageKey| {
            key.layers.start() <= at
                && key.layers.end() > at
                && key.adapters.is_superset(&work.adapters)
        };
        for (key, group) in stages.iter().filter(|(key, _)| covers(key)) {
            let Some((cost, row)) = chooser.cheapest(&group.slots) else {
                continue;
            };
            let end = key.layers.end().min(layers.end());
            let longer = chooser.extend(&chain, cost, row, LayerRange::new(at, end).ok()?);
            match best.entry(end) {
                Entry::Vacant(entry) => {
                    entry.insert(longer);
                }
                Entry::Occupied(mut entry) if longer.cost < entry.get().cost => {
                    entry.insert(longer);
                }
                Entry::Occupied(_) => {}
            }
        }
    }
    None
}

/// Chooses a backend server of a plain service, without those in `failed`.
/// `repeatable` is true if the call may be retried after a failure.
pub fn service<'a>(
    cx: &'a Context<'_>,
    service: &ServiceId,
    failed: &[VmId],
    repeatable: bool,
) -> Option<&'a BackendRow> {
    let mut chooser = Chooser {
        cx,
        policy: cx.tables.config.deployment().routing,
        failed,
        repeatable,
        rng: choice_rng(cx),
        positions: 1,
        token_budget_us: f64::INFINITY,
        adapters: false,
        stale: watch::stale_after(cx),
    };
    let slots = cx.tables.backends.servers(service);
    let (_, row) = chooser.cheapest(slots)?;
    cx.tables.backends.get(&row.vm)
}

/// Returns a random number generator for one choice. A choice has only read access
/// to the state, so it can't use the generator of the node.
fn choice_rng(cx: &Context<'_>) -> StdRng {
    let incarnation = cx.cfg.identity.incarnation.0;
    let counters = &cx.tables.counters;
    let count = counters
        .steps
        .wrapping_add(counters.submitted.rotate_left(32));
    StdRng::seed_from_u64(incarnation ^ cx.now.0.rotate_left(16) ^ count)
}

impl<'a> Chooser<'a, '_> {
    /// Returns the cheapest of the backend servers in `slots`, with its cost.
    fn cheapest(&mut self, slots: &[usize]) -> Option<(f64, &'a BackendRow)> {
        let candidates = self.candidates(slots);
        let mean = mean_in_flight(&candidates, self.cx.now);
        let mut best: Option<(f64, &BackendRow)> = None;
        for row in candidates {
            if !self.within_ramp_share(row, mean) {
                continue;
            }
            let cost = self.cost(row);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, row));
            }
        }
        best
    }

    /// Returns the backend servers that a choice compares. There is at least one if
    /// any server is usable.
    fn candidates(&mut self, slots: &[usize]) -> Vec<&'a BackendRow> {
        let sample = self.cx.cfg.routing.candidates as usize;
        if self.policy != RoutingPolicy::Predicted || slots.len() <= sample {
            return slots.iter().filter_map(|&slot| self.usable(slot)).collect();
        }
        let mut found = Vec::with_capacity(sample);
        for _ in 0..sample {
            let slot = slots[self.rng.random_range(0..slots.len())];
            found.extend(self.usable(slot));
        }
        if found.is_empty() {
            let from = self.rng.random_range(0..slots.len());
            let mut rotated = slots[from..].iter().chain(&slots[..from]);
            found.extend(rotated.find_map(|&slot| self.usable(slot)));
        }
        found
    }

    /// Returns the backend server of a slot if the request may be sent to it.
    fn usable(&self, slot: usize) -> Option<&'a BackendRow> {
        let (cx, cfg) = (self.cx, &self.cx.cfg.health);
        let row = cx.tables.backends.slot(slot)?;
        let probing = row.health.phase(cx.now) == Phase::HalfOpen;
        let usable = row.accepts_work(cx.now)
            && row.has_configured(cx.now, self.stale, self.adapters)
            && (!probing || row.health.accepts_probe(cfg, self.repeatable))
            && !self.failed.contains(&row.vm);
        usable.then_some(row)
    }

    /// Returns whether one more request stays within the share of a backend server
    /// that is ramping up. Because a node may have less than one request there on
    /// average, the share also limits how often the server is a candidate.
    fn within_ramp_share(&mut self, row: &BackendRow, mean: Option<f64>) -> bool {
        let now = self.cx.now;
        let Some(mean) = mean else { return true };
        if row.health.phase(now) != Phase::Ramping {
            return true;
        }
        let share = row.health.share(now);
        f64::from(row.in_flight + 1) <= Ramp::max_in_flight(share, mean)
            && self.rng.random::<f64>() < share
    }

    /// Returns the cost of sending the request to a server. A probe costs nothing, so
    /// every eligible request becomes one and a recovered server is detected soon.
    fn cost(&mut self, row: &BackendRow) -> f64 {
        let (now, cfg) = (self.cx.now, &self.cx.cfg.health);
        if row.health.phase(now) == Phase::HalfOpen {
            return 0.0;
        }
        match self.policy {
            RoutingPolicy::Predicted => {
                let noise = self.rng.random_range(1.0..1.0 + MAX_COST_NOISE);
                let share = decode_us(row, now) / self.token_budget_us;
                let score = row.health.score.at(now, cfg.half_life) * f64::from(cfg.max_penalty);
                let reported = row.reported_queue(now, self.cx.cfg.watch.load_ttl);
                // A report can only raise the cost. Otherwise all nodes that receive the
                // report of an idle engine would send their work there.
                let wait = relative_wait(row, now).max(f64::from(reported) * WAIT_PER_REQUEST);
                (wait + share + score) * noise
            }
            RoutingPolicy::LeastInFlight => {
                let tie = self.rng.random::<f64>();
                STAGE_COST + f64::from(row.in_flight) + tie
            }
            RoutingPolicy::RoundRobin => row.begun as f64,
        }
    }

    /// Returns a chain extended by one stage.
    fn extend(&self, chain: &Chain, cost: f64, row: &BackendRow, layers: LayerRange) -> Chain {
        let now = self.cx.now;
        let us = |us: f64| Duration::from_secs_f64(us.max(0.0) / 1e6);
        let mut stages = chain.stages.clone();
        stages.push(Stage {
            vm: row.vm.clone(),
            address: row.address,
            layers,
        });
        let first = row
            .latency
            .step_us(now, self.positions)
            .max(row.link_rtt_us);
        Chain {
            stages,
            first_token: chain.first_token + us(first),
            token: chain.token + us(decode_us(row, now)),
            cost: chain.cost + cost,
        }
    }
}

/// Returns the mean number of requests in flight at the candidates that are not
/// ramping up or being probed, or `None` if there are none.
fn mean_in_flight(candidates: &[&BackendRow], now: Timestamp) -> Option<f64> {
    let serving = candidates
        .iter()
        .filter(|row| row.health.phase(now) == Phase::Serving);
    let (count, sum) = serving.fold((0_u32, 0_u32), |(count, sum), row| {
        (count + 1, sum + row.in_flight)
    });
    (count > 0).then(|| f64::from(sum) / f64::from(count))
}

/// Returns the expected wait of a step as a multiple of the engine's own time for
/// it. Requests that this node sent since the last observation are added, because
/// the observation doesn't include them yet.
pub fn relative_wait(row: &BackendRow, now: Timestamp) -> f64 {
    let latency = &row.latency;
    if !latency.has_samples() {
        return f64::from(row.in_flight) * WAIT_PER_REQUEST;
    }
    let unobserved = row.in_flight.saturating_sub(latency.in_flight);
    let observed = latency.wait_at(now) / latency.service_us(row.link_rtt_us);
    observed + f64::from(unobserved) * WAIT_PER_REQUEST
}

fn decode_us(row: &BackendRow, now: Timestamp) -> f64 {
    row.latency.step_us(now, 1).max(row.link_rtt_us)
}

/// Updates the latency estimate of a backend server from an answered step. Returns
/// the wait and the service time of the step in microseconds, or `None` if the
/// server was removed.
pub fn observe(
    cx: &mut Context<'_>,
    vm: &VmId,
    positions: u32,
    took: Duration,
) -> Option<(f64, f64)> {
    let row = cx.tables.backends.get_mut(vm)?;
    let in_flight = row.in_flight;
    let wait = row.latency.observe(cx.now, positions, took, in_flight);
    Some((wait, row.latency.service_us(row.link_rtt_us)))
}
