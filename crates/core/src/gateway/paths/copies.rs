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

use super::{Candidate, MAX_KV_FILL, Path, build_path, prefill_ms, step_ms};
use crate::gateway::{
    chains::{self, Link, StageStart},
    config::EngineSpec,
    paths::TokenEstimate,
};

/// Exponent of the time per request in the share of a copy. With 1, the shares
/// are those of the throughputs; a larger one prefers fast copies, on which a
/// request is exposed to fewer failures.
const DURATION_EXPONENT: f64 = 1.5;
/// Predicted time to the first event at which a copy gets half of the requests
/// that it would get without a backlog, in milliseconds.
const HALF_WEIGHT_BACKLOG_MS: f64 = 150.0;

/// Engines of one failure domain that hold every layer once, with the layer at
/// which each one starts.
type ModelCopy = Vec<StageStart>;

/// Draws a copy that has capacity, and returns its path. `draw` returns random
/// numbers in `0.0..1.0`.
pub(super) fn draw_path(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    estimate: TokenEstimate,
    mut draw: impl FnMut() -> f64,
) -> Option<Path> {
    let copies = find_copies(spec, candidates);
    let weights: Vec<f64> = copies
        .iter()
        .map(|copy| weight(spec, candidates, copy, estimate).unwrap_or(0.0))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut left = draw() * total;
    let drawn = copies.iter().zip(&weights).find(|(_, weight)| {
        left -= **weight;
        left < 0.0
    });
    let (copy, _) = drawn?;
    build_path(spec, candidates, copy, estimate)
}

/// Divides the engines into copies, apart from those that are suspect.
fn find_copies(spec: &EngineSpec, candidates: &[Candidate<'_>]) -> Vec<ModelCopy> {
    let links: Vec<Link> = candidates
        .iter()
        .map(|candidate| Link {
            domain: candidate.domain,
            step_factor: candidate.kind.step_factor,
            layers: candidate.layers,
            may_be_first: candidate.may_be_first,
        })
        .collect();
    let indices = 0..candidates.len();
    let free = indices.filter(|index| !candidates[*index].is_suspect);
    chains::find_copies(spec.layers, &links, free.collect())
}

/// Returns the relative share of requests that a copy gets, or `None` if it
/// lacks capacity for the request. The share grows with the tokens that still
/// fit, and falls with the time per request.
fn weight(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    copy: &ModelCopy,
    estimate: TokenEstimate,
) -> Option<f64> {
    let mut free_tokens = f64::INFINITY;
    let (mut first_ms, mut token_ms) = (0.0, 0.0);
    for stage in copy {
        let candidate = &candidates[stage.index];
        let held = f64::from(candidate.layers.count());
        let run = f64::from(candidate.layers.end() - stage.start);
        let free = MAX_KV_FILL * candidate.capacity - candidate.row.total_tokens() as f64;
        free_tokens = free_tokens.min(free * held / run);
        first_ms += prefill_ms(spec, candidate, stage.start, estimate);
        token_ms += step_ms(spec, candidate, stage.start);
    }
    let head = &candidates[copy.first()?.index];
    let free_slots = f64::from(spec.slots.saturating_sub(head.row.total_requests()));
    let tokens = estimate.tokens() as f64;
    free_tokens = free_tokens.min(free_slots * tokens);
    if free_tokens < tokens {
        return None;
    }
    let duration = first_ms + token_ms * f64::from(spec.baseline_output_tokens.max(1));
    let backlog = first_ms / HALF_WEIGHT_BACKLOG_MS;
    Some(free_tokens / duration.powf(DURATION_EXPONENT) / (1.0 + backlog.powi(2)))
}
