//! Non-idempotent requests start at most once (I4), and none that a caller
//! was told is not run ever starts (I3), over generated sequences of faults.

mod world;

use std::collections::BTreeMap;

use radishhaven_cases::{INVARIANT_CASES, check};
use world::{Case, Kind};

/// Parts into which the cases are split, to run side by side.
const PARTS: u32 = 8;

/// Runs one part of the cases; each is judged for both invariants.
fn run_part(seed: u64, kind: Kind) {
    let cases = INVARIANT_CASES / PARTS;
    let mut outcomes = BTreeMap::<String, u32>::new();
    check(seed, cases, |case: Case| {
        let world = case.run(kind);
        if let Some(violation) = world.violation() {
            panic!("{violation}\n{case:#?}");
        }
        for outcome in world.seen.told.values().flatten() {
            *outcomes.entry(outcome.to_string()).or_default() += 1;
        }
    });
    // Cases in which nothing completes or nothing fails would prove nothing.
    for kind in ["completed", "not-run (no-capacity)", "unknown"] {
        let count = outcomes.get(kind).copied().unwrap_or(0);
        assert!(count > cases / 2, "{kind}: {outcomes:?}");
    }
}

macro_rules! parts {
    ($kind:expr; $($name:ident = $seed:literal;)+) => {$(
        #[test]
        fn $name() {
            run_part($seed, $kind);
        }
    )+};
}

parts! {
    Kind::Call;
    not_run_is_true_and_nothing_starts_twice_0 = 0;
    not_run_is_true_and_nothing_starts_twice_1 = 1;
    not_run_is_true_and_nothing_starts_twice_2 = 2;
    not_run_is_true_and_nothing_starts_twice_3 = 3;
    not_run_is_true_and_nothing_starts_twice_4 = 4;
    not_run_is_true_and_nothing_starts_twice_5 = 5;
    not_run_is_true_and_nothing_starts_twice_6 = 6;
    not_run_is_true_and_nothing_starts_twice_7 = 7;
}

parts! {
    Kind::Completion;
    no_completion_is_dispatched_twice_0 = 0;
    no_completion_is_dispatched_twice_1 = 1;
    no_completion_is_dispatched_twice_2 = 2;
    no_completion_is_dispatched_twice_3 = 3;
    no_completion_is_dispatched_twice_4 = 4;
    no_completion_is_dispatched_twice_5 = 5;
    no_completion_is_dispatched_twice_6 = 6;
    no_completion_is_dispatched_twice_7 = 7;
}
