//! Tests retries and hedging of calls to plain services.

mod fakes;

use std::{collections::BTreeMap, fs, path::PathBuf, time::Duration};

use bolero_generator::TypeGenerator;
use fakes::services::{Behaviour, SERVERS, ServiceWorld};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    ids::RequestKey,
    outcome::{NotRun, Outcome},
};

const DEADLINE: Duration = Duration::from_secs(30);
/// Number of calls after which a node has an estimate of the service time.
const WARM_UP_CALLS: u64 = 20;

#[derive(Debug, Clone, TypeGenerator)]
enum Op {
    Submit {
        idempotent: bool,
        short_deadline: bool,
    },
    SetBehaviour {
        server: u8,
        behaviour: Behaviour,
    },
    CallerGone {
        key: u8,
    },
    Advance {
        ms: u8,
    },
}

#[derive(Debug, Clone, TypeGenerator)]
struct Case {
    seed: u64,
    burst: u8,
    percent: u8,
    #[generator(bolero_generator::produce::<Vec<Op>>().with().len(4_usize..40))]
    ops: Vec<Op>,
}

fn world(seed: u64, burst: u32) -> ServiceWorld {
    ServiceWorld::new(seed, |cfg| {
        cfg.retry.budget_burst = burst;
        cfg.retry.budget_per_s = 0;
        cfg.retry.budget_percent = 0;
        cfg.hedge.min_calls = WARM_UP_CALLS as u32;
    })
}

/// Returns a world whose node has measured that a call takes 2 ms.
fn warmed_up(burst: u32) -> ServiceWorld {
    let mut world = world(3, burst);
    for _ in 0..WARM_UP_CALLS {
        world.submit(true, DEADLINE);
        world.advance(Duration::from_millis(50));
    }
    world
}

fn run(case: &Case) -> ServiceWorld {
    let mut world = ServiceWorld::new(case.seed, |cfg| {
        cfg.retry.budget_burst = u32::from(case.burst % 6);
        cfg.retry.budget_per_s = 0;
        cfg.retry.budget_percent = u32::from(case.percent % 51);
        cfg.hedge.min_calls = 2;
        cfg.hedge.min_delay = Duration::from_millis(1);
    });
    for op in &case.ops {
        match *op {
            Op::Submit {
                idempotent,
                short_deadline,
            } => {
                let ms = if short_deadline { 25 } else { 5_000 };
                world.submit(idempotent, Duration::from_millis(ms));
            }
            Op::SetBehaviour { server, behaviour } => {
                world.behaviours[usize::from(server) % SERVERS] = behaviour
            }
            Op::CallerGone { key } => world.disconnect_caller(RequestKey(u64::from(key % 8) + 1)),
            Op::Advance { ms } => world.advance(Duration::from_millis(ms.into())),
        }
    }
    world.settle();
    world
}

#[test]
fn calls_start_once_stay_within_the_retry_budget_and_have_one_outcome() {
    let mut path_counts = [0; 6];
    let mut outcomes = BTreeMap::<String, u64>::new();
    check(5, INVARIANT_CASES, |case: Case| {
        let world = run(&case);
        world.check();
        let c = &world.node.tables().counters;
        let counts = [
            c.retries,
            c.hedges,
            c.hedge_wins,
            c.hedges_unpaid,
            c.budget_waits,
            c.stale_replies,
        ];
        path_counts
            .iter_mut()
            .zip(counts)
            .for_each(|(sum, n)| *sum += n);
        for (outcome, count) in &c.outcomes {
            *outcomes.entry(outcome.clone()).or_default() += count;
        }
    });
    println!("{path_counts:?} {outcomes:?}");
    let min_count = u64::from(INVARIANT_CASES / 100);
    assert!(
        path_counts.iter().all(|count| *count > min_count),
        "{path_counts:?}"
    );
    for kind in ["completed", "unknown", "not-run (no-capacity)"] {
        assert!(outcomes.get(kind) > Some(&min_count), "{outcomes:?}");
    }
}

#[test]
fn a_retry_waits_and_goes_to_another_server() {
    let mut world = world(3, 100);
    world.behaviours = [Behaviour::LosesAnswers; SERVERS];
    let key = world.submit(true, DEADLINE);
    world.advance(Duration::from_millis(2));
    assert_eq!(world.requests[&key].attempts.len(), 1);
    world.behaviours = [Behaviour::Quick; SERVERS];
    world.advance(Duration::from_millis(13));
    assert_eq!(world.requests[&key].attempts.len(), 2);
    assert!(matches!(
        world.first_outcome(key),
        Some((_, Outcome::Completed))
    ));
}

#[test]
fn a_non_idempotent_call_is_not_retried_after_an_indeterminate_failure() {
    let mut world = world(3, 100);
    world.behaviours = [Behaviour::LosesAnswers; SERVERS];
    let key = world.submit(false, DEADLINE);
    world.advance(Duration::from_millis(2));
    assert!(matches!(
        world.first_outcome(key),
        Some((_, Outcome::Unknown))
    ));
    world.settle();
    world.check();
}

#[test]
fn a_call_that_all_servers_refuse_ends_long_before_its_deadline() {
    for idempotent in [false, true] {
        let mut world = world(3, 100);
        world.behaviours = [Behaviour::Unreachable; SERVERS];
        let key = world.submit(idempotent, DEADLINE);
        world.advance(Duration::from_millis(100));
        let not_run = Outcome::NotRun(NotRun::NoCapacity);
        assert_eq!(
            world.first_outcome(key).map(|(_, outcome)| outcome),
            Some(not_run)
        );
        assert_eq!(world.requests[&key].attempts.len(), SERVERS);
    }
}

#[test]
fn without_retry_budget_a_failed_call_ends_without_a_retry() {
    let mut world = world(3, 0);
    world.behaviours = [Behaviour::LosesAnswers; SERVERS];
    let key = world.submit(true, DEADLINE);
    world.advance(Duration::from_secs(5));
    assert!(matches!(
        world.first_outcome(key),
        Some((_, Outcome::Unknown))
    ));
    assert!(world.node.tables().counters.budget_waits > 0);
    world.check();
}

#[test]
fn a_retry_that_would_miss_the_deadline_is_not_sent() {
    let mut world = warmed_up(100);
    world.behaviours = [Behaviour::LosesAnswers; SERVERS];
    let started = world.now;
    let key = world.submit(true, Duration::from_millis(4));
    world.advance(Duration::from_millis(2));
    // The remaining 2 ms are the minimum time that a call takes.
    let (at, outcome) = world.first_outcome(key).expect("the call ended at once");
    assert_eq!(outcome, Outcome::Unknown);
    assert_eq!(at.since(started), Duration::from_millis(2));
    assert_eq!(world.requests[&key].attempts.len(), 1);
}

#[test]
fn a_slow_call_is_hedged_only_if_idempotent_and_within_the_budget() {
    for (idempotent, burst, attempts) in [(true, 1, 2), (true, 0, 1), (false, 1, 1)] {
        let mut world = warmed_up(burst);
        world.behaviours = [Behaviour::Slow; SERVERS];
        let key = world.submit(idempotent, DEADLINE);
        world.settle();
        world.check();
        assert_eq!(
            world.requests[&key].attempts.len(),
            attempts,
            "{idempotent} {burst}"
        );
        let unpaid = u64::from(idempotent && burst == 0);
        assert_eq!(world.node.tables().counters.hedges_unpaid, unpaid);
    }
}

#[test]
fn the_log_of_a_hedged_call_matches_the_golden_file() {
    let mut world = warmed_up(100);
    world.trace_lines.clear();
    world.behaviours = [Behaviour::Slow; SERVERS];
    let key = world.submit(true, DEADLINE);
    world.behaviours = [Behaviour::Quick; SERVERS];
    world.advance(Duration::from_millis(200));
    world.check();
    let counters = &world.node.tables().counters;
    assert_eq!((counters.hedge_wins, counters.stale_replies), (1, 1));
    let id = world.requests[&key].id.clone().expect("it was admitted");
    let found = (world.trace_lines.join("\n") + "\n").replace(&id, "r1");
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/hedge.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &found).expect("the file is written");
    }
    let expected = fs::read_to_string(&path).expect("the file is there");
    assert_eq!(found, expected);
}

#[test]
fn a_hedged_call_whose_second_attempt_fails_waits_for_the_first() {
    let mut world = ServiceWorld::new(3, |cfg| {
        cfg.retry.max_attempts = 2;
        cfg.hedge.min_calls = 1;
    });
    world.submit(true, DEADLINE);
    world.advance(Duration::from_millis(50));
    world.behaviours = [Behaviour::Slow; SERVERS];
    let key = world.submit(true, DEADLINE);
    world.behaviours = [Behaviour::LosesAnswers; SERVERS];
    world.advance(Duration::from_millis(200));
    assert_eq!(world.requests[&key].attempts.len(), 2);
    assert!(matches!(
        world.first_outcome(key),
        Some((_, Outcome::Completed))
    ));
}
