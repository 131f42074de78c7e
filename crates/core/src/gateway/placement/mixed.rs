//! Forms copies of engines of all kinds, so that each copy keeps the gap between events
//! that routes state.
//!
//! Load pattern: a copy of slow engines alone keeps the gap only while it is nearly idle.
//! Each event waits at every stage behind the prompts that are processed there, and a
//! slow engine takes several times as long for a prompt. Under load, all streams of such
//! copies are late, while the other copies could be slower without harm. If each copy has
//! its part of the slow engines, all of them keep the gap.

use std::collections::BTreeSet;

use super::{Engine, MAX_COPY_TOKENS, MIN_COPY_TOKENS, TOKEN_STEP, max_layers};
use crate::gateway::{
    config::{Accelerator, EngineSpec},
    paths::MAX_KV_FILL,
};

/// Size of a long prompt, in prompts of typical size.
const LONG_PROMPT: f64 = 3.0;
/// Long prompts behind which an event waits while a copy is busy.
const PROMPTS_IN_TRANSIT: f64 = 2.0;

/// Engines that were dealt to copies.
#[derive(Debug)]
pub(super) struct Dealt<'a> {
    /// The engines of each copy, the fastest ones first.
    pub(super) copies: Vec<Vec<Engine<'a>>>,
    /// KV cache that each engine keeps free, in tokens.
    pub(super) tokens: u32,
}

/// Deals the engines of one failure domain, the fastest ones first, to as many copies as
/// let most requests run. Returns `None` if copies of each kind keep the gap, or if the
/// engines are too few for a copy.
pub(super) fn deal<'a>(spec: &EngineSpec, engines: &[Engine<'a>]) -> Option<Dealt<'a>> {
    if spec.layers == 0 || engines.iter().all(|engine| keeps_gap(spec, engine.kind)) {
        return None;
    }
    let mut best: Option<(f64, Dealt<'a>)> = None;
    for tokens in (MIN_COPY_TOKENS..=MAX_COPY_TOKENS).step_by(TOKEN_STEP as usize) {
        let layers = engines.iter().map(|e| max_layers(spec, e.kind, tokens));
        let count = layers.map(usize::from).sum::<usize>() / usize::from(spec.layers);
        let requests = MAX_KV_FILL * f64::from(tokens) / f64::from(spec.baseline_tokens());
        let capacity = |count: usize| count as f64 * requests.min(f64::from(spec.slots));
        // Engines can't be divided, so the last copy may lack some layers.
        for count in [count, count.saturating_sub(1)] {
            let lowest = best.as_ref().map_or(0.0, |(capacity, _)| *capacity);
            if capacity(count) <= lowest {
                continue;
            }
            if let Some(copies) = deal_to(spec, engines, count, tokens) {
                best = Some((capacity(count), Dealt { copies, tokens }));
            }
        }
    }
    best.map(|(_, dealt)| dealt)
}

/// Deals engines to `count` copies, each one to the copy with the fewest layers. Returns
/// `None` if a copy lacks layers in the end.
fn deal_to<'a>(
    spec: &EngineSpec,
    engines: &[Engine<'a>],
    count: usize,
    tokens: u32,
) -> Option<Vec<Vec<Engine<'a>>>> {
    let mut copies = vec![Vec::new(); count];
    let mut by_layers: BTreeSet<(u32, usize)> = (0..count).map(|copy| (0, copy)).collect();
    for engine in engines {
        let (layers, copy) = by_layers.pop_first()?;
        copies[copy].push(engine.clone());
        let width = max_layers(spec, engine.kind, tokens);
        by_layers.insert((layers + u32::from(width), copy));
    }
    let is_complete = |(layers, _): &(u32, usize)| *layers >= u32::from(spec.layers);
    by_layers.iter().all(is_complete).then_some(copies)
}

/// Returns whether a copy of engines of one kind keeps the gap that routes state while
/// all its slots are in use.
fn keeps_gap(spec: &EngineSpec, kind: &Accelerator) -> bool {
    let Some(target) = spec.target_gap else {
        return true;
    };
    let running = f64::from(spec.slots);
    let context_k = running * f64::from(spec.baseline_tokens()) / 1e3;
    let step = spec.step_ms + spec.per_request_ms * running + spec.per_context_k_ms * context_k;
    let write = f64::from(spec.stride) * step * kind.step_factor;
    let prompt = LONG_PROMPT * f64::from(spec.baseline_prompt_tokens);
    let read = prompt * 1e3 / spec.prefill_tokens_per_s * kind.read_factor;
    write + PROMPTS_IN_TRANSIT * read <= target.as_secs_f64() * 1e3
}
