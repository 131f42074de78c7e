//! Selects the path of engines for a generation.
//!
//! A path is an ordered list of stages that cover every layer of the model
//! exactly once; a stage is a range of layers that one engine runs. A stage may
//! start anywhere within the layers that its engine holds and always runs to
//! their end. An engine can thus replace any other one that holds the same next
//! layer, and no engine occurs twice.

pub mod copies;

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;

use super::{
    chains::StageStart,
    config::{Accelerator, EngineSpec},
    servers::{ServerRow, Servers},
    urgency::StartLimits,
};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// Maximum fraction of an engine's KV cache that is reserved. The rest is for
/// answers that grow longer than their callers estimated.
pub(super) const MAX_KV_FILL: f64 = 0.92;
/// Cost of forwarding activations to another failure domain, in milliseconds.
/// The link is shared by all requests and would be saturated if each of them
/// crossed it once.
const CROSSING_COST_MS: f64 = 2_000.0;
/// Weight of the time to the first event. An answer that starts late is late,
/// no matter how soon it ends.
const FIRST_EVENT_WEIGHT: f64 = 2.0;
/// Weight of an engine's KV cache usage on its cost. It spreads requests over
/// engines before any engine has to preempt one.
const KV_FILL_WEIGHT: f64 = 3.0;
/// Maximum random increase of an engine's cost, as a fraction. It keeps nodes
/// with the same view from all selecting the same path.
const JITTER: f64 = 0.15;

/// Number of tokens that a generation is expected to process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TokenEstimate {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
}

impl TokenEstimate {
    /// Returns the number of tokens in the KV cache when the generation ends.
    pub fn tokens(self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}

/// A request that looks for a path.
#[derive(Debug, Clone, Copy)]
pub struct PathRequest<'a> {
    /// Its token estimate.
    pub estimate: TokenEstimate,
    /// Bounds on the load of the engines at which it starts.
    pub limits: StartLimits,
    /// Engines that are excluded.
    pub avoid: &'a [VmId],
}

impl From<TokenEstimate> for PathRequest<'_> {
    /// A request without bounds or exclusions.
    fn from(estimate: TokenEstimate) -> Self {
        Self {
            estimate,
            limits: StartLimits::RESUMED,
            avoid: &[],
        }
    }
}

/// The layers that one engine runs on a path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Stage {
    /// The engine.
    pub server: VmId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
    /// KV cache reserved on the engine, as a number of tokens over all layers
    /// that it holds.
    pub tokens: u64,
    /// Whether the engine receives activations from another failure domain.
    pub crosses: bool,
}

/// The engines that a token passes through, in order.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Path {
    /// The stages, which cover every layer once and in order.
    pub stages: Vec<Stage>,
    /// Predicted time to the last token in milliseconds, with weighted time to
    /// the first event and weighted crossings between failure domains.
    pub cost_ms: f64,
    /// Predicted time until the prompt has been processed, in milliseconds.
    pub first_ms: f64,
    /// Predicted time to the first event without the request's own prompt, in
    /// milliseconds: that of the prompts ahead and of the steps of one event.
    pub backlog_ms: f64,
}

/// An engine that may take part in a request.
struct Candidate<'a> {
    id: &'a VmId,
    row: &'a ServerRow,
    kind: &'a Accelerator,
    layers: LayerRange,
    /// Number of its failure domain among those of the request's candidates.
    domain: usize,
    capacity: f64,
    /// Whether the request may be sent to this engine, as the first of a path.
    may_be_first: bool,
    jitter: f64,
}

/// Returns an engine as a candidate, or `None` if it takes no requests. The number
/// of its failure domain is zero, and its cost has no jitter.
fn candidate<'a>(
    spec: &'a EngineSpec,
    id: &'a VmId,
    row: &'a ServerRow,
    now: Timestamp,
) -> Option<Candidate<'a>> {
    let layers = row.entry.layers?;
    if !row.is_available(now) || layers.end() > spec.layers {
        return None;
    }
    let kind = row.accelerator(spec)?;
    let capacity = spec.kv_tokens(kind, layers.count())?;
    Some(Candidate {
        id,
        row,
        kind,
        layers,
        domain: 0,
        capacity: f64::from(capacity),
        may_be_first: row.is_entry_open(now) && row.total_requests() < spec.slots,
        jitter: 1.0,
    })
}

#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    /// Index of the candidate that ends here, the layer at which it starts, and
    /// the index of the domain before it.
    previous: Option<(usize, u16, usize)>,
}

/// Selects the path with the lowest cost among the engines that have capacity.
///
/// Returns `None` if the limit of the time to the first event excludes that path; others
/// are not sought, because the cheapest one has a short backlog. `draw` returns random
/// numbers in `0.0..1.0`.
pub fn choose(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    now: Timestamp,
    req: &PathRequest<'_>,
    draw: impl FnMut() -> f64,
) -> Option<Path> {
    let (candidates, inbound) = candidates(spec, servers, service, now, req.avoid, draw);
    let best = search(spec, &candidates, &inbound, req);
    let path = trace_back(spec, &candidates, &best, req)?;
    req.limits.allow(path.backlog_ms).then_some(path)
}

/// Returns the engines that may take part in a request, and for each failure
/// domain the number of tokens whose activations are in transfer to it.
fn candidates<'a>(
    spec: &'a EngineSpec,
    servers: &'a Servers,
    service: &'a ServiceId,
    now: Timestamp,
    avoid: &[VmId],
    mut draw: impl FnMut() -> f64,
) -> (Vec<Candidate<'a>>, Vec<u64>) {
    let mut domains: Vec<(&FailureDomain, u64)> = Vec::new();
    let mut candidates = Vec::new();
    for (id, row) in servers.of_service(service) {
        if avoid.contains(id) {
            continue;
        }
        let Some(candidate) = candidate(spec, id, row, now) else {
            continue;
        };
        let domain = domains.iter().position(|(d, _)| **d == row.entry.domain);
        let domain = domain.unwrap_or_else(|| {
            domains.push((&row.entry.domain, 0));
            domains.len() - 1
        });
        domains[domain].1 += row.inbound_tokens + row.peer_inbound_tokens;
        let jitter = 1.0 + JITTER * draw();
        candidates.push(Candidate {
            domain,
            jitter,
            ..candidate
        });
    }
    let inbound = domains.into_iter().map(|(_, tokens)| tokens).collect();
    (candidates, inbound)
}

type Table = BTreeMap<u16, Vec<Best>>;

/// Computes the lowest cost to reach each layer in each domain. `inbound` is
/// the number of tokens per domain whose activations are in transfer to it.
fn search(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    inbound: &[u64],
    req: &PathRequest<'_>,
) -> Table {
    let unreached = vec![
        Best {
            cost: f64::INFINITY,
            previous: None,
        };
        inbound.len()
    ];
    let mut best: Table = BTreeMap::new();
    for candidate in candidates {
        best.insert(candidate.layers.end(), unreached.clone());
    }
    let positions: Vec<u16> = std::iter::once(0).chain(best.keys().copied()).collect();
    for position in positions {
        let here = best.get(&position).cloned();
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.layers.start() > position || candidate.layers.end() <= position {
                continue;
            }
            let Some(own) = stage_cost(spec, candidate, position, req) else {
                continue;
            };
            let crossing = crossing_cost(spec, inbound[candidate.domain], req.estimate);
            let (before, from) = cheapest_arrival(here.as_deref(), candidate.domain, crossing);
            let cost = before + own * candidate.jitter;
            let slot = best
                .get_mut(&candidate.layers.end())
                .map(|row| &mut row[candidate.domain]);
            if let Some(slot) = slot.filter(|slot| cost < slot.cost) {
                *slot = Best {
                    cost,
                    previous: Some((index, position, from)),
                };
            }
        }
    }
    best
}

/// Returns the lowest cost to enter `domain` with all earlier layers run, and
/// the domain that ran the last of them.
fn cheapest_arrival(here: Option<&[Best]>, domain: usize, crossing: f64) -> (f64, usize) {
    let Some(here) = here else {
        return (0.0, domain);
    };
    let mut lowest = (f64::INFINITY, domain);
    for (from, best) in here.iter().enumerate() {
        let crossing = if from == domain { 0.0 } else { crossing };
        if best.cost + crossing < lowest.0 {
            lowest = (best.cost + crossing, from);
        }
    }
    lowest
}

/// Returns the cost of forwarding activations to another domain after those of
/// the `inbound` tokens that are already in transfer.
fn crossing_cost(spec: &EngineSpec, inbound: u64, estimate: TokenEstimate) -> f64 {
    let ms = |tokens: f64| {
        tokens * spec.activation_bytes_per_token * 8.0 / (spec.link_mbps.max(1.0) * 1e3)
    };
    let first = ms(f64::from(estimate.prompt) + inbound as f64);
    CROSSING_COST_MS + FIRST_EVENT_WEIGHT * first + ms(f64::from(estimate.output))
}

/// Returns the cost of running the layers from `start` to the last one that the
/// engine holds, or `None` if the engine lacks capacity.
fn stage_cost(
    spec: &EngineSpec,
    candidate: &Candidate<'_>,
    start: u16,
    req: &PathRequest<'_>,
) -> Option<f64> {
    let (row, estimate) = (candidate.row, req.estimate);
    let run = f64::from(candidate.layers.end() - start);
    let tokens = row.total_tokens() as f64 + kv_tokens_held(estimate, run, candidate.layers);
    let fill = tokens / candidate.capacity.max(1.0);
    if fill > req.limits.kv_fill || (start == 0 && !candidate.may_be_first) {
        return None;
    }
    let write = f64::from(estimate.output) * step_ms(spec, candidate, start);
    let read = prefill_ms(spec, candidate, start, estimate);
    Some((write + FIRST_EVENT_WEIGHT * read) * (1.0 + KV_FILL_WEIGHT * fill * fill))
}

/// Returns the time in milliseconds that the engine takes for one token, from
/// the layer `start` to its last one.
fn step_ms(spec: &EngineSpec, candidate: &Candidate<'_>, start: u16) -> f64 {
    let row = candidate.row;
    let share = f64::from(candidate.layers.end() - start) / f64::from(spec.layers);
    let running = f64::from(row.total_requests() + 1);
    let step = spec.step_ms
        + spec.per_request_ms * running
        + spec.per_context_k_ms * row.total_tokens() as f64 / 1e3;
    step * candidate.kind.step_factor * share
}

/// Returns the time in milliseconds until the engine has processed the prompt
/// from the layer `start` to its last one. Prompts are processed one at a time,
/// so earlier prompts count too.
fn prefill_ms(
    spec: &EngineSpec,
    candidate: &Candidate<'_>,
    start: u16,
    estimate: TokenEstimate,
) -> f64 {
    let share = f64::from(candidate.layers.end() - start) / f64::from(spec.layers);
    let unread = f64::from(estimate.prompt) + candidate.row.total_unread_tokens() as f64;
    unread * 1e3 / spec.prefill_tokens_per_s * candidate.kind.read_factor * share
}

/// Returns the time in milliseconds for which the prompts ahead and the steps of one
/// event keep an engine busy, from the layer `start` to its last one. A request's own
/// prompt doesn't count, so that a long one starts at idle engines.
fn backlog_ms(spec: &EngineSpec, candidate: &Candidate<'_>, start: u16) -> f64 {
    let no_prompt = TokenEstimate {
        prompt: 0,
        output: 0,
    };
    f64::from(spec.stride) * step_ms(spec, candidate, start)
        + prefill_ms(spec, candidate, start, no_prompt)
}

/// Returns the KV cache that a request occupies on an engine that runs `run` of
/// the layers that it holds, as a number of tokens over all of them.
fn kv_tokens_held(estimate: TokenEstimate, run: f64, held: LayerRange) -> f64 {
    estimate.tokens() as f64 * run / f64::from(held.count())
}

fn trace_back(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    best: &Table,
    req: &PathRequest<'_>,
) -> Option<Path> {
    let ends = best.get(&spec.layers)?;
    let (mut domain, last) = ends
        .iter()
        .enumerate()
        .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))?;
    let cost_ms = last.cost;
    let mut stages = Vec::new();
    let mut position = spec.layers;
    while position > 0 {
        let (candidate, start, from) = best.get(&position)?[domain].previous?;
        stages.push(StageStart {
            index: candidate,
            start,
        });
        (position, domain) = (start, from);
    }
    stages.reverse();
    let path = build_path(spec, candidates, &stages, req)?;
    Some(Path { cost_ms, ..path })
}

/// Returns the path of these stages, which cover all layers in order.
fn build_path(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    stages: &[StageStart],
    req: &PathRequest<'_>,
) -> Option<Path> {
    let estimate = req.estimate;
    let mut path = Path {
        stages: Vec::with_capacity(stages.len()),
        cost_ms: 0.0,
        first_ms: 0.0,
        backlog_ms: 0.0,
    };
    let mut previous_domain = None;
    for StageStart { index, start } in stages.iter().copied() {
        let candidate = &candidates[index];
        let end = candidate.layers.end();
        let run = f64::from(end - start);
        path.first_ms += prefill_ms(spec, candidate, start, estimate);
        path.backlog_ms += backlog_ms(spec, candidate, start);
        path.cost_ms += stage_cost(spec, candidate, start, req)?;
        path.stages.push(Stage {
            server: candidate.id.clone(),
            address: candidate.row.entry.address,
            layers: LayerRange::new(start, end).ok()?,
            tokens: kv_tokens_held(estimate, run, candidate.layers) as u64,
            crosses: previous_domain.is_some_and(|domain| domain != candidate.domain),
        });
        previous_domain = Some(candidate.domain);
    }
    Some(path)
}
