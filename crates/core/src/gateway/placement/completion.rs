//! Completes broken copies.
//!
//! Load pattern: engines are lost one by one in different copies. Each loss makes
//! a whole copy useless, although most of its engines are left. The engines of
//! one broken copy can fill the gaps of the others.

use std::collections::BTreeMap;

use super::{Assignment, Engine, MIN_COPY_TOKENS, PendingOrders, assigned_layers, max_layers};
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
        assignments.extend(complete_in_domain(spec, spare, pending, may_move));
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
        let mut donors: Vec<Engine<'_>> = spare.empty.clone();
        if may_move {
            let unchained = (0..spare.holding.len()).filter(|index| !chain.contains(index));
            let movable = unchained.map(|index| &spare.holding[index].0);
            donors.extend(movable.filter(|e| !pending.contains_key(e.id)).cloned());
        }
        let like = spare.holding[chain[0]].0.kind.step_factor;
        let Some(fills) = fill_gaps(spec, &gaps, donors, like) else {
            return assignments;
        };
        let is_used = |engine: &Engine<'_>| fills.iter().any(|fill| fill.server == *engine.id);
        spare.empty.retain(|engine| !is_used(engine));
        let holding = std::mem::take(&mut spare.holding).into_iter().enumerate();
        let left = holding.filter(|(index, (e, _))| !chain.contains(index) && !is_used(e));
        spare.holding = left.map(|(_, entry)| entry).collect();
        assignments.extend(fills);
    }
}

/// Assigns the gaps to engines, or returns `None` if there are too few. Engines of
/// the speed `like` come first, as a copy is as slow as its slowest engines.
fn fill_gaps(
    spec: &EngineSpec,
    gaps: &[(u16, u16)],
    mut donors: Vec<Engine<'_>>,
    like: f64,
) -> Option<Vec<Assignment>> {
    let mut fills = Vec::new();
    for &(from, to) in gaps {
        let mut start = from;
        while start < to {
            let width = |engine: &Engine<'_>| max_layers(spec, engine.kind, MIN_COPY_TOKENS);
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
