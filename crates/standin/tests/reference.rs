//! The reference model needs every layer exactly once, in order.

mod common;

use common::{answer, layers};
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
fn splitting_the_layers_changes_nothing() {
    assert_eq!(
        activations(&[(0, 6)]),
        activations(&[(0, 2), (2, 5), (5, 6)])
    );
}

#[test]
fn a_skipped_doubled_or_reordered_layer_changes_every_position() {
    let right = activations(&[(0, 6)]);
    let wrong = [
        activations(&[(0, 3), (4, 6)]),
        activations(&[(0, 4), (3, 6)]),
        activations(&[(0, 2), (3, 4), (2, 3), (4, 6)]),
        activations(&[(1, 6)]),
        activations(&[(0, 5)]),
    ];
    for wrong in wrong {
        assert!(right.iter().zip(&wrong).all(|(a, b)| a != b));
    }
}

#[test]
fn a_position_that_runs_twice_changes_what_follows() {
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
    let text = answer(6, PROMPT, 40);
    assert!(text.len() <= 40);
    assert!(text.bytes().all(|b| b == b' ' || b.is_ascii_lowercase()));
    assert_ne!(text, answer(7, PROMPT, 40));
    assert_ne!(text, answer(6, "trip from cordon to pocitos", 40));
    assert_eq!(answer(6, "", 40), "");
}

#[test]
fn the_end_token_comes_about_once_in_64() {
    let ends = (0..64_000).filter(|a| sample(*a) == END_TOKEN).count();
    assert!((800..1_200).contains(&ends), "{ends} of 64000");
}
