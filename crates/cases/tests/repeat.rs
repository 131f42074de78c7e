//! The same seed gives the same cases, and another seed gives others.

use bolero_generator::TypeGenerator;
use radishhaven_cases::{CaseId, case};

#[derive(Debug, Clone, PartialEq, TypeGenerator)]
enum Step {
    Send(u8),
    Lose { which: u16 },
    Pause,
}

fn cases(seed: u64) -> Vec<Vec<Step>> {
    (0..200)
        .map(|number| case(CaseId { seed, number }))
        .collect()
}

#[test]
fn the_same_seed_gives_the_same_cases() {
    assert_eq!(cases(7), cases(7));
}

#[test]
fn seeds_and_numbers_give_other_cases() {
    let (first, second) = (cases(7), cases(8));
    assert_ne!(first, second);
    let differing = first.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(differing > 150, "{differing} of 199 neighbours differ");
}

#[test]
fn cases_of_a_seed_are_these() {
    let text = format!("{:?}", case::<(u32, Step)>(CaseId { seed: 1, number: 0 }));
    assert_eq!(text, include_str!("first_case.txt").trim_end());
}
