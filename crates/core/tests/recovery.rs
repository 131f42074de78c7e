//! Tests completions over generated histories, in which any exchange can fail and
//! engines crash, stall, drain and restart at any moment.

mod fakes;

use std::collections::BTreeMap;

use bolero_generator::{
    TypeGenerator, ValueGenerator,
    driver::{Options, Rng},
    produce,
};
use fakes::world::{Faults, World};
use radishhaven_core::{ids::RequestKey, tables::Counters};
use rand::{SeedableRng, rngs::StdRng};

/// Number of histories that are checked.
const CASES: u64 = 10_000;
/// Number of threads that the histories are distributed over.
const THREADS: usize = 4;
const ENGINES: usize = 8;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    Submit {
        prompt: u8,
        tokens: u8,
        short_deadline: bool,
    },
    CallerGone {
        key: u8,
    },
    ReadParts {
        key: u8,
    },
    Crash {
        engine: u8,
    },
    Restart {
        engine: u8,
    },
    Stall {
        engine: u8,
    },
    Unstall {
        engine: u8,
    },
    ToggleLeaving {
        engine: u8,
    },
    Busy {
        engine: u8,
        busy: bool,
    },
    CrashDuringNext {
        engine: u8,
    },
    Advance {
        ms: u8,
    },
}

#[derive(Debug, Clone, TypeGenerator)]
struct Settings {
    percent: u8,
    export_every: u8,
    max_kept: u8,
    max_unread: u8,
}

type Case = (Settings, Vec<Op>);

fn case(seed: u64) -> Case {
    let options = Options::default().with_max_len(1_024);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let ops = produce::<Vec<Op>>().with().len(2_usize..24);
    let cases = (produce::<Settings>(), ops);
    cases
        .generate(&mut driver)
        .expect("the driver has values left")
}

fn world(settings: &Settings, seed: u64) -> World {
    let faults = Faults {
        percent: u32::from(settings.percent % 32),
        seed,
    };
    let mut world = World::new(ENGINES, faults, |cfg| {
        // In half of the histories, the callers read all parts in time.
        if settings.max_unread < 128 {
            cfg.flow.max_unread_chunks = 1 + u32::from(settings.max_unread % 16);
        }
        cfg.recovery.export_every_tokens = u32::from(settings.export_every % 4);
        cfg.recovery.max_kept_positions = 1 + u32::from(settings.max_kept % 16);
        cfg.retry.max_attempts = 8;
    });
    world.slow_callers = true;
    world
}

fn apply(world: &mut World, op: Op) {
    let at = |engine: u8| usize::from(engine) % ENGINES;
    match op {
        Op::Submit {
            prompt,
            tokens,
            short_deadline,
        } => {
            let prompt: Vec<u32> = (0..=u32::from(prompt % 8))
                .map(|i| 97 + (i * 7) % 26)
                .collect();
            let within_ms = if short_deadline { 25 } else { 20_000 };
            world.submit(&prompt, 1 + u32::from(tokens % 10), within_ms);
        }
        Op::CallerGone { key } => world.disconnect_caller(RequestKey(u64::from(key % 4) + 1)),
        Op::ReadParts { key } => world.read_chunks(RequestKey(u64::from(key % 4) + 1)),
        Op::Crash { engine } => world.engines[at(engine)].crash(),
        Op::Restart { engine } => world.engines[at(engine)].alive = true,
        Op::Stall { engine } => world.engines[at(engine)].stalled = true,
        Op::Unstall { engine } => world.engines[at(engine)].stalled = false,
        Op::ToggleLeaving { engine } => {
            world.engines[at(engine)].leaving ^= true;
            world.publish_vm_list();
        }
        Op::Busy { engine, busy } => world.engines[at(engine)].busy = busy,
        Op::CrashDuringNext { engine } => {
            world.advance(3);
            world.engines[at(engine)].crash();
            world.engines[at(engine)].alive = true;
        }
        Op::Advance { ms } => world.advance(u64::from(ms)),
    }
}

#[test]
fn every_history_ends_with_complete_answers_one_outcome_and_no_leftovers() {
    let mut coverage = Coverage::default();
    std::thread::scope(|scope| {
        let share = |thread| scope.spawn(move || check_seeds((thread..CASES).step_by(THREADS)));
        let threads: Vec<_> = (0..THREADS as u64).map(share).collect();
        for thread in threads {
            let counters = thread.join().expect("all histories are correct");
            counters.iter().for_each(|c| coverage.add(c));
        }
    });
    coverage.check();
}

fn check_seeds(seeds: impl Iterator<Item = u64>) -> Vec<Counters> {
    let check_one = |seed| {
        let result = std::panic::catch_unwind(|| run(seed));
        result.unwrap_or_else(|_| panic!("the history of seed {seed} failed"))
    };
    seeds.map(check_one).collect()
}

/// The sums of the counters over all histories. They show whether the histories
/// covered each outcome and each way of recovery.
#[derive(Debug, Default)]
struct Coverage {
    outcomes: BTreeMap<String, u64>,
    path_counts: [u64; 9],
}

impl Coverage {
    fn add(&mut self, c: &Counters) {
        for (outcome, count) in &c.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        let path_counts = [
            c.imports,
            c.replays,
            c.restarts,
            c.exports,
            c.stale_replies,
            c.crossed_replies,
            c.step_timeouts,
            c.retries,
            c.holds,
        ];
        for (sum, count) in self.path_counts.iter_mut().zip(path_counts) {
            *sum += count;
        }
    }

    fn check(&self) {
        println!("{self:?}");
        assert!(
            self.path_counts.iter().all(|count| *count > CASES / 100),
            "{self:?}"
        );
        for outcome in [
            "completed",
            "failed",
            "caller-gone",
            "not-run (no-capacity)",
        ] {
            let count = self.outcomes.get(outcome);
            assert!(count.is_some_and(|count| *count > CASES / 100), "{self:?}");
        }
    }
}

fn run(seed: u64) -> Counters {
    let (settings, ops) = case(seed);
    let mut world = world(&settings, seed);
    world.submit(&[97, 98, 99], 8, 20_000);
    for op in ops {
        apply(&mut world, op);
    }
    world.settle();
    world.check();
    world.node.tables().counters.clone()
}
