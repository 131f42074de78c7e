//! Decides which layers an engine without layers takes.
//!
//! Layers are dealt out in blocks on common boundaries, so that engines of the
//! same block can stand in for each other. Each failure domain gets a whole
//! copy first, since activations are large and the links between domains are
//! shared; what is left fills where copies are fewest.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{
    config::{Accelerator, EngineSpec},
    servers::{ServerState, Servers},
};
use crate::{
    ids::{FailureDomain, LayerRange, ServiceId, VmId},
    time::Timestamp,
};

/// Parts into which the layers are cut at most; a part is the smallest range
/// that an engine is given.
const BLOCKS: u16 = 16;
/// KV cache tokens that an engine of a domain's own copy keeps room for: about
/// 160 requests of the usual size.
const COPY_TOKENS: u32 = 150_000;
/// KV cache tokens that an engine of a further copy keeps room for: about 30
/// requests of the usual size, for more copies of slow engines.
const SPARE_TOKENS: u32 = 30_000;
/// Weight of a block's coverage in the own domain against that in all domains.
const DOMAIN_WEIGHT: f64 = 16.0;

/// The layers that an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Assignment {
    /// The engine.
    pub server: VmId,
    /// The layers.
    pub layers: LayerRange,
}

/// How often each block is held, in one domain and in all.
#[derive(Debug, Default)]
struct Coverage {
    all: Vec<u32>,
    domains: BTreeMap<FailureDomain, Vec<u32>>,
}

impl Coverage {
    fn new(blocks: usize) -> Self {
        Self {
            all: vec![0; blocks],
            domains: BTreeMap::new(),
        }
    }

    fn domain(&mut self, domain: &FailureDomain) -> &mut Vec<u32> {
        let blocks = self.all.len();
        self.domains
            .entry(domain.clone())
            .or_insert_with(|| vec![0; blocks])
    }

    fn add(&mut self, domain: &FailureDomain, blocks: std::ops::Range<usize>) {
        for block in blocks {
            self.all[block] += 1;
            self.domain(domain)[block] += 1;
        }
    }

    fn whole(&mut self, domain: &FailureDomain) -> bool {
        self.domain(domain).iter().all(|&count| count > 0)
    }

    /// Returns how much a domain gains by holding a block once more.
    fn gain(&mut self, domain: &FailureDomain, block: usize) -> f64 {
        let near = f64::from(self.domain(domain)[block]);
        let all = f64::from(self.all[block]);
        DOMAIN_WEIGHT / (1.0 + near).powi(3) + 1.0 / (1.0 + all).powi(2)
    }
}

/// Returns the number of layers in a block.
fn block_layers(spec: &EngineSpec) -> u16 {
    spec.layers.div_ceil(BLOCKS).max(1)
}

/// Returns how many blocks an engine takes while it keeps room for `tokens`.
fn width(spec: &EngineSpec, kind: &Accelerator, tokens: u32) -> u16 {
    let block = block_layers(spec);
    let fits = |blocks: &u16| {
        let layers = (blocks * block).min(spec.layers);
        spec.kv_tokens(kind, layers).is_some_and(|t| t >= tokens)
    };
    let most = spec.layers.div_ceil(block);
    (1..=most).rev().find(fits).unwrap_or(0)
}

/// Plans the engines of a service that hold nothing; `busy` names those whose
/// last order may still be carried out, with what they were told to hold.
pub fn plan(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    busy: &BTreeMap<VmId, (LayerRange, Timestamp)>,
) -> Vec<Assignment> {
    let block = block_layers(spec);
    let blocks = usize::from(spec.layers.div_ceil(block));
    let mut coverage = Coverage::new(blocks);
    let mut empty = Vec::new();
    for (id, row) in servers.of(service) {
        if row.entry.state != ServerState::Ready {
            continue;
        }
        let ordered = busy.get(id).map(|(layers, _)| *layers);
        match (ordered.or(row.entry.layers), row.accelerator(spec)) {
            (Some(held), _) => coverage.add(&row.entry.domain, inner_blocks(held, block)),
            (None, Some(kind)) => empty.push((id, row, kind)),
            (None, None) => {}
        }
    }
    // Fast engines come first: their wide ranges leave the fewest seams.
    empty.sort_by(|(a, _, x), (b, _, y)| x.pace.total_cmp(&y.pace).then(a.cmp(b)));
    let mut assignments = Vec::new();
    for (id, row, kind) in empty {
        let domain = &row.entry.domain;
        let mut room = width(spec, kind, COPY_TOKENS);
        if room == 0 || coverage.whole(domain) {
            room = room.max(width(spec, kind, SPARE_TOKENS));
        }
        let Some(first) = best_start(&mut coverage, domain, usize::from(room)) else {
            continue;
        };
        let end = first + usize::from(room);
        coverage.add(domain, first..end);
        let (start, end) = (first as u16 * block, end as u16 * block);
        if let Ok(layers) = LayerRange::new(start, end.min(spec.layers)) {
            let server = id.clone();
            assignments.push(Assignment { server, layers });
        }
    }
    assignments
}

/// Returns the blocks that lie wholly inside a range.
fn inner_blocks(held: LayerRange, block: u16) -> std::ops::Range<usize> {
    usize::from(held.start().div_ceil(block))..usize::from(held.end().div_ceil(block))
}

/// Returns the first block of the run of `room` blocks that gains the most.
fn best_start(coverage: &mut Coverage, domain: &FailureDomain, room: usize) -> Option<usize> {
    let blocks = coverage.all.len();
    if room == 0 || room > blocks {
        return None;
    }
    let mut best = None;
    for start in 0..=blocks - room {
        let gain: f64 = (start..start + room)
            .map(|block| coverage.gain(domain, block))
            .sum();
        if best.is_none_or(|(most, _)| gain > most + 1e-9) {
            best = Some((gain, start));
        }
    }
    best.map(|(_, start)| start)
}

/// Finds an engine to move when layers are held nowhere and no engine is empty:
/// one whose own layers are all held elsewhere, from the most held ones.
pub fn fill_hole(
    spec: &EngineSpec,
    servers: &Servers,
    service: &ServiceId,
    busy: &BTreeMap<VmId, (LayerRange, Timestamp)>,
) -> Option<Assignment> {
    let block = block_layers(spec);
    let mut held = vec![0_u32; usize::from(spec.layers.div_ceil(block))];
    for (id, row) in servers.of(service) {
        let ordered = busy.get(id).map(|(layers, _)| *layers);
        if row.entry.state != ServerState::Ready {
            continue;
        }
        for index in ordered
            .or(row.entry.layers)
            .map(|l| inner_blocks(l, block))
            .into_iter()
            .flatten()
        {
            held[index] += 1;
        }
    }
    let hole = held.iter().position(|&count| count == 0)?;
    let spare = |range: LayerRange| {
        let counts = inner_blocks(range, block).map(|index| held[index]);
        counts.min().unwrap_or(0)
    };
    let (id, row, least) = servers
        .of(service)
        .filter(|(id, row)| row.entry.state == ServerState::Ready && !busy.contains_key(*id))
        .filter_map(|(id, row)| row.entry.layers.map(|l| (id, row, spare(l))))
        .max_by_key(|(_, _, least)| *least)?;
    if least < 2 {
        return None;
    }
    let room = width(spec, row.accelerator(spec)?, COPY_TOKENS).max(1);
    let run = held[hole..].iter().take_while(|&&count| count == 0).count() as u16;
    let start = hole as u16 * block;
    let end = (start + room.min(run) * block).min(spec.layers);
    let layers = LayerRange::new(start, end).ok()?;
    Some(Assignment {
        server: id.clone(),
        layers,
    })
}
