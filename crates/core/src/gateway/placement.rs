//! Decides which layers engines hold.
//!
//! At the start each failure domain gets a copy of its own, since activations
//! are large and the links between domains are shared. A copy takes the
//! domain's fastest cards, as many as pay: more cards leave more memory for
//! requests, slower ones keep each request longer.
//! What is left makes copies over all domains. Later, an engine that comes back
//! empty takes the layers that are held worst.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{
    config::{Accelerator, EngineSpec},
    servers::{ServerRow, ServerState, Servers},
};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// KV cache tokens that an engine must have room for to be part of a copy:
/// about 30 requests of the usual size.
const LEAST_TOKENS: u32 = 30_000;
/// KV cache tokens that an engine keeps room for when it fills a gap: about 60
/// requests of the usual size.
const REPAIR_TOKENS: u32 = 60_000;
/// Steps in which the room of a copy is looked for, in tokens.
const TOKEN_STEP: u32 = 5_000;
/// Room beyond which a copy takes no further cards, in tokens: more requests
/// than this would wait for the engines' passes, not for memory.
const MOST_TOKENS: u32 = 300_000;
/// Weight of a layer's coverage in the own domain against that in all domains.
const DOMAIN_WEIGHT: f64 = 4.0;
/// Coverage that stands for none, in cards of pace 1; a slow card covers a
/// sixteenth.
const NO_COVERAGE: f64 = 0.02;

/// What the layers may lack after a move, against before, for the move to be
/// worth the load and the time in which the engine takes no requests.
const WORTH_A_MOVE: f64 = 0.85;

/// Time without a new engine after which the first plan is made; engines
/// register within a heartbeat of their start.
const SETTLE: Duration = Duration::from_millis(1_300);
/// Times that a load may take when others share the store of weights.
const LOADS_SHARED: u32 = 2;
/// Time beyond loading after which an order counts as lost: the registry
/// follows within two heartbeats.
const ORDER_SLACK: Duration = Duration::from_millis(3_500);

/// The layers that an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Assignment {
    /// The engine.
    pub server: VmId,
    /// The layers.
    pub layers: LayerRange,
}

/// Engines whose last order may still be carried out, with what they were told
/// to hold and when.
pub type PendingOrders = BTreeMap<VmId, (LayerRange, Timestamp)>;

/// An engine without layers.
#[derive(Debug, Clone)]
struct Card<'a> {
    id: &'a VmId,
    domain: &'a FailureDomain,
    kind: &'a Accelerator,
}

/// How well each layer is held, as a sum of the speed of the cards.
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

    /// Returns how much the layers lack; less is better.
    fn lack(&self) -> f64 {
        let lack = |held: &f64| 1.0 / (NO_COVERAGE + held.max(0.0));
        let near = self.domains.values().flatten().map(lack).sum::<f64>();
        DOMAIN_WEIGHT * near + self.all.iter().map(lack).sum::<f64>()
    }

    /// Returns how much is gained for each layer by holding it once more.
    fn gains(&mut self, domain: &'a FailureDomain) -> Vec<f64> {
        let near = self.domain(domain).clone();
        let both = near.iter().zip(&self.all);
        both.map(|(near, all)| DOMAIN_WEIGHT / (NO_COVERAGE + near) + 1.0 / (NO_COVERAGE + all))
            .collect()
    }
}

/// Returns how many layers an engine holds at most while it keeps room for
/// `tokens`.
fn most_layers(spec: &EngineSpec, kind: &Accelerator, tokens: u32) -> u16 {
    let token_mb = spec.kv_bytes_per_token / f64::from(spec.layers) / 1e6;
    let layers = kind.memory_mb / (spec.layer_mb + f64::from(tokens) * token_mb);
    (layers as u16).min(spec.layers)
}

/// Returns what an engine holds, or was told to hold.
fn holds(id: &VmId, row: &ServerRow, ordered: &PendingOrders) -> Option<LayerRange> {
    let told = ordered.get(id).map(|(layers, _)| *layers);
    told.or(row.entry.layers)
}

/// Returns the orders that are to be given now, and forgets those that were
/// carried out or lost.
pub fn next_orders(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    ordered: &mut PendingOrders,
    now: Timestamp,
) -> Vec<Assignment> {
    ordered.retain(|id, (layers, at)| is_open(spec, servers.get(id), *layers, *at, now));
    let newest = servers.of(service).map(|(_, row)| row.since).max();
    let none_held = servers
        .of(service)
        .all(|(id, row)| holds(id, row, ordered).is_none());
    let settled = newest.is_some_and(|newest| now.since(newest) >= SETTLE);
    if none_held && !settled {
        return Vec::new();
    }
    let mut next = plan(spec, servers, service, ordered);
    if next.is_empty() && ordered.is_empty() {
        next.extend(rebalance(spec, servers, service, ordered));
    } else if !none_held {
        // More loads at a time make each of them slower.
        next.truncate((spec.loads_at_once as usize).saturating_sub(ordered.len()));
    }
    next.sort_by_key(|assignment| assignment.layers);
    next
}

/// Tells whether an order may still be carried out.
fn is_open(
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
    let limit = spec.load_time.mul_f64(share) * LOADS_SHARED + ORDER_SLACK;
    let done = row.entry.layers == Some(layers);
    !done && row.since <= at && now.since(at) < limit
}

/// Plans the engines of a service that hold nothing.
pub fn plan(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    ordered: &PendingOrders,
) -> Vec<Assignment> {
    let mut coverage = Coverage::new(spec);
    let mut cards = Vec::new();
    let mut none_held = true;
    for (id, row) in servers.of(service) {
        let Some(kind) = row.accelerator(spec) else {
            continue;
        };
        let domain = &row.entry.domain;
        match holds(id, row, ordered) {
            _ if row.entry.state != ServerState::Ready => {}
            Some(held) => {
                none_held = false;
                coverage.add(domain, held, kind);
            }
            None => cards.push(Card { id, domain, kind }),
        }
    }
    // Fast cards come first, in copies as in repairs.
    cards.sort_by(|a, b| {
        a.kind
            .step_factor
            .total_cmp(&b.kind.step_factor)
            .then(a.id.cmp(b.id))
    });
    if !none_held {
        return repair(spec, &mut coverage, cards);
    }
    let (mut assignments, left) = lay_out(spec, &mut coverage, cards);
    assignments.extend(repair(spec, &mut coverage, left));
    assignments
}

/// Makes copies within domains, then over all of them; returns the cards that
/// are part of none.
fn lay_out<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    cards: Vec<Card<'a>>,
) -> (Vec<Assignment>, Vec<Card<'a>>) {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<Card<'a>>> = BTreeMap::new();
    for card in cards {
        by_domain.entry(card.domain).or_default().push(card);
    }
    let mut assignments = Vec::new();
    let mut left = Vec::new();
    for cards in by_domain.into_values() {
        left.extend(copies(spec, coverage, cards, &mut assignments));
    }
    left.sort_by(|a, b| a.kind.step_factor.total_cmp(&b.kind.step_factor));
    let left = copies(spec, coverage, left, &mut assignments);
    (assignments, left)
}

/// Makes as many copies as the cards give; returns those that are left.
fn copies<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    mut cards: Vec<Card<'a>>,
    assignments: &mut Vec<Assignment>,
) -> Vec<Card<'a>> {
    while let Some((count, tokens)) = best_copy(spec, &cards) {
        let rest = cards.split_off(count);
        let mut start = 0;
        for (card, width) in cards.iter().zip(widths(spec, &cards, tokens)) {
            if let Ok(layers) = LayerRange::new(start, start + width) {
                coverage.add(card.domain, layers, card.kind);
                let server = card.id.clone();
                assignments.push(Assignment { server, layers });
            }
            start += width;
        }
        cards = rest;
    }
    cards
}

/// Returns how many of the fastest cards make the best copy, and the tokens
/// that each of them keeps room for.
fn best_copy(spec: &EngineSpec, cards: &[Card<'_>]) -> Option<(usize, u32)> {
    let mut best: Option<(f64, usize, u32)> = None;
    for count in 1..=cards.len() {
        let cards = &cards[..count];
        let fits = |tokens: &u32| {
            let layers = cards.iter().map(|c| most_layers(spec, c.kind, *tokens));
            layers.map(u32::from).sum::<u32>() >= u32::from(spec.layers)
        };
        let rooms = (LEAST_TOKENS..=MOST_TOKENS).step_by(TOKEN_STEP as usize);
        let Some(tokens) = rooms.filter(fits).last() else {
            continue;
        };
        let widths = widths(spec, cards, tokens);
        let time = cards
            .iter()
            .zip(widths)
            .map(|(card, width)| card.kind.step_factor * f64::from(width));
        // The rate is room over time. Time counts once more, since a request
        // that runs for longer is hit by more failures.
        let worth = f64::from(tokens) / time.sum::<f64>().powi(2);
        if best.is_none_or(|(most, _, _)| worth > most) {
            best = Some((worth, count, tokens));
        }
    }
    best.map(|(_, count, tokens)| (count, tokens))
}

/// Returns the layers of each card of a copy; the slowest ones give up what is
/// more than the model has.
fn widths(spec: &EngineSpec, cards: &[Card<'_>], tokens: u32) -> Vec<u16> {
    let most = |card: &Card<'_>| most_layers(spec, card.kind, tokens);
    let mut widths: Vec<u16> = cards.iter().map(most).collect();
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

/// Gives each card the run of layers that is held worst.
fn repair<'a>(
    spec: &EngineSpec,
    coverage: &mut Coverage<'a>,
    cards: Vec<Card<'a>>,
) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    for card in cards {
        let width = most_layers(spec, card.kind, REPAIR_TOKENS);
        let width = width.max(most_layers(spec, card.kind, LEAST_TOKENS).min(1));
        let gains = coverage.gains(card.domain);
        let Some(layers) = best_run(&gains, width) else {
            continue;
        };
        coverage.add(card.domain, layers, card.kind);
        let server = card.id.clone();
        assignments.push(Assignment { server, layers });
    }
    assignments
}

/// Returns the run of `width` layers that gains the most.
fn best_run(gains: &[f64], width: u16) -> Option<LayerRange> {
    let runs = gains.windows(usize::from(width.max(1))).enumerate();
    let gained = runs.map(|(start, run)| (run.iter().sum::<f64>(), Reverse(start)));
    let (_, Reverse(start)) = gained.max_by(|(a, x), (b, y)| a.total_cmp(b).then(x.cmp(y)))?;
    let start = u16::try_from(start).ok()?;
    LayerRange::new(start, start + width).ok()
}

/// Finds an engine to move when engines were lost and none is empty: the one
/// whose move makes the layers most evenly held, if that is worth a load.
pub fn rebalance(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    ordered: &PendingOrders,
) -> Option<Assignment> {
    let mut coverage = Coverage::new(spec);
    let mut engines = Vec::new();
    for (id, row) in servers.of(service) {
        let held = holds(id, row, ordered).zip(row.accelerator(spec));
        let Some((held, kind)) = held.filter(|_| row.entry.state == ServerState::Ready) else {
            continue;
        };
        let domain = &row.entry.domain;
        coverage.add(domain, held, kind);
        let card = Card { id, domain, kind };
        engines.extend((!ordered.contains_key(id)).then_some((card, held)));
    }
    let present = coverage.lack();
    let mut best: Option<(f64, Assignment)> = None;
    for (card, held) in engines {
        coverage.remove(card.domain, held, card.kind);
        let width = most_layers(spec, card.kind, REPAIR_TOKENS);
        let gains = coverage.gains(card.domain);
        if let Some(layers) = best_run(&gains, width) {
            coverage.add(card.domain, layers, card.kind);
            let lack = coverage.lack();
            coverage.remove(card.domain, layers, card.kind);
            if best.as_ref().is_none_or(|(least, _)| lack < *least) {
                let server = card.id.clone();
                best = Some((lack, Assignment { server, layers }));
            }
        }
        coverage.add(card.domain, held, card.kind);
    }
    let (lack, assignment) = best?;
    (lack < present * WORTH_A_MOVE).then_some(assignment)
}
