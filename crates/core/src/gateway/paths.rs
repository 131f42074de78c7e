//! Chooses the engines that a generation passes through.
//!
//! A path covers every layer once and in order. Each engine may begin in the
//! middle of what it holds and then runs to the end of it, so that an engine
//! can stand in for any other that holds the same next layer, and none occurs
//! twice.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;

use super::{
    config::EngineSpec,
    servers::{ServerRow, Servers},
};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// Share of an engine's KV cache that may be promised; the rest covers answers
/// that grow longer than their callers expected.
const MEMORY_LIMIT: f64 = 0.92;
/// Cost of handing activations to another failure domain, in milliseconds: the
/// pipe is shared by all requests, and one crossing for each of them fills it.
const CROSSING_MS: f64 = 2_000.0;
/// Weight of the time to the first event: an answer that begins late is late,
/// however soon it ends.
const FIRST_EVENT_WEIGHT: f64 = 2.0;
/// Weight of memory in use on an engine's cost, so that requests spread before
/// an engine has to preempt any.
const MEMORY_WEIGHT: f64 = 3.0;
/// Spread of the random factor on costs, so that nodes with the same view do
/// not all choose the same path.
const JITTER: f64 = 0.15;

/// What a generation needs of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TokenEstimate {
    /// Tokens that are read.
    pub prompt: u32,
    /// Tokens that are expected to be written.
    pub output: u32,
}

impl TokenEstimate {
    /// Returns the tokens that are held at the end.
    pub fn tokens(self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}

/// The part of one engine in a path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Stage {
    /// The engine.
    pub server: VmId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
    /// Its KV cache that the request may come to take, in tokens over all
    /// layers that it holds.
    pub tokens: u64,
    /// Whether activations come from another failure domain.
    pub crosses: bool,
}

/// Engines in the order in which a token passes through them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Path {
    /// The stages; they cover all layers once and in order.
    pub stages: Vec<Stage>,
    /// The predicted time to the last token in milliseconds, with the time to
    /// the first one and crossings weighted.
    pub cost_ms: f64,
    /// The predicted time to the first event in milliseconds.
    pub first_ms: f64,
}

struct Candidate<'a> {
    id: &'a VmId,
    row: &'a ServerRow,
    held: LayerRange,
    domain: usize,
    capacity: f64,
    factor: f64,
}

#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    /// The candidate that ends here, where it begins, and the domain before it.
    via: Option<(usize, u16, usize)>,
}

/// Chooses the path with the lowest cost among the engines that have room.
///
/// `avoid` names engines that must not take part; `draw` gives numbers from 0
/// to 1.
pub fn choose(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    now: Timestamp,
    need: TokenEstimate,
    avoid: &[VmId],
    mut draw: impl FnMut() -> f64,
) -> Option<Path> {
    let mut domains: Vec<(&FailureDomain, u64)> = Vec::new();
    let mut candidates = Vec::new();
    for (id, row) in servers.of(service) {
        let Some(held) = row.entry.layers else {
            continue;
        };
        if !row.usable(now) || avoid.contains(id) || held.end() > spec.layers {
            continue;
        }
        let kind = row.accelerator(spec);
        let Some(capacity) = kind.and_then(|kind| spec.kv_tokens(kind, held.count())) else {
            continue;
        };
        let domain = domains.iter().position(|(d, _)| **d == row.entry.domain);
        let domain = domain.unwrap_or_else(|| {
            domains.push((&row.entry.domain, 0));
            domains.len() - 1
        });
        domains[domain].1 += row.inbound + row.peer_inbound;
        candidates.push(Candidate {
            id,
            row,
            held,
            domain,
            capacity: f64::from(capacity),
            factor: 1.0 + JITTER * draw(),
        });
    }
    let inbound: Vec<u64> = domains.into_iter().map(|(_, tokens)| tokens).collect();
    let best = search(spec, &candidates, &inbound, need);
    trace_back(spec, &candidates, &best, need)
}

type Table = BTreeMap<u16, Vec<Best>>;

/// Finds the lowest costs; `inbound` has the tokens whose activations are on
/// their way into each domain.
fn search(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    inbound: &[u64],
    need: TokenEstimate,
) -> Table {
    let unreached = vec![
        Best {
            cost: f64::INFINITY,
            via: None,
        };
        inbound.len()
    ];
    let mut best: Table = BTreeMap::new();
    for candidate in candidates {
        best.insert(candidate.held.end(), unreached.clone());
    }
    let positions: Vec<u16> = std::iter::once(0).chain(best.keys().copied()).collect();
    for position in positions {
        let here = best.get(&position).cloned();
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.held.start() > position || candidate.held.end() <= position {
                continue;
            }
            let Some(own) = stage_cost(spec, candidate, position, need) else {
                continue;
            };
            let crossing = crossing_cost(spec, inbound[candidate.domain], need);
            let (before, from) = arrive(here.as_deref(), candidate.domain, crossing);
            let cost = before + own * candidate.factor;
            let slot = best
                .get_mut(&candidate.held.end())
                .map(|row| &mut row[candidate.domain]);
            if let Some(slot) = slot.filter(|slot| cost < slot.cost) {
                *slot = Best {
                    cost,
                    via: Some((index, position, from)),
                };
            }
        }
    }
    best
}

/// Returns the lowest cost of standing in `domain` with all earlier layers run,
/// and the domain that ran them.
fn arrive(here: Option<&[Best]>, domain: usize, crossing: f64) -> (f64, usize) {
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

/// Returns the cost of handing activations to another domain, behind those of
/// `inbound` tokens that are on their way there.
fn crossing_cost(spec: &EngineSpec, inbound: u64, need: TokenEstimate) -> f64 {
    let ms = |tokens: f64| {
        tokens * spec.activation_bytes_per_token * 8.0 / (spec.link_mbps.max(1.0) * 1e3)
    };
    let first = ms(f64::from(need.prompt) + inbound as f64);
    CROSSING_MS + FIRST_EVENT_WEIGHT * first + ms(f64::from(need.output))
}

/// Returns the time that a request spends at an engine from one layer to the
/// end of what it holds, or `None` when there is no room for it.
fn stage_cost(
    spec: &EngineSpec,
    candidate: &Candidate<'_>,
    start: u16,
    need: TokenEstimate,
) -> Option<f64> {
    let row = candidate.row;
    let kind = row.accelerator(spec)?;
    let run = f64::from(candidate.held.end() - start);
    let share = run / f64::from(spec.layers);
    let tokens = row.all_tokens() as f64 + held_tokens(need, run, candidate.held);
    let fill = tokens / candidate.capacity.max(1.0);
    if fill > MEMORY_LIMIT || (start == 0 && row.all_requests() >= spec.slots) {
        return None;
    }
    let running = f64::from(row.all_requests() + 1);
    let step = spec.step_ms
        + spec.per_request_ms * running
        + spec.per_context_k_ms * row.all_tokens() as f64 / 1e3;
    let write = f64::from(need.output) * step * kind.step_factor * share;
    let read = reading_ms(spec, candidate, start, need)?;
    Some((write + FIRST_EVENT_WEIGHT * read) * (1.0 + MEMORY_WEIGHT * fill * fill))
}

/// Returns the time until an engine has read a prompt through the layers from
/// one to the end of what it holds; prompts are read in turn.
fn reading_ms(
    spec: &EngineSpec,
    candidate: &Candidate<'_>,
    start: u16,
    need: TokenEstimate,
) -> Option<f64> {
    let kind = candidate.row.accelerator(spec)?;
    let share = f64::from(candidate.held.end() - start) / f64::from(spec.layers);
    let unread = f64::from(need.prompt) + candidate.row.all_reading() as f64;
    Some(unread * 1e3 / spec.prefill_tokens_per_s * kind.read_factor * share)
}

/// Returns the KV cache that a request takes at an engine that runs `run` of
/// the layers that it holds, counted over all of them.
fn held_tokens(need: TokenEstimate, run: f64, held: LayerRange) -> f64 {
    need.tokens() as f64 * run / f64::from(held.count())
}

fn trace_back(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    best: &Table,
    need: TokenEstimate,
) -> Option<Path> {
    let ends = best.get(&spec.layers)?;
    let (mut domain, last) = ends
        .iter()
        .enumerate()
        .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))?;
    let cost_ms = last.cost;
    let mut stages = Vec::new();
    let mut first_ms = 0.0;
    let mut position = spec.layers;
    while position > 0 {
        let (index, start, from) = best.get(&position)?[domain].via?;
        let candidate = &candidates[index];
        first_ms += reading_ms(spec, candidate, start, need)?;
        let run = f64::from(position - start);
        stages.push(Stage {
            server: candidate.id.clone(),
            address: candidate.row.entry.address,
            layers: LayerRange::new(start, position).ok()?,
            tokens: held_tokens(need, run, candidate.held) as u64,
            crosses: start > 0 && from != domain,
        });
        (position, domain) = (start, from);
    }
    stages.reverse();
    Some(Path {
        stages,
        cost_ms,
        first_ms,
    })
}
