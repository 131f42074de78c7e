//! Tests that an answer of the reference model depends on every layer running
//! exactly once and in order.

mod common;

use common::{layers, reference_answer};
use radishhaven_standin::reference::{END_TOKEN, LayerState, embed, sample, tokens};

const SEED: u64 = 7;
const PROMPT: &str = "trip from pocitos to cordon";

fn activations(ranges: &[(u16, u16)]) -> Vec<u64> {
    let mut states: Vec<LayerState> = ranges
        .iter()
        .map(|(start, end)| LayerState::new(SEED, layers(*start, *end)))
        .collect();
    let embedded = (0..)
        .zip(tokens(PROMPT))
        .map(|(position, token)| embed(token, position));
    embedded
        .map(|a| states.iter_mut().fold(a, |a, state| state.run(a)))
        .collect()
}

#[test]
fn splitting_the_layers_does_not_change_the_activations() {
    assert_eq!(
        activations(&[(0, 6)]),
        activations(&[(0, 2), (2, 5), (5, 6)])
    );
}

#[test]
fn a_skipped_repeated_or_reordered_layer_changes_every_activation() {
    let correct = activations(&[(0, 6)]);
    let wrong = [
        activations(&[(0, 3), (4, 6)]),
        activations(&[(0, 4), (3, 6)]),
        activations(&[(0, 2), (3, 4), (2, 3), (4, 6)]),
        activations(&[(1, 6)]),
        activations(&[(0, 5)]),
    ];
    for wrong in wrong {
        assert!(correct.iter().zip(&wrong).all(|(a, b)| a != b));
    }
}

#[test]
fn a_position_run_twice_changes_later_activations() {
    let mut once = LayerState::new(SEED, layers(0, 6));
    let mut twice = once.clone();
    twice.run(embed(1, 0));
    assert_eq!(once.run(embed(1, 0)), {
        let mut fresh = LayerState::new(SEED, layers(0, 6));
        fresh.run(embed(1, 0))
    });
    assert_ne!(once.run(embed(2, 1)), {
        twice.run(embed(1, 0));
        twice.run(embed(2, 1))
    });
}

#[test]
fn the_answer_is_bounded_and_differs_by_prompt_and_depth() {
    let text = reference_answer(6, PROMPT, 40);
    assert!(text.len() <= 40);
    assert!(text.bytes().all(|b| b == b' ' || b.is_ascii_lowercase()));
    assert_ne!(text, reference_answer(7, PROMPT, 40));
    assert_ne!(text, reference_answer(6, "trip from cordon to pocitos", 40));
    assert_eq!(reference_answer(6, "", 40), "");
}

#[test]
fn about_one_in_64_tokens_is_the_end_token() {
    let ends = (0..64_000).filter(|a| sample(*a) == END_TOKEN).count();
    assert!((800..1_200).contains(&ends), "{ends} of 64000");
}
