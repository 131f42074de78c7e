//! Checks that a seed always generates the same cases, and that seeds and case
//! numbers generate different ones.

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
fn same_seed_generates_same_cases() {
    assert_eq!(cases(7), cases(7));
}

#[test]
fn seeds_and_numbers_generate_different_cases() {
    let (first, second) = (cases(7), cases(8));
    assert_ne!(first, second);
    let differing = first.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(differing > 150, "{differing} of 199 neighbours differ");
}

// Guards against an update of the generators that silently changes the cases of
// all seeds.
#[test]
fn first_case_matches_recorded_text() {
    let text = format!("{:?}", case::<(u32, Step)>(CaseId { seed: 1, number: 0 }));
    assert_eq!(text, include_str!("first_case.txt").trim_end());
}
