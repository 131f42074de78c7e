//! Chooses the backend servers of a request.
//!
//! For a pipeline, a chain of stages must cover the model's layers without a
//! gap; the choice is a shortest path over layer boundaries. Each stage costs
//! what the request would wait there, against the time that the engine itself
//! needs, and the part of the request's time that its steps would take. The
//! design note is `docs/design/routing.md`.

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

/// Waiting that one more request adds for the next, over the service time.
const WAIT_PER_REQUEST: f64 = 0.25;
/// Largest part by which a cost is raised at random, so that nodes that know
/// the same do not choose the same.
const NOISE: f64 = 0.1;
/// Cost of one stage more for the baselines, against one request in flight.
const STAGE_COST: f64 = 4.0;

/// A chain and what it is likely to take.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Chain {
    /// The stages by rising layers.
    pub stages: Vec<Stage>,
    /// Likely time to the first token.
    pub first_token: Duration,
    /// Likely time between tokens.
    pub token: Duration,
    cost: f64,
}

impl Chain {
    /// Returns the likely time to the end of an answer.
    pub fn takes(&self, tokens: u32) -> Duration {
        self.first_token + self.token * tokens.saturating_sub(1)
    }
}

/// What a choice goes by.
struct Chooser<'a, 'c> {
    cx: &'a Context<'c>,
    policy: RoutingPolicy,
    failed: &'a [VmId],
    /// Whether the request may run twice, so that it may be a probe.
    harmless: bool,
    draws: StdRng,
    /// Positions of the first step.
    positions: u32,
    /// Time that is left for each token, in microseconds.
    token_budget_us: f64,
    /// Whether adapters are needed.
    adapters: bool,
    /// Age from which on a watcher's report counts for nothing.
    stale: Duration,
}

/// Chooses a chain over all layers of a request's version.
pub fn chain(cx: &Context<'_>, row: &RequestRow, work: &CompletionState) -> Option<Chain> {
    let layers = cx.tables.config.model(&work.model)?.layers;
    cover(cx, row, work, LayerRange::new(0, layers).ok()?)
}

/// Chooses a chain over some layers of a request's version, without the
/// backend servers that failed it.
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
        harmless: row.idempotent,
        draws: draws(cx),
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

/// Chooses a backend server of a plain service, avoiding `failed` ones;
/// `harmless` says that the call may be tried again after a failure.
pub fn service<'a>(
    cx: &'a Context<'_>,
    service: &ServiceId,
    failed: &[VmId],
    harmless: bool,
) -> Option<&'a BackendRow> {
    let mut chooser = Chooser {
        cx,
        policy: cx.tables.config.deployment().routing,
        failed,
        harmless,
        draws: draws(cx),
        positions: 1,
        token_budget_us: f64::INFINITY,
        adapters: false,
        stale: watch::stale_after(cx),
    };
    let slots = cx.tables.backends.servers(service);
    let (_, row) = chooser.cheapest(slots)?;
    cx.tables.backends.get(&row.vm)
}

/// Makes a source of draws for one choice. A choice changes nothing, so the
/// node's own generator stays as it is.
fn draws(cx: &Context<'_>) -> StdRng {
    let life = cx.cfg.identity.incarnation.0;
    let counters = &cx.tables.counters;
    let count = counters
        .steps
        .wrapping_add(counters.submitted.rotate_left(32));
    StdRng::seed_from_u64(life ^ cx.now.0.rotate_left(16) ^ count)
}

impl<'a> Chooser<'a, '_> {
    /// Returns the cheapest of some backend servers with its cost.
    fn cheapest(&mut self, slots: &[usize]) -> Option<(f64, &'a BackendRow)> {
        let seen = self.candidates(slots);
        let usual = mean_in_flight(&seen, self.cx.now);
        let mut best: Option<(f64, &BackendRow)> = None;
        for row in seen {
            if !self.has_part(row, usual) {
                continue;
            }
            let cost = self.cost(row);
            if best.is_none_or(|(known, _)| cost < known) {
                best = Some((cost, row));
            }
        }
        best
    }

    /// Returns the backend servers that a choice looks at; there is one at
    /// least if any takes the request.
    fn candidates(&mut self, slots: &[usize]) -> Vec<&'a BackendRow> {
        let sample = self.cx.cfg.routing.candidates as usize;
        if self.policy != RoutingPolicy::Predicted || slots.len() <= sample {
            return slots.iter().filter_map(|&slot| self.usable(slot)).collect();
        }
        let mut seen = Vec::with_capacity(sample);
        for _ in 0..sample {
            let slot = slots[self.draws.random_range(0..slots.len())];
            seen.extend(self.usable(slot));
        }
        if seen.is_empty() {
            let from = self.draws.random_range(0..slots.len());
            let mut turned = slots[from..].iter().chain(&slots[..from]);
            seen.extend(turned.find_map(|&slot| self.usable(slot)));
        }
        seen
    }

    /// Returns the backend server of a slot if it may take the request.
    fn usable(&self, slot: usize) -> Option<&'a BackendRow> {
        let (cx, cfg) = (self.cx, &self.cx.cfg.health);
        let row = cx.tables.backends.slot(slot)?;
        let probing = row.health.phase(cx.now) == Phase::HalfOpen;
        let usable = row.takes_work(cx.now)
            && row.holds(cx.now, self.stale, self.adapters)
            && (!probing || row.health.takes_probe(cfg, self.harmless))
            && !self.failed.contains(&row.vm);
        usable.then_some(row)
    }

    /// Tells whether one request more stays within the part of a backend
    /// server that starts slowly. Many nodes have less than one request there
    /// on average, so its share bounds how often it is a candidate, too.
    fn has_part(&mut self, row: &BackendRow, usual: Option<f64>) -> bool {
        let now = self.cx.now;
        let Some(usual) = usual else { return true };
        if row.health.phase(now) != Phase::Ramping {
            return true;
        }
        let share = row.health.share(now);
        f64::from(row.in_flight + 1) <= Ramp::most_in_flight(share, usual)
            && self.draws.random::<f64>() < share
    }

    /// A probe costs nothing: whoever may send one does, so that a server that
    /// has recovered is found soon.
    fn cost(&mut self, row: &BackendRow) -> f64 {
        let (now, cfg) = (self.cx.now, &self.cx.cfg.health);
        if row.health.phase(now) == Phase::HalfOpen {
            return 0.0;
        }
        match self.policy {
            RoutingPolicy::Predicted => {
                let noise = self.draws.random_range(1.0..1.0 + NOISE);
                let share = decode_us(row, now) / self.token_budget_us;
                let score = row.health.score.at(now, cfg.half_life) * f64::from(cfg.cost);
                let reported = row.reported_queue(now, self.cx.cfg.watch.load_stale);
                // A report only ever keeps work away, so that nodes which hear
                // of an idle engine don't all go there.
                let wait = waiting(row, now).max(f64::from(reported) * WAIT_PER_REQUEST);
                (wait + share + score) * noise
            }
            RoutingPolicy::LeastInFlight => {
                let tie = self.draws.random::<f64>();
                STAGE_COST + f64::from(row.in_flight) + tie
            }
            RoutingPolicy::RoundRobin => row.begun as f64,
        }
    }

    fn extend(&self, chain: &Chain, cost: f64, row: &BackendRow, layers: LayerRange) -> Chain {
        let now = self.cx.now;
        let us = |us: f64| Duration::from_secs_f64(us.max(0.0) / 1e6);
        let mut stages = chain.stages.clone();
        stages.push(Stage {
            vm: row.vm.clone(),
            address: row.address,
            layers,
        });
        let first = row.latency.step_us(now, self.positions).max(row.link_us);
        Chain {
            stages,
            first_token: chain.first_token + us(first),
            token: chain.token + us(decode_us(row, now)),
            cost: chain.cost + cost,
        }
    }
}

/// Returns the mean work of those candidates that have their whole part, if
/// there are any.
fn mean_in_flight(seen: &[&BackendRow], now: Timestamp) -> Option<f64> {
    let serving = seen
        .iter()
        .filter(|row| row.health.phase(now) == Phase::Serving);
    let (count, sum) = serving.fold((0_u32, 0_u32), |(count, sum), row| {
        (count + 1, sum + row.in_flight)
    });
    (count > 0).then(|| f64::from(sum) / f64::from(count))
}

/// Returns the time that a step is likely to wait, over the time that the
/// engine itself needs for it. What this node sent since the last observation
/// counts on top, because the observation can't show it yet.
pub fn waiting(row: &BackendRow, now: Timestamp) -> f64 {
    let latency = &row.latency;
    if !latency.known() {
        return f64::from(row.in_flight) * WAIT_PER_REQUEST;
    }
    let since = row.in_flight.saturating_sub(latency.in_flight);
    let observed = latency.wait_at(now) / latency.service_us(row.link_us);
    observed + f64::from(since) * WAIT_PER_REQUEST
}

fn decode_us(row: &BackendRow, now: Timestamp) -> f64 {
    row.latency.step_us(now, 1).max(row.link_us)
}

/// Learns from a step or call that was answered; returns the times in
/// microseconds that it waited and that the server itself needs.
pub fn observe(
    cx: &mut Context<'_>,
    vm: &VmId,
    positions: u32,
    took: Duration,
) -> Option<(f64, f64)> {
    let row = cx.tables.backends.get_mut(vm)?;
    let in_flight = row.in_flight;
    let wait = row.latency.observe(cx.now, positions, took, in_flight);
    Some((wait, row.latency.service_us(row.link_us)))
}
