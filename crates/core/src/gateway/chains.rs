//! Divides engines into copies of the model.
//!
//! A copy is a chain of engines of one failure domain in which each engine goes
//! on where the one before it ends, so that all layers are run once. Path
//! selection and placement must agree on what is a copy.

use std::collections::BTreeMap;

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
}

/// An engine in a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StageStart {
    /// Index of the engine.
    pub(super) index: usize,
    /// The first layer that it runs; it runs to its last one.
    pub(super) start: u16,
}

/// Engines in no copy yet, by the first layer that they hold. A copy takes time
/// that grows with its own engines and hardly with those in the pool.
#[derive(Debug, Default)]
struct Pool {
    by_start: BTreeMap<u16, Vec<usize>>,
}

impl Pool {
    fn new(links: &[Link], indices: impl Iterator<Item = usize>) -> Self {
        let mut pool = Self::default();
        for index in indices {
            let start = links[index].layers.start();
            pool.by_start.entry(start).or_default().push(index);
        }
        pool
    }

    fn heads(&self) -> Vec<usize> {
        self.by_start.get(&0).cloned().unwrap_or_default()
    }

    /// Returns an engine whose first layer is `position`.
    fn starting_at(&self, position: u16) -> Option<usize> {
        self.by_start.get(&position)?.first().copied()
    }

    fn remove(&mut self, links: &[Link], index: usize) {
        if let Some(indices) = self.by_start.get_mut(&links[index].layers.start()) {
            indices.retain(|other| *other != index);
        }
    }

    /// Returns the engine that holds the layer `position` and the fewest layers
    /// before it, because it runs only the part from there.
    fn next(&self, links: &[Link], position: u16) -> Option<usize> {
        let by_start = self.by_start.range(..=position).rev();
        let mut indices = by_start.flat_map(|(_, indices)| indices.iter().copied());
        indices.find(|index| position < links[*index].layers.end())
    }
}

/// Which engine may follow another one in a copy.
#[derive(Debug, Clone, Copy)]
enum Fit {
    /// One that starts where the other one ends.
    Exact,
    /// One of the same kind that also holds the next layer.
    SameKind,
    /// Any one that holds the next layer.
    Any,
}

/// Engines of one failure domain in no copy yet.
#[derive(Debug)]
struct DomainPool {
    all: Pool,
    /// The same engines by kind.
    by_kind: BTreeMap<u64, Pool>,
}

/// Returns a key that orders the kinds by their speed.
fn kind_key(link: &Link) -> u64 {
    // The bits of positive numbers are in the order of the numbers.
    link.step_factor.to_bits()
}

impl DomainPool {
    fn new(links: &[Link], indices: &[usize]) -> Self {
        let mut kinds: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for index in indices {
            kinds
                .entry(kind_key(&links[*index]))
                .or_default()
                .push(*index);
        }
        let by_kind = kinds.into_iter();
        Self {
            all: Pool::new(links, indices.iter().copied()),
            by_kind: by_kind
                .map(|(kind, indices)| (kind, Pool::new(links, indices.into_iter())))
                .collect(),
        }
    }

    /// Returns the engine that goes on from the layer `position` in a copy with
    /// engines of a kind.
    fn next(&self, links: &[Link], kind: u64, position: u16, fit: Fit) -> Option<usize> {
        let same_kind = self.by_kind.get(&kind);
        let same = || same_kind?.next(links, position);
        let exact = || {
            let same = same_kind.and_then(|pool| pool.starting_at(position));
            same.or_else(|| self.all.starting_at(position))
        };
        match fit {
            Fit::Exact => exact(),
            Fit::SameKind => same(),
            Fit::Any => exact()
                .or_else(same)
                .or_else(|| self.all.next(links, position)),
        }
    }

    /// Returns a copy that starts with the engine `head`.
    fn copy(&self, layers: u16, links: &[Link], head: usize, fit: Fit) -> Option<Vec<StageStart>> {
        let kind = kind_key(&links[head]);
        let mut copy = Vec::new();
        let (mut index, mut start) = (head, 0);
        loop {
            copy.push(StageStart { index, start });
            start = links[index].layers.end();
            if start >= layers {
                return Some(copy);
            }
            index = self.next(links, kind, start, fit)?;
        }
    }

    fn remove(&mut self, links: &[Link], index: usize) {
        self.all.remove(links, index);
        if let Some(pool) = self.by_kind.get_mut(&kind_key(&links[index])) {
            pool.remove(links, index);
        }
    }

    /// Takes copies out of the pool as long as there are any. Fast engines come
    /// first.
    fn take_copies(&mut self, layers: u16, links: &[Link], fit: Fit) -> Vec<Vec<StageStart>> {
        let heads: Vec<usize> = self.by_kind.values().flat_map(Pool::heads).collect();
        let mut copies = Vec::new();
        let mut taken = vec![false; links.len()];
        for head in heads {
            if taken[head] {
                continue;
            }
            if let Some(copy) = self.copy(layers, links, head, fit) {
                for stage in &copy {
                    taken[stage.index] = true;
                    self.remove(links, stage.index);
                }
                copies.push(copy);
            }
        }
        copies
    }
}

/// Divides engines into copies of `layers` layers. Engines that remain are in no
/// copy. Copies as they were planned are found first, so that a broken copy does not
/// break another one, and then those of one kind of engine, so that a slow engine does
/// not slow down a fast copy.
pub(super) fn find_copies(layers: u16, links: &[Link]) -> Vec<Vec<StageStart>> {
    let mut domains: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for (index, link) in links.iter().enumerate() {
        domains.entry(link.domain).or_default().push(index);
    }
    let mut copies = Vec::new();
    for indices in domains.into_values() {
        let mut pool = DomainPool::new(links, &indices);
        for fit in [Fit::Exact, Fit::SameKind, Fit::Any] {
            copies.extend(pool.take_copies(layers, links, fit));
        }
    }
    copies
}

/// A copy that lacks some layers.
#[derive(Debug)]
pub(super) struct BrokenCopy {
    /// Indices of its engines.
    pub(super) chain: Vec<usize>,
    /// The ranges of layers that it lacks: the first layer, and the one after the
    /// last.
    pub(super) gaps: Vec<(u16, u16)>,
}

impl BrokenCopy {
    fn missing_layers(&self) -> u16 {
        self.gaps.iter().map(|(from, to)| to - from).sum()
    }
}

/// Returns the broken copy that lacks the fewest layers, among the engines of one
/// failure domain that are in no copy.
pub(super) fn find_broken_copy(layers: u16, links: &[Link]) -> Option<BrokenCopy> {
    let indices: Vec<usize> = (0..links.len()).collect();
    let pool = DomainPool::new(links, &indices);
    let copies = pool.by_kind.keys().map(|kind| {
        let (mut chain, mut gaps) = (Vec::new(), Vec::new());
        let mut position = 0;
        while position < layers {
            if let Some(index) = pool.next(links, *kind, position, Fit::Any) {
                chain.push(index);
                position = links[index].layers.end();
                continue;
            }
            let mut later = pool.all.by_start.range(position + 1..);
            let next = later.find(|(_, indices)| !indices.is_empty());
            let end = next.map_or(layers, |(start, _)| *start);
            gaps.push((position, end));
            position = end;
        }
        BrokenCopy { chain, gaps }
    });
    let usable = copies.filter(|copy| !copy.chain.is_empty() && !copy.gaps.is_empty());
    usable.min_by_key(BrokenCopy::missing_layers)
}
