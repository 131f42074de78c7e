//! Checks that the runs behind each token cover all layers once and in order.
//!
//! The reference model yields every value between two layers, and each value
//! depends on all previous runs. If the input and the output of a run match the
//! reference at a position, no earlier run was therefore missing, repeated or
//! mixed up with that of another request.

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

/// Checks the sessions of every engine and the tokens of every caller.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    for process in &evidence.engines {
        check_positions(&process.vm, &process.records, found);
    }
    let mut runs: BTreeMap<&RequestId, Vec<&RunRecord>> = BTreeMap::new();
    for run in evidence.runs() {
        runs.entry(&run.session.request).or_default().push(run);
    }
    for caller in &evidence.callers {
        let Some(id) = &caller.id else { continue };
        if let Some(expected) = ExpectedValues::new(&caller.spec) {
            let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
            check_inputs(&expected, runs, found);
            check_tokens(&expected, id, delivered_tokens(caller), runs, found);
        }
    }
}

fn delivered_tokens(caller: &CallerRecord) -> usize {
    let texts = caller.answers.iter().map(|a| a.text.chars().count());
    texts.max().unwrap_or(0)
}

/// Checks that each session runs consecutive positions from its start or import.
fn check_positions(vm: &VmId, records: &[EngineRecord], found: &mut Vec<Violation>) {
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

/// The values of the reference model for one request.
struct ExpectedValues {
    layers: u16,
    prompt_len: usize,
    tokens: Vec<u32>,
    /// For each position, the input of each layer, followed by the output of the
    /// last layer.
    values: Vec<Vec<u64>>,
}

impl ExpectedValues {
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

    /// Returns the input of `layer` at a position, or `None` beyond the answer.
    fn value_at(&self, position: u32, layer: u16) -> Option<u64> {
        let values = self.values.get(position as usize)?;
        values.get(usize::from(layer)).copied()
    }

    fn input_matches(&self, run: &RunRecord, index: usize) -> bool {
        let position = run.first.0 + index as u32;
        match &run.input {
            StageInput::Tokens(values) => {
                run.layers.start() == 0 && values.get(index) == self.tokens.get(position as usize)
            }
            StageInput::Activations(values) => {
                values.get(index).copied() == self.value_at(position, run.layers.start())
            }
        }
    }

    fn output_matches(&self, run: &RunRecord, index: usize) -> bool {
        let position = run.first.0 + index as u32;
        let expected = self.value_at(position, run.layers.end());
        match &run.output {
            StageOutput::Activations(values) => values.get(index).copied() == expected,
            StageOutput::Token(token) => {
                let last = index + 1 == run.positions as usize;
                run.layers.end() == self.layers && (!last || expected.map(sample) == Some(*token))
            }
        }
    }
}

/// Checks that the input of each run belongs to its own request.
///
/// A mismatch means that a run received values of another request or of an
/// abandoned attempt.
fn check_inputs(expected: &ExpectedValues, runs: &[&RunRecord], found: &mut Vec<Violation>) {
    for run in runs {
        let wrong = (0..run.positions as usize).find(|i| !expected.input_matches(run, *i));
        if let Some(index) = wrong {
            found.push(Violation::UnexpectedInput {
                session: run.session.clone(),
                position: Position(run.first.0 + index as u32),
            });
        }
    }
}

/// Checks that each position behind a delivered token has a chain of correct runs
/// that covers all layers.
///
/// The start times of the runs must increase with the layers and with the
/// generated tokens.
fn check_tokens(
    expected: &ExpectedValues,
    request: &RequestId,
    delivered_tokens: usize,
    runs: &[&RunRecord],
    found: &mut Vec<Violation>,
) {
    if delivered_tokens == 0 {
        return;
    }
    let mut runs = runs.to_vec();
    runs.sort_by_key(|run| run.at_us);
    let mut by_position: BTreeMap<u32, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        for index in 0..run.positions as usize {
            if expected.input_matches(run, index) && expected.output_matches(run, index) {
                let position = run.first.0 + index as u32;
                by_position.entry(position).or_default().push(run);
            }
        }
    }
    let mut token_at_us = 0;
    for position in 0..(expected.prompt_len + delivered_tokens - 1) as u32 {
        let runs = by_position.get(&position).map_or(&[][..], Vec::as_slice);
        match earliest_end(expected.layers, token_at_us, runs) {
            Ok(at_us) if position as usize + 1 >= expected.prompt_len => token_at_us = at_us,
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

/// Returns the earliest start time of the run that completes all layers.
///
/// # Errors
///
/// Returns the first layer that no chain of runs covers.
fn earliest_end(layers: u16, from_us: u64, runs: &[&RunRecord]) -> Result<u64, u16> {
    let mut end_times = BTreeMap::from([(0, from_us)]);
    for run in runs {
        let at = end_times.get(&run.layers.start());
        if at.is_some_and(|at| *at <= run.at_us) {
            end_times.entry(run.layers.end()).or_insert(run.at_us);
        }
    }
    let last = end_times.last_key_value().map_or(0, |(layer, _)| *layer);
    end_times.get(&layers).copied().ok_or(last)
}
