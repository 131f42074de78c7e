//! Completes broken copies.
//!
//! Load pattern: engines are lost one by one in different copies. Each loss makes
//! a whole copy useless, although most of its engines are left. Empty engines fill its
//! gaps; without any, the engines on both sides of a gap take its layers too, and if they
//! lack memory, the engines of one broken copy fill the gaps of the others. Empty engines
//! that can't fill all gaps of a copy fill some of them.

use std::{cmp::Reverse, collections::BTreeMap};

use super::{
    Assignment, Engine, MAX_COPY_TOKENS, MIN_COPY_TOKENS, PendingOrders, REPAIR_TOKENS, TOKEN_STEP,
    assigned_layers, max_layers,
};
use crate::{
    gateway::{
        chains::{self, BrokenCopy, Link},
        config::EngineSpec,
        servers::Servers,
    },
    ids::{FailureDomain, LayerRange, ServiceId},
};

/// Engines of one failure domain that are in no complete copy.
#[derive(Debug, Default)]
struct Spare<'a> {
    /// Engines that hold layers.
    holding: Vec<(Engine<'a>, Link)>,
    /// Engines that hold none.
    empty: Vec<Engine<'a>>,
}

/// Returns the orders that complete broken copies. Engines of complete copies
/// are left alone. `may_move` is whether engines that hold layers may get others.
pub(super) fn complete_copies(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    pending: &PendingOrders,
    may_move: bool,
) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    for spare in spare_engines(spec, servers, service, pending).into_values() {
        assignments.extend(complete_in_domain(spec, servers, spare, pending, may_move));
    }
    assignments
}

fn spare_engines<'a>(
    spec: &'a EngineSpec,
    servers: &'a Servers,
    service: &'a ServiceId,
    pending: &PendingOrders,
) -> BTreeMap<&'a FailureDomain, Spare<'a>> {
    let mut domains: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    let mut spare: BTreeMap<&FailureDomain, Spare<'_>> = BTreeMap::new();
    let (mut engines, mut links) = (Vec::new(), Vec::new());
    for (id, row) in servers.of_service(service) {
        let Some(kind) = row.accelerator(spec).filter(|_| !row.is_leaving()) else {
            continue;
        };
        let domain = &row.entry.domain;
        let engine = Engine { id, domain, kind };
        let Some(layers) = assigned_layers(id, row, pending) else {
            spare.entry(domain).or_default().empty.push(engine);
            continue;
        };
        let count = domains.len();
        links.push(Link {
            domain: *domains.entry(domain).or_insert(count),
            step_factor: kind.step_factor,
            layers,
        });
        engines.push(engine);
    }
    let copies = chains::find_copies(spec.layers, &links);
    let mut in_copy = vec![false; links.len()];
    for stage in copies.iter().flatten() {
        in_copy[stage.index] = true;
    }
    for ((engine, link), in_copy) in engines.into_iter().zip(links).zip(in_copy) {
        if !in_copy {
            let spare = spare.entry(engine.domain).or_default();
            spare.holding.push((engine, link));
        }
    }
    spare
}

/// Completes copies in one failure domain until the engines that are left are
/// too few.
fn complete_in_domain(
    spec: &EngineSpec,
    servers: &Servers,
    mut spare: Spare<'_>,
    pending: &PendingOrders,
    may_move: bool,
) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    let by_speed =
        |a: &Engine<'_>, b: &Engine<'_>| a.kind.step_factor.total_cmp(&b.kind.step_factor);
    spare.empty.sort_by(by_speed);
    spare.holding.sort_by(|(a, _), (b, _)| by_speed(a, b));
    loop {
        let links: Vec<Link> = spare.holding.iter().map(|(_, link)| *link).collect();
        let broken = chains::find_broken_copy(spec.layers, &links);
        let Some(BrokenCopy { chain, gaps }) = broken else {
            return assignments;
        };
        let like = spare.holding[chain[0]].0.kind.step_factor;
        let tokens = free_tokens(spec, &spare.holding, &chain);
        let fills = fill_with(spec, &gaps, spare.empty.clone(), like, tokens)
            .or_else(|| extend(spec, servers, &spare.holding, &chain, &gaps, pending))
            .or_else(|| {
                let unchained = (0..spare.holding.len()).filter(|index| !chain.contains(index));
                let held = unchained.map(|index| &spare.holding[index].0);
                let movable = held.filter(|e| may_move && !pending.contains_key(e.id));
                let donors = spare.empty.iter().chain(movable).cloned().collect();
                // Each move takes an engine away from its requests, so few of them are made.
                fill_with(spec, &gaps, donors, like, MIN_COPY_TOKENS)
            })
            .unwrap_or_else(|| fill_some(spec, gaps, spare.empty.clone(), like, tokens));
        if fills.is_empty() {
            return assignments;
        }
        let is_used = |engine: &Engine<'_>| fills.iter().any(|fill| fill.server == *engine.id);
        spare.empty.retain(|engine| !is_used(engine));
        let holding = std::mem::take(&mut spare.holding).into_iter().enumerate();
        let left = holding.filter(|(index, (e, _))| !chain.contains(index) && !is_used(e));
        spare.holding = left.map(|(_, entry)| entry).collect();
        assignments.extend(fills);
    }
}

/// Assigns to empty engines those gaps that they can fill, the largest ones first. The
/// others are filled once further engines return.
fn fill_some(
    spec: &EngineSpec,
    mut gaps: Vec<(u16, u16)>,
    mut empty: Vec<Engine<'_>>,
    like: f64,
    tokens: u32,
) -> Vec<Assignment> {
    let mut fills = Vec::new();
    gaps.sort_by_key(|(from, to)| Reverse(to - from));
    for gap in gaps {
        let filled = fill_with(spec, &[gap], empty.clone(), like, tokens).unwrap_or_default();
        empty.retain(|engine| filled.iter().all(|fill| fill.server != *engine.id));
        fills.extend(filled);
    }
    fills
}

/// Extends the engines on both sides of each gap, which go on serving meanwhile. Returns
/// `None` if they lack memory for that.
///
/// An engine that gives up layers accepts nothing until the streams that use them have
/// ended. This takes longer than the load of a few layers.
fn extend(
    spec: &EngineSpec,
    servers: &Servers,
    holding: &[(Engine<'_>, Link)],
    chain: &[usize],
    gaps: &[(u16, u16)],
    pending: &PendingOrders,
) -> Option<Vec<Assignment>> {
    let mut ranges: Vec<(u16, u16)> = chain
        .iter()
        .map(|index| holding[*index].1.layers)
        .map(|layers| (layers.start(), layers.end()))
        .collect();
    let spare_layers = |stage: usize, (start, end): (u16, u16)| {
        let engine = &holding[chain[stage]].0;
        if pending.contains_key(engine.id) {
            return 0;
        }
        // The requests that run there keep their memory.
        let used = servers.get(engine.id).map_or(0, |row| row.total_tokens());
        let tokens = u32::try_from(used).map_or(u32::MAX, |used| used.max(REPAIR_TOKENS));
        max_layers(spec, engine.kind, tokens).saturating_sub(end - start)
    };
    for &(from, to) in gaps {
        let before = ranges.iter().position(|(_, end)| *end == from);
        let after = ranges.iter().position(|(start, _)| *start == to);
        let room = |stage: Option<usize>| stage.map_or(0, |s| spare_layers(s, ranges[s]));
        let (room_before, room_after) = (room(before), room(after));
        let missing = to - from;
        if room_before + room_after < missing {
            return None;
        }
        let half = missing.div_ceil(2);
        let by_before = half
            .min(room_before)
            .max(missing.saturating_sub(room_after));
        if let Some(stage) = before {
            ranges[stage].1 += by_before;
        }
        if let Some(stage) = after {
            ranges[stage].0 -= missing - by_before;
        }
    }
    let mut extended = Vec::new();
    for (index, (start, end)) in chain.iter().zip(ranges) {
        let (engine, link) = &holding[*index];
        let layers = LayerRange::new(start, end).ok()?;
        if layers != link.layers {
            let server = engine.id.clone();
            extended.push(Assignment { server, layers });
        }
    }
    Some(extended)
}

/// Returns the KV cache, in tokens, that every engine of a chain keeps free. Requests run
/// on all of them, so that an engine with less would be what limits the copy.
fn free_tokens(spec: &EngineSpec, holding: &[(Engine<'_>, Link)], chain: &[usize]) -> u32 {
    let held = chain.iter().map(|index| &holding[*index]);
    let free = held.filter_map(|(engine, link)| spec.kv_tokens(engine.kind, link.layers.count()));
    let least = free.min().unwrap_or(MIN_COPY_TOKENS);
    least.clamp(MIN_COPY_TOKENS, MAX_COPY_TOKENS)
}

/// Assigns the gaps to engines, or returns `None` if there are too few. Engines of
/// the speed `like` come first, as a copy is as slow as its slowest engines. Each engine
/// keeps KV cache free for `tokens` tokens, or for as many as are possible.
fn fill_with(
    spec: &EngineSpec,
    gaps: &[(u16, u16)],
    donors: Vec<Engine<'_>>,
    like: f64,
    tokens: u32,
) -> Option<Vec<Assignment>> {
    let fewer = (MIN_COPY_TOKENS..tokens).rev().step_by(TOKEN_STEP as usize);
    let mut tokens = std::iter::once(tokens)
        .chain(fewer)
        .chain([MIN_COPY_TOKENS]);
    tokens.find_map(|tokens| fill(spec, gaps, donors.clone(), like, tokens))
}

fn fill(
    spec: &EngineSpec,
    gaps: &[(u16, u16)],
    mut donors: Vec<Engine<'_>>,
    like: f64,
    tokens: u32,
) -> Option<Vec<Assignment>> {
    let mut fills = Vec::new();
    for &(from, to) in gaps {
        let mut start = from;
        while start < to {
            let width = |engine: &Engine<'_>| max_layers(spec, engine.kind, tokens);
            let best = donors
                .iter()
                .position(|e| e.kind.step_factor == like && width(e) > 0);
            let best = best.or_else(|| donors.iter().position(|e| width(e) > 0))?;
            let engine = donors.remove(best);
            let end = to.min(start + width(&engine));
            fills.push(Assignment {
                server: engine.id.clone(),
                layers: LayerRange::new(start, end).ok()?,
            });
            start = end;
        }
    }
    Some(fills)
}
