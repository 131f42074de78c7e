//! Divides engines into copies of the model.
//!
//! A copy is a chain of engines of one failure domain in which each engine goes
//! on where the one before it ends, so that all layers are run once. Path
//! selection and placement must agree on what is a copy.

use crate::ids::LayerRange;

/// An engine that may be part of a copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Link {
    /// Number of its failure domain.
    pub(super) domain: usize,
    /// Duration of a decoding step relative to the fastest kind.
    pub(super) step_factor: f64,
    /// The layers that it holds.
    pub(super) layers: LayerRange,
    /// Whether it may be the first engine of a copy.
    pub(super) may_be_first: bool,
}

/// An engine in a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StageStart {
    /// Index of the engine.
    pub(super) index: usize,
    /// The first layer that it runs; it runs to its last one.
    pub(super) start: u16,
}

/// Divides the engines with the indices `free` into copies of `layers` layers.
/// Engines that remain are in no copy. Fast engines come first. Copies of one kind
/// of engine are found before mixed ones, so that a slow engine does not slow down
/// a fast copy, and a broken copy does not break another one.
pub(super) fn find_copies(
    layers: u16,
    links: &[Link],
    mut free: Vec<usize>,
) -> Vec<Vec<StageStart>> {
    free.sort_by(|a, b| {
        let (a, b) = (&links[*a], &links[*b]);
        a.domain
            .cmp(&b.domain)
            .then(a.step_factor.total_cmp(&b.step_factor))
            .then(a.layers.start().cmp(&b.layers.start()))
    });
    let is_head = |index: &usize| links[*index].may_be_first && links[*index].layers.start() == 0;
    let heads: Vec<usize> = free.iter().copied().filter(is_head).collect();
    let mut copies = Vec::new();
    for mixed in [false, true] {
        for head in heads.iter().copied() {
            if !free.contains(&head) {
                continue;
            }
            if let Some(copy) = extend(layers, links, &free, head, mixed) {
                free.retain(|index| copy.iter().all(|stage| stage.index != *index));
                copies.push(copy);
            }
        }
    }
    copies
}

/// Returns a copy that starts with the engine `head`. `mixed` is whether its
/// engines may be of different kinds.
fn extend(
    layers: u16,
    links: &[Link],
    free: &[usize],
    head: usize,
    mixed: bool,
) -> Option<Vec<StageStart>> {
    let mut copy = vec![StageStart {
        index: head,
        start: 0,
    }];
    let mut position = links[head].layers.end();
    while position < layers {
        let index = next_link(links, free, &links[head], position)?;
        if !mixed && links[index].step_factor != links[head].step_factor {
            return None;
        }
        copy.push(StageStart {
            index,
            start: position,
        });
        position = links[index].layers.end();
    }
    Some(copy)
}

/// Returns the engine in `free` that goes on from the layer `position` in a copy
/// with the engine `like`.
pub(super) fn next_link(
    links: &[Link],
    free: &[usize],
    like: &Link,
    position: u16,
) -> Option<usize> {
    let holds_next = |index: &usize| {
        let link = &links[*index];
        link.domain == like.domain
            && link.layers.start() <= position
            && position < link.layers.end()
    };
    // An engine that starts earlier runs only a part of what it holds.
    free.iter().copied().filter(holds_next).min_by_key(|index| {
        let link = &links[*index];
        let differs = link.step_factor != like.step_factor;
        (differs, position - link.layers.start())
    })
}
