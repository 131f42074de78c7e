//! Checks two invariants over generated sequences of faults: a non-idempotent
//! request starts at most once (I4), and a request that was reported to the caller
//! as not run never starts (I3).

mod world;

use std::collections::BTreeMap;

use radishhaven_cases::{INVARIANT_CASES, check};
use world::{Case, RequestKind};

/// Number of parts that the cases are split into, so that they run in parallel.
const PARTS: u32 = 8;

/// Runs one part of the cases and checks both invariants for each.
fn run_part(seed: u64, kind: RequestKind) {
    let cases = INVARIANT_CASES / PARTS;
    let mut outcomes = BTreeMap::<String, u32>::new();
    check(seed, cases, |case: Case| {
        let world = case.run(kind);
        if let Some(violation) = world.violation() {
            panic!("{violation}\n{case:#?}");
        }
        for outcome in world.observed.reported.values().flatten() {
            *outcomes.entry(outcome.to_string()).or_default() += 1;
        }
    });
    // If no request completed or none failed, the cases would not test the
    // invariants.
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
    RequestKind::Call;
    no_call_starts_twice_or_after_not_run_0 = 0;
    no_call_starts_twice_or_after_not_run_1 = 1;
    no_call_starts_twice_or_after_not_run_2 = 2;
    no_call_starts_twice_or_after_not_run_3 = 3;
    no_call_starts_twice_or_after_not_run_4 = 4;
    no_call_starts_twice_or_after_not_run_5 = 5;
    no_call_starts_twice_or_after_not_run_6 = 6;
    no_call_starts_twice_or_after_not_run_7 = 7;
}

parts! {
    RequestKind::Completion;
    no_completion_starts_twice_or_after_not_run_0 = 0;
    no_completion_starts_twice_or_after_not_run_1 = 1;
    no_completion_starts_twice_or_after_not_run_2 = 2;
    no_completion_starts_twice_or_after_not_run_3 = 3;
    no_completion_starts_twice_or_after_not_run_4 = 4;
    no_completion_starts_twice_or_after_not_run_5 = 5;
    no_completion_starts_twice_or_after_not_run_6 = 6;
    no_completion_starts_twice_or_after_not_run_7 = 7;
}
