//! Decides which layers each engine holds.
//!
//! A copy is a set of engines that together hold every layer once. At first,
//! each failure domain gets copies of its own, because activations are large
//! and the links between domains are shared. A copy consists of the fastest
//! engines of the domain. Its size is a trade-off: more engines leave more
//! memory for requests, but slower engines make each request take longer. The
//! remaining engines form copies across domains. If ranked routes state a gap
//! between events that copies of the slowest engines would not keep, each copy gets engines of all
//! kinds instead ([`mixed`]).
//!
//! Later, engines without layers and engines of broken copies complete other
//! broken copies. An engine without layers that completes none gets the range
//! with the lowest coverage.

mod completion;
mod mixed;

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{
    config::{Accelerator, EngineSpec},
    servers::{ServerRow, Servers},
};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// Minimum KV cache of an engine in a copy, in tokens; about 30 requests of
/// typical size.
const MIN_COPY_TOKENS: u32 = 30_000;
/// KV cache that is kept free on an engine that repairs coverage, in tokens;
/// about 60 requests of typical size.
const REPAIR_TOKENS: u32 = 60_000;
/// Step by which the capacity of a copy is searched, in tokens.
const TOKEN_STEP: u32 = 5_000;
/// Maximum capacity of a copy, in tokens. With more requests than fit into it,
/// steps are the bottleneck instead of memory, so that further engines are of
/// no use.
const MAX_COPY_TOKENS: u32 = 300_000;
/// Weight of a layer's coverage within a domain relative to its coverage over
/// all domains.
const DOMAIN_WEIGHT: f64 = 4.0;
/// Coverage added to every layer to bound the deficit of one that no engine
/// holds. The unit is engines with step factor 1; the slowest kind counts as
/// 1/16.
const COVERAGE_FLOOR: f64 = 0.02;

/// Maximum ratio of the coverage deficit after a move to that before. A move
/// that gains less is not worth the load and the time in which the engine
/// accepts no requests.
const MAX_DEFICIT_RATIO: f64 = 0.85;

/// Time without a new engine after which the first plan is made. Engines
/// register within one heartbeat of their start.
const REGISTRATION_QUIET_TIME: Duration = Duration::from_millis(1_300);
/// Factor on the time limit of a load, because other loads may share the weight
/// store.
const SHARED_LOAD_FACTOR: u32 = 2;
/// Time beyond the load time after which an order counts as failed. The
/// registry is updated within two heartbeats.
const ORDER_TIMEOUT_SLACK: Duration = Duration::from_millis(3_500);

/// An order for one engine to hold a range of layers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Assignment {
    /// The engine.
    pub server: VmId,
    /// The layers.
    pub layers: LayerRange,
}

/// Orders that may still be carried out, with the time at which each was sent.
pub type PendingOrders = BTreeMap<VmId, (LayerRange, Timestamp)>;

/// Time without a change of the registry after which engines that hold layers are moved.
/// Most lost engines return within this time, and an engine that gives up layers serves
/// nothing until the streams that use them have ended.
const MOVE_QUIET_TIME: Duration = Duration::from_millis(6_000);

/// Time for which an engine gets no order after one that conflicted with its state.
const BUSY_TIME: Duration = Duration::from_millis(1_000);

/// The orders that a node has sent, and the engines that carry out those of another node.
#[derive(Debug, Default)]
pub struct SentOrders {
    pending: PendingOrders,
    /// When an order last conflicted with an engine's state.
    busy: BTreeMap<VmId, Timestamp>,
}

impl SentOrders {
    /// Records an order before it is sent.
    pub fn record_sent(&mut self, now: Timestamp, assignment: &Assignment) {
        let order = (assignment.layers, now);
        self.pending.insert(assignment.server.clone(), order);
    }

    /// Records that an engine began nothing, because it carries out another order. What it
    /// will hold is not known before the registry says so.
    pub fn record_conflict(&mut self, now: Timestamp, server: &VmId) {
        self.pending.remove(server);
        self.busy.insert(server.clone(), now);
    }

    /// Forgets all orders.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the orders to send now; see [`next_orders`]. Busy engines get none.
    pub fn next(
        &mut self,
        spec: &EngineSpec,
        servers: &Servers,
        service: &ServiceId,
        now: Timestamp,
    ) -> Vec<Assignment> {
        self.busy.retain(|_, at| now.since(*at) < BUSY_TIME);
        let mut next = next_orders(spec, servers, service, &mut self.pending, now);
        next.retain(|assignment| !self.busy.contains_key(&assignment.server));
        next
    }
}

/// An engine that is available for placement.
#[derive(Debug, Clone)]
struct Engine<'a> {
    id: &'a VmId,
    domain: &'a FailureDomain,
    kind: &'a Accelerator,
}

/// The coverage of each layer: the sum of the speeds of the engines that hold
/// it.
#[derive(Debug)]
struct Coverage<'a> {
    all: Vec<f64>,
    domains: BTreeMap<&'a FailureDomain, Vec<f64>>,
}

impl<'a> Coverage<'a> {
    fn new(spec: &EngineSpec) -> Self {
        Self {
            all: vec![0.0; usize::from(spec.layers)],
            domains: BTreeMap::new(),
        }
    }

    fn domain(&mut self, domain: &'a FailureDomain) -> &mut Vec<f64> {
        let layers = self.all.len();
        self.domains
            .entry(domain)
            .or_insert_with(|| vec![0.0; layers])
    }

    fn add(&mut self, domain: &'a FailureDomain, held: LayerRange, kind: &Accelerator) {
        for layer in usize::from(held.start())..usize::from(held.end()).min(self.all.len()) {
            self.all[layer] += 1.0 / kind.step_factor;
            self.domain(domain)[layer] += 1.0 / kind.step_factor;
        }
    }

    fn remove(&mut self, domain: &'a FailureDomain, held: LayerRange, kind: &Accelerator) {
        for layer in usize::from(held.start())..usize::from(held.end()).min(self.all.len()) {
            self.all[layer] -= 1.0 / kind.step_factor;
            self.domain(domain)[layer] -= 1.0 / kind.step_factor;
        }
    }

    /// Returns the coverage deficit over all layers; lower is better.
    fn deficit(&self) -> f64 {
        let deficit = |held: &f64| 1.0 / (COVERAGE_FLOOR + held.max(0.0));
        let in_domain = self.domains.values().flatten().map(deficit).sum::<f64>();
        DOMAIN_WEIGHT * in_domain + self.all.iter().map(deficit).sum::<f64>()
    }

    /// Returns the gain of one more copy of each layer.
    fn gains(&mut self, domain: &'a FailureDomain) -> Vec<f64> {
        let in_domain = self.domain(domain).clone();
        let both = in_domain.iter().zip(&self.all);
        both.map(|(in_domain, all)| {
            DOMAIN_WEIGHT / (COVERAGE_FLOOR + in_domain) + 1.0 / (COVERAGE_FLOOR + all)
        })
        .collect()
    }
}

/// Returns the maximum number of layers that an engine can hold while it keeps
/// KV cache free for `tokens` tokens.
fn max_layers(spec: &EngineSpec, kind: &Accelerator, tokens: u32) -> u16 {
    let token_mb = spec.kv_bytes_per_token / f64::from(spec.layers) / 1e6;
    let layers = kind.memory_mb / (spec.layer_mb + f64::from(tokens) * token_mb);
    (layers as u16).min(spec.layers)
}

/// Returns the layers that an engine was ordered to hold or, without a pending
/// order, holds.
fn assigned_layers(id: &VmId, row: &ServerRow, pending: &PendingOrders) -> Option<LayerRange> {
    let assigned = pending.get(id).map(|(layers, _)| *layers);
    assigned.or(row.entry.layers)
}

/// Returns the orders to send now, and removes completed and failed orders from
/// `pending`.
pub fn next_orders(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    pending: &mut PendingOrders,
    now: Timestamp,
) -> Vec<Assignment> {
    pending.retain(|id, (layers, at)| is_pending(spec, servers.get(id), *layers, *at, now));
    let newest = servers
        .of_service(service)
        .map(|(_, row)| row.first_seen)
        .max();
    let all_empty = servers
        .of_service(service)
        .all(|(id, row)| assigned_layers(id, row, pending).is_none());
    let registered = newest.is_some_and(|newest| now.since(newest) >= REGISTRATION_QUIET_TIME);
    if all_empty && !registered {
        return Vec::new();
    }
    let mut next = Vec::new();
    if !all_empty {
        let may_move = servers.unchanged_for(now) >= MOVE_QUIET_TIME;
        next = completion::complete_copies(spec, servers, service, pending, may_move);
    }
    let mut planned = pending.clone();
    planned.extend(next.iter().map(|a| (a.server.clone(), (a.layers, now))));
    next.extend(plan(spec, servers, service, &planned));
    if next.is_empty() && pending.is_empty() {
        next.extend(rebalance(spec, servers, service, pending));
    } else if !all_empty {
        // More concurrent loads would slow down each of them.
        next.truncate((spec.loads_at_once as usize).saturating_sub(pending.len()));
    }
    next.sort_by_key(|assignment| assignment.layers);
    next
}

/// Returns whether an order may still be carried out.
fn is_pending(
    spec: &EngineSpec,
    row: Option<&ServerRow>,
    layers: LayerRange,
    at: Timestamp,
    now: Timestamp,
) -> bool {
    let Some(row) = row else {
        return false;
    };
    let share = f64::from(layers.count()) / f64::from(spec.layers);
    let limit = spec.load_time.mul_f64(share) * SHARED_LOAD_FACTOR + ORDER_TIMEOUT_SLACK;
    let done = row.entry.layers == Some(layers);
    !done && row.first_seen <= at && now.since(at) < limit
}

/// Assigns layers to the engines of a service that hold none.
pub fn plan(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    pending: &PendingOrders,
) -> Vec<Assignment> {
    let mut coverage = Coverage::new(spec);
    let mut engines = Vec::new();
    let mut all_empty = true;
    for (id, row) in servers.of_service(service) {
        let Some(kind) = row.accelerator(spec) else {
            continue;
        };
        let domain = &row.entry.domain;
        match assigned_layers(id, row, pending) {
            _ if row.is_leaving() => {}
            Some(held) => {
                all_empty = false;
                coverage.add(domain, held, kind);
            }
            None => engines.push(Engine { id, domain, kind }),
        }
    }
    // Fast engines come first, both in copies and in repairs.
    engines.sort_by(|a, b| {
        a.kind
            .step_factor
            .total_cmp(&b.kind.step_factor)
            .then(a.id.cmp(b.id))
    });
    if !all_empty {
        return repair(spec, &mut coverage, engines);
    }
    let (mut assignments, left) = place_copies(spec, &mut coverage, engines);
    assignments.extend(repair(spec, &mut coverage, left));
    assignments
}

/// Forms copies within each domain, then across domains, and returns the
/// assignments and the engines that are in no copy.
fn place_copies<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    engines: Vec<Engine<'a>>,
) -> (Vec<Assignment>, Vec<Engine<'a>>) {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<Engine<'a>>> = BTreeMap::new();
    for engine in engines {
        by_domain.entry(engine.domain).or_default().push(engine);
    }
    let mut assignments = Vec::new();
    let mut left = Vec::new();
    for engines in by_domain.into_values() {
        match mixed::deal(spec, &engines) {
            Some(dealt) => {
                for engines in dealt.copies {
                    assign(spec, coverage, &engines, dealt.tokens, &mut assignments);
                }
            }
            None => left.extend(make_copies(spec, coverage, engines, &mut assignments)),
        }
    }
    left.sort_by(|a, b| a.kind.step_factor.total_cmp(&b.kind.step_factor));
    let left = make_copies(spec, coverage, left, &mut assignments);
    (assignments, left)
}

/// Forms as many copies as the engines allow and returns the remaining engines.
fn make_copies<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    mut engines: Vec<Engine<'a>>,
    assignments: &mut Vec<Assignment>,
) -> Vec<Engine<'a>> {
    while let Some((count, tokens)) = best_copy(spec, &engines) {
        let rest = engines.split_off(count);
        assign(spec, coverage, &engines, tokens, assignments);
        engines = rest;
    }
    engines
}

/// Assigns all layers to the engines of one copy, each of which keeps KV cache free
/// for `tokens` tokens.
fn assign<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    engines: &[Engine<'a>],
    tokens: u32,
    assignments: &mut Vec<Assignment>,
) {
    let mut start = 0;
    for (engine, width) in engines.iter().zip(widths(spec, engines, tokens)) {
        if let Ok(layers) = LayerRange::new(start, start + width) {
            coverage.add(engine.domain, layers, engine.kind);
            let server = engine.id.clone();
            assignments.push(Assignment { server, layers });
        }
        start += width;
    }
}

/// Returns how many of the fastest engines form the best copy, and the KV cache
/// in tokens that each of them keeps free.
fn best_copy(spec: &EngineSpec, engines: &[Engine<'_>]) -> Option<(usize, u32)> {
    let mut best: Option<(f64, usize, u32)> = None;
    // Each engine of a copy holds a layer at least.
    for count in 1..=engines.len().min(usize::from(spec.layers)) {
        let engines = &engines[..count];
        let fits = |tokens: &u32| {
            let layers = engines.iter().map(|e| max_layers(spec, e.kind, *tokens));
            layers.map(u32::from).sum::<u32>() >= u32::from(spec.layers)
        };
        let capacities = (MIN_COPY_TOKENS..=MAX_COPY_TOKENS).step_by(TOKEN_STEP as usize);
        let Some(tokens) = capacities.filter(fits).last() else {
            continue;
        };
        let widths = widths(spec, engines, tokens);
        let time = engines
            .iter()
            .zip(widths)
            .map(|(engine, width)| engine.kind.step_factor * f64::from(width));
        // The throughput is capacity over time. Time counts twice, because a
        // request that runs longer is affected by more failures.
        let value = f64::from(tokens) / time.sum::<f64>().powi(2);
        if best.is_none_or(|(highest, _, _)| value > highest) {
            best = Some((value, count, tokens));
        }
    }
    best.map(|(_, count, tokens)| (count, tokens))
}

/// Returns the number of layers of each engine in a copy. The slowest engines
/// give up the layers beyond those of the model.
fn widths(spec: &EngineSpec, engines: &[Engine<'_>], tokens: u32) -> Vec<u16> {
    let max = |engine: &Engine<'_>| max_layers(spec, engine.kind, tokens);
    let mut widths: Vec<u16> = engines.iter().map(max).collect();
    let mut excess = widths.iter().sum::<u16>().saturating_sub(spec.layers);
    while excess > 0 {
        for width in widths.iter_mut().rev() {
            if excess > 0 && *width > 0 {
                *width -= 1;
                excess -= 1;
            }
        }
    }
    widths
}

/// Assigns to each engine the range of layers with the lowest coverage.
fn repair<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    engines: Vec<Engine<'a>>,
) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    for engine in engines {
        let width = max_layers(spec, engine.kind, REPAIR_TOKENS);
        let width = width.max(max_layers(spec, engine.kind, MIN_COPY_TOKENS).min(1));
        let gains = coverage.gains(engine.domain);
        let Some(layers) = best_range(&gains, width) else {
            continue;
        };
        coverage.add(engine.domain, layers, engine.kind);
        let server = engine.id.clone();
        assignments.push(Assignment { server, layers });
    }
    assignments
}

/// Returns the range of `width` layers with the highest gain.
fn best_range(gains: &[f64], width: u16) -> Option<LayerRange> {
    let runs = gains.windows(usize::from(width.max(1))).enumerate();
    let gained = runs.map(|(start, run)| (run.iter().sum::<f64>(), Reverse(start)));
    let (_, Reverse(start)) = gained.max_by(|(a, x), (b, y)| a.total_cmp(b).then(x.cmp(y)))?;
    let start = u16::try_from(start).ok()?;
    LayerRange::new(start, start + width).ok()
}

/// Returns the move of one engine that reduces the coverage deficit most, if it
/// is worth a load. It restores coverage after engines were lost while none is
/// empty.
pub fn rebalance(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    pending: &PendingOrders,
) -> Option<Assignment> {
    let mut coverage = Coverage::new(spec);
    let mut engines = Vec::new();
    for (id, row) in servers.of_service(service) {
        let held = assigned_layers(id, row, pending).zip(row.accelerator(spec));
        let Some((held, kind)) = held.filter(|_| !row.is_leaving()) else {
            continue;
        };
        let domain = &row.entry.domain;
        coverage.add(domain, held, kind);
        let engine = Engine { id, domain, kind };
        engines.extend((!pending.contains_key(id)).then_some((engine, held)));
    }
    let current = coverage.deficit();
    let mut best: Option<(f64, Assignment)> = None;
    for (engine, held) in engines {
        coverage.remove(engine.domain, held, engine.kind);
        let width = max_layers(spec, engine.kind, REPAIR_TOKENS);
        let gains = coverage.gains(engine.domain);
        if let Some(layers) = best_range(&gains, width) {
            coverage.add(engine.domain, layers, engine.kind);
            let deficit = coverage.deficit();
            coverage.remove(engine.domain, layers, engine.kind);
            if best.as_ref().is_none_or(|(lowest, _)| deficit < *lowest) {
                let server = engine.id.clone();
                best = Some((deficit, Assignment { server, layers }));
            }
        }
        coverage.add(engine.domain, held, engine.kind);
    }
    let (deficit, assignment) = best?;
    (deficit < current * MAX_DEFICIT_RATIO).then_some(assignment)
}
