//! Spreads generations over the copies of the model.
//!
//! Load pattern: hundreds of nodes choose paths at the same time, and each one
//! hears of the others' choices some hundred milliseconds later. If all of them
//! chose the path with the lowest cost, they would all choose the same one until
//! its memory is full, and then the next one. Each node therefore draws a copy
//! at random, with a probability that falls with its load and its time per
//! token. A stale view then changes the shares only slightly.
//!
//! Load pattern: engines fall silent. Each node has few requests, so it would
//! have to lose several of them before it knew. Copies with an engine on which no
//! node's requests make progress are therefore left out.
//!
//! The engines are divided into copies only when the registry changes, and a
//! request looks at a few copies, so its cost does not grow with the engines.

use std::collections::BTreeMap;

use super::{Candidate, Path, PathRequest, backlog_ms, build_path, candidate, prefill_ms, step_ms};
use crate::{
    gateway::{
        chains::{self, Link, StageStart},
        config::EngineSpec,
        servers::Servers,
    },
    ids::{FailureDomain, ServiceId, VmId},
    time::Timestamp,
};

/// Predicted time to the first event at which a copy gets half of the requests
/// that it would get without a backlog, in milliseconds.
const HALF_WEIGHT_BACKLOG_MS: f64 = 150.0;
/// Exponent of the time per request in the share of a copy. With 1, the shares
/// are those of the throughputs; a larger one prefers fast copies, on which a
/// request is exposed to fewer failures.
const DURATION_EXPONENT: f64 = 1.5;
/// Number of copies among which a request is drawn. With fewer copies it is drawn
/// among all of them.
const MAX_DRAWN_COPIES: usize = 32;

/// The copies of one service.
#[derive(Debug, Default)]
pub struct Copies {
    /// The engines of each copy, with the layer at which each one starts.
    copies: Vec<Vec<(VmId, u16)>>,
}

/// The copies of all services, as of a version of the registry.
#[derive(Debug, Default)]
pub struct CopyTable {
    layout_version: u64,
    by_service: BTreeMap<ServiceId, Copies>,
}

impl CopyTable {
    /// Returns the copies of a service. They are divided anew if the registry has
    /// changed.
    pub fn get(&mut self, spec: &EngineSpec, servers: &Servers, service: &ServiceId) -> &Copies {
        if self.layout_version != servers.layout_version() {
            self.layout_version = servers.layout_version();
            self.by_service.clear();
        }
        let copies = self.by_service.entry(service.clone());
        copies.or_insert_with(|| Copies::new(spec, servers, service))
    }
}

impl Copies {
    /// Divides the engines of a service into copies.
    pub fn new(spec: &EngineSpec, servers: &Servers, service: &ServiceId) -> Self {
        let mut domains: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
        let (mut ids, mut links) = (Vec::new(), Vec::new());
        for (id, row) in servers.of_service(service) {
            let held = row.entry.layers.zip(row.accelerator(spec));
            let Some((layers, kind)) = held.filter(|_| !row.is_leaving()) else {
                continue;
            };
            let count = domains.len();
            links.push(Link {
                domain: *domains.entry(&row.entry.domain).or_insert(count),
                step_factor: kind.step_factor,
                layers,
            });
            ids.push(id);
        }
        let copies = chains::find_copies(spec.layers, &links).into_iter();
        let with_ids = |copy: Vec<StageStart>| {
            let stages = copy.into_iter();
            stages.map(|s| (ids[s.index].clone(), s.start)).collect()
        };
        Self {
            copies: copies.map(with_ids).collect(),
        }
    }

    /// Draws a copy that has capacity within the request's limits, and returns its path.
    /// `draw` returns random numbers in `0.0..1.0`.
    pub fn draw_path(
        &self,
        spec: &EngineSpec,
        servers: &Servers,
        now: Timestamp,
        req: &PathRequest<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Option<Path> {
        let count = self.copies.len();
        let drawn: Vec<usize> = match count <= MAX_DRAWN_COPIES {
            true => (0..count).collect(),
            false => (0..MAX_DRAWN_COPIES)
                .map(|_| (draw() * count as f64) as usize)
                .collect(),
        };
        let usable = drawn.into_iter().filter_map(|index| {
            let copy = self.candidates(index, spec, servers, now, req.avoid)?;
            let weight = weight(spec, &copy, req)?;
            Some((weight, copy))
        });
        let usable: Vec<_> = usable.collect();
        let total: f64 = usable.iter().map(|(weight, _)| weight).sum();
        let mut left = draw() * total;
        let (_, (candidates, stages)) = usable.iter().find(|(weight, _)| {
            left -= weight;
            left < 0.0
        })?;
        build_path(spec, candidates, stages, req)
    }

    /// Returns the engines of a copy with their current load, or `None` if one of
    /// them takes no requests.
    fn candidates<'a>(
        &'a self,
        index: usize,
        spec: &'a EngineSpec,
        servers: &'a Servers,
        now: Timestamp,
        avoid: &[VmId],
    ) -> Option<LoadedCopy<'a>> {
        let copy = self.copies.get(index)?;
        let mut candidates = Vec::with_capacity(copy.len());
        let mut stages = Vec::with_capacity(copy.len());
        for (index, (id, start)) in copy.iter().enumerate() {
            let row = servers.get(id)?;
            if row.is_suspect(now) || avoid.contains(id) {
                return None;
            }
            candidates.push(candidate(spec, id, row, now)?);
            let start = *start;
            stages.push(StageStart { index, start });
        }
        Some((candidates, stages))
    }
}

/// The engines of a copy and its stages.
type LoadedCopy<'a> = (Vec<Candidate<'a>>, Vec<StageStart>);

/// Returns the relative share of requests that a copy gets, or `None` if it
/// lacks capacity for the request within the limits. The share grows with the tokens that still
/// fit, and falls with the time per request.
fn weight(
    spec: &EngineSpec,
    (candidates, stages): &LoadedCopy<'_>,
    req: &PathRequest<'_>,
) -> Option<f64> {
    let (estimate, limits) = (req.estimate, req.limits);
    let mut free_tokens = f64::INFINITY;
    let (mut first_ms, mut token_ms, mut backlog) = (0.0, 0.0, 0.0);
    for (candidate, stage) in candidates.iter().zip(stages) {
        let held = f64::from(candidate.layers.count());
        let run = f64::from(candidate.layers.end() - stage.start);
        let free = limits.kv_fill * candidate.capacity - candidate.row.total_tokens() as f64;
        free_tokens = free_tokens.min(free * held / run);
        first_ms += prefill_ms(spec, candidate, stage.start, estimate);
        token_ms += step_ms(spec, candidate, stage.start);
        backlog += backlog_ms(spec, candidate, stage.start);
    }
    let head = candidates.first().filter(|head| head.may_be_first)?;
    let free_slots = f64::from(spec.slots.saturating_sub(head.row.total_requests()));
    let tokens = estimate.tokens() as f64;
    free_tokens = free_tokens.min(free_slots * tokens);
    if free_tokens < tokens {
        return None;
    }
    if !limits.allow(backlog) {
        return None;
    }
    let duration = first_ms + token_ms * f64::from(spec.baseline_output_tokens.max(1));
    let delay = first_ms / HALF_WEIGHT_BACKLOG_MS;
    Some(free_tokens / duration.powf(DURATION_EXPONENT) / (1.0 + delay.powi(2)))
}
