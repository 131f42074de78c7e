//! For each token, the runs behind it cover all layers once and in order.
//!
//! The reference model gives every value between two layers, and each value
//! depends on all that ran before it. A run whose input and output are right
//! at a position therefore has a history without gap, overlap or exchange.

use std::collections::BTreeMap;

use radishhaven_core::{
    engine::{SessionRef, StageInput, StageOutput},
    ids::{LayerRange, Position, RequestId, VmId},
};

use super::{CallerRecord, Evidence, RequestSpec, Violation};
use crate::{
    engine::{EngineRecord, RunRecord},
    reference::{LayerState, embed, model_seed, sample, tokens},
};

/// Judges the sessions of every engine and the tokens of every caller.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    for life in &evidence.engines {
        check_sessions(&life.vm, &life.records, found);
    }
    let mut runs: BTreeMap<&RequestId, Vec<&RunRecord>> = BTreeMap::new();
    for run in evidence.runs() {
        runs.entry(&run.session.request).or_default().push(run);
    }
    for caller in &evidence.callers {
        let Some(id) = &caller.id else { continue };
        if let Some(right) = RightValues::new(&caller.spec) {
            let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
            check_inputs(&right, runs, found);
            check_tokens(&right, id, delivered(caller), runs, found);
        }
    }
}

fn delivered(caller: &CallerRecord) -> usize {
    let texts = caller.answers.iter().map(|a| a.text.chars().count());
    texts.max().unwrap_or(0)
}

/// Each session runs consecutive positions from its beginning.
fn check_sessions(vm: &VmId, records: &[EngineRecord], found: &mut Vec<Violation>) {
    let mut next: BTreeMap<&SessionRef, Position> = BTreeMap::new();
    for record in records {
        match record {
            EngineRecord::KvImported(kv) => {
                next.insert(&kv.session, kv.next);
            }
            EngineRecord::Run(run) => {
                let expected = next.get(&run.session).copied().unwrap_or(Position(0));
                if run.first != expected {
                    found.push(Violation::PositionsNotConsecutive {
                        vm: vm.clone(),
                        session: run.session.clone(),
                        expected,
                        found: run.first,
                    });
                }
                let end = Position(run.first.0 + run.positions);
                next.insert(&run.session, end);
            }
            _ => {}
        }
    }
}

/// All values of one request, as the reference model gives them.
struct RightValues {
    layers: u16,
    prompt_len: usize,
    tokens: Vec<u32>,
    /// For each position, the value that enters each layer, and the last output.
    values: Vec<Vec<u64>>,
}

impl RightValues {
    fn new(spec: &RequestSpec) -> Option<Self> {
        let RequestSpec::Completion {
            model,
            version,
            layers,
            prompt,
            ..
        } = spec
        else {
            return None;
        };
        let prompt = tokens(prompt);
        let answer = tokens(&spec.expected_text());
        let all: Vec<u32> = prompt.iter().chain(&answer).copied().collect();
        let seed = model_seed(model, version);
        let one = |layer| LayerRange::new(layer, layer + 1).ok();
        let mut states: Vec<LayerState> = (0..*layers)
            .filter_map(one)
            .map(|range| LayerState::new(seed, range))
            .collect();
        let run = |(position, token): (u32, &u32)| {
            let mut values = vec![embed(*token, position)];
            for state in &mut states {
                let input = values.last().copied().unwrap_or_default();
                values.push(state.run(input));
            }
            values
        };
        let values = (0..).zip(&all).map(run).collect();
        Some(Self {
            layers: *layers,
            prompt_len: prompt.len(),
            tokens: all,
            values,
        })
    }

    /// Returns the value between two layers, if the position is part of the answer.
    fn at(&self, position: u32, layer: u16) -> Option<u64> {
        let values = self.values.get(position as usize)?;
        values.get(usize::from(layer)).copied()
    }

    fn input_is_right(&self, run: &RunRecord, index: usize) -> bool {
        let position = run.first.0 + index as u32;
        match &run.input {
            StageInput::Tokens(given) => {
                run.layers.start() == 0 && given.get(index) == self.tokens.get(position as usize)
            }
            StageInput::Activations(given) => {
                given.get(index).copied() == self.at(position, run.layers.start())
            }
        }
    }

    fn output_is_right(&self, run: &RunRecord, index: usize) -> bool {
        let position = run.first.0 + index as u32;
        let right = self.at(position, run.layers.end());
        match &run.output {
            StageOutput::Activations(given) => given.get(index).copied() == right,
            StageOutput::Token(token) => {
                let last = index + 1 == run.positions as usize;
                run.layers.end() == self.layers && (!last || right.map(sample) == Some(*token))
            }
        }
    }
}

/// No run takes in what another request or an abandoned attempt gave.
fn check_inputs(right: &RightValues, runs: &[&RunRecord], found: &mut Vec<Violation>) {
    for run in runs {
        let wrong = (0..run.positions as usize).find(|i| !right.input_is_right(run, *i));
        if let Some(index) = wrong {
            found.push(Violation::UnexpectedInput {
                session: run.session.clone(),
                position: Position(run.first.0 + index as u32),
            });
        }
    }
}

/// Every position behind a delivered token has a chain of right runs whose
/// times rise with the layers, and with the tokens.
fn check_tokens(
    right: &RightValues,
    request: &RequestId,
    delivered: usize,
    runs: &[&RunRecord],
    found: &mut Vec<Violation>,
) {
    if delivered == 0 {
        return;
    }
    let mut runs = runs.to_vec();
    runs.sort_by_key(|run| run.at_us);
    let mut by_position: BTreeMap<u32, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        for index in 0..run.positions as usize {
            if right.input_is_right(run, index) && right.output_is_right(run, index) {
                let position = run.first.0 + index as u32;
                by_position.entry(position).or_default().push(run);
            }
        }
    }
    let mut token_at_us = 0;
    for position in 0..(right.prompt_len + delivered - 1) as u32 {
        let runs = by_position.get(&position).map_or(&[][..], Vec::as_slice);
        match earliest_end(right.layers, token_at_us, runs) {
            Ok(at_us) if position as usize + 1 >= right.prompt_len => token_at_us = at_us,
            Ok(_) => {}
            Err(layer) => {
                found.push(Violation::LayerMissing {
                    request: request.clone(),
                    position: Position(position),
                    layer,
                });
                return;
            }
        }
    }
}

/// Returns when the last layer can first have run, or the layer that none ran.
fn earliest_end(layers: u16, from_us: u64, runs: &[&RunRecord]) -> Result<u64, u16> {
    let mut reached = BTreeMap::from([(0, from_us)]);
    for run in runs {
        let at = reached.get(&run.layers.start());
        if at.is_some_and(|at| *at <= run.at_us) {
            reached.entry(run.layers.end()).or_insert(run.at_us);
        }
    }
    let last = reached.last_key_value().map_or(0, |(layer, _)| *layer);
    reached.get(&layers).copied().ok_or(last)
}
