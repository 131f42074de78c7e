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

use super::{Candidate, MAX_KV_FILL, Path, StageStart, build_path, prefill_ms, step_ms};
use crate::gateway::{config::EngineSpec, paths::TokenEstimate};

/// Exponent of the time per request in the share of a copy. With 1, the shares
/// are those of the throughputs; a larger one prefers fast copies, on which a
/// request is exposed to fewer failures.
const DURATION_EXPONENT: f64 = 1.5;
/// Predicted time to the first event at which a copy gets half of the requests
/// that it would get without a backlog, in milliseconds.
const HALF_WEIGHT_BACKLOG_MS: f64 = 150.0;

/// Engines of one failure domain that hold every layer once, with the layer at
/// which each one starts.
type Copy = Vec<StageStart>;

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

/// Divides the engines of each failure domain into copies. Engines that remain
/// are in no copy.
fn find_copies(spec: &EngineSpec, candidates: &[Candidate<'_>]) -> Vec<Copy> {
    let is_suspect = |index: &usize| candidates[*index].is_suspect;
    let mut free: Vec<usize> = (0..candidates.len()).filter(|i| !is_suspect(i)).collect();
    // A copy uses engines of the same kind where it can, so that a slow engine
    // does not slow down a fast copy.
    free.sort_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        let by_kind = a.kind.step_factor.total_cmp(&b.kind.step_factor);
        a.domain
            .cmp(&b.domain)
            .then(by_kind)
            .then(a.layers.start().cmp(&b.layers.start()))
            .then(a.id.cmp(b.id))
    });
    let mut copies = Vec::new();
    let heads: Vec<usize> = free
        .iter()
        .copied()
        .filter(|index| candidates[*index].may_be_first && candidates[*index].layers.start() == 0)
        .collect();
    for head in heads {
        if let Some(copy) = extend_copy(spec, candidates, &free, head) {
            free.retain(|index| copy.iter().all(|stage| stage.candidate != *index));
            copies.push(copy);
        }
    }
    copies
}

/// Returns a copy that starts with the engine `head` and consists of engines in
/// `free`.
fn extend_copy(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    free: &[usize],
    head: usize,
) -> Option<Copy> {
    if !free.contains(&head) {
        return None;
    }
    let domain = candidates[head].domain;
    let kind_of = |index: usize| candidates[index].kind.step_factor;
    let mut copy = vec![StageStart {
        candidate: head,
        start: 0,
    }];
    let mut position = candidates[head].layers.end();
    while position < spec.layers {
        let holds_next = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.domain == domain
                && candidate.layers.start() <= position
                && position < candidate.layers.end()
        };
        // An engine that starts earlier runs only a part of what it holds.
        let next = free.iter().copied().filter(holds_next).min_by(|a, b| {
            let unused = |index: usize| position - candidates[index].layers.start();
            let differs = |index: usize| kind_of(index) != kind_of(head);
            differs(*a)
                .cmp(&differs(*b))
                .then(unused(*a).cmp(&unused(*b)))
        })?;
        copy.push(StageStart {
            candidate: next,
            start: position,
        });
        position = candidates[next].layers.end();
    }
    Some(copy)
}

/// Returns the relative share of requests that a copy gets, or `None` if it
/// lacks capacity for the request. The share grows with the tokens that still
/// fit, and falls with the time per request.
fn weight(
    spec: &EngineSpec,
    candidates: &[Candidate<'_>],
    copy: &Copy,
    estimate: TokenEstimate,
) -> Option<f64> {
    let mut free_tokens = f64::INFINITY;
    let (mut first_ms, mut token_ms) = (0.0, 0.0);
    for stage in copy {
        let candidate = &candidates[stage.candidate];
        let held = f64::from(candidate.layers.count());
        let run = f64::from(candidate.layers.end() - stage.start);
        let free = MAX_KV_FILL * candidate.capacity - candidate.row.total_tokens() as f64;
        free_tokens = free_tokens.min(free * held / run);
        first_ms += prefill_ms(spec, candidate, stage.start, estimate);
        token_ms += step_ms(spec, candidate, stage.start);
    }
    let head = &candidates[copy.first()?.candidate];
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
