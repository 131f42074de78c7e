//! Random histories of completions, with faults on any exchange and engines
//! that die, stall, leave and come back at any moment.

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

/// Histories that each property is judged by.
const CASES: u64 = 10_000;
/// Threads that share the histories; each history runs in one.
const THREADS: usize = 4;
const ENGINES: usize = 8;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    Submit { prompt: u8, tokens: u8, hurry: bool },
    CallerGone { key: u8 },
    Take { key: u8 },
    Die { engine: u8 },
    Revive { engine: u8 },
    Stall { engine: u8 },
    GoOn { engine: u8 },
    Leave { engine: u8 },
    Busy { engine: u8, busy: bool },
    DieDuringNext { engine: u8 },
    Pass { ms: u8 },
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
        // Half of the histories have callers that take all parts in time.
        if settings.max_unread < 128 {
            cfg.flow.max_unread_parts = 1 + u32::from(settings.max_unread % 16);
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
            hurry,
        } => {
            let prompt: Vec<u32> = (0..=u32::from(prompt % 8))
                .map(|i| 97 + (i * 7) % 26)
                .collect();
            let within_ms = if hurry { 25 } else { 20_000 };
            world.submit(&prompt, 1 + u32::from(tokens % 10), within_ms);
        }
        Op::CallerGone { key } => world.caller_gone(RequestKey(u64::from(key % 4) + 1)),
        Op::Take { key } => world.take(RequestKey(u64::from(key % 4) + 1)),
        Op::Die { engine } => world.engines[at(engine)].die(),
        Op::Revive { engine } => world.engines[at(engine)].alive = true,
        Op::Stall { engine } => world.engines[at(engine)].stalled = true,
        Op::GoOn { engine } => world.engines[at(engine)].stalled = false,
        Op::Leave { engine } => {
            world.engines[at(engine)].leaving ^= true;
            world.show_list();
        }
        Op::Busy { engine, busy } => world.engines[at(engine)].busy = busy,
        Op::DieDuringNext { engine } => {
            world.advance(3);
            world.engines[at(engine)].die();
            world.engines[at(engine)].alive = true;
        }
        Op::Pass { ms } => world.advance(u64::from(ms)),
    }
}

#[test]
fn every_history_ends_whole_with_one_outcome_and_nothing_left() {
    let mut seen = Seen::default();
    std::thread::scope(|scope| {
        let share = |thread| scope.spawn(move || judge((thread..CASES).step_by(THREADS)));
        let threads: Vec<_> = (0..THREADS as u64).map(share).collect();
        for thread in threads {
            let counters = thread.join().expect("all histories are right");
            counters.iter().for_each(|c| seen.add(c));
        }
    });
    seen.check();
}

fn judge(seeds: impl Iterator<Item = u64>) -> Vec<Counters> {
    let judge_one = |seed| {
        let judged = std::panic::catch_unwind(|| run(seed));
        judged.unwrap_or_else(|_| panic!("the history of seed {seed} is wrong"))
    };
    seeds.map(judge_one).collect()
}

/// What the histories went through together, so that none of it goes unjudged.
#[derive(Debug, Default)]
struct Seen {
    outcomes: BTreeMap<String, u64>,
    ways: [u64; 9],
}

impl Seen {
    fn add(&mut self, c: &Counters) {
        for (outcome, count) in &c.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        let ways = [
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
        for (sum, count) in self.ways.iter_mut().zip(ways) {
            *sum += count;
        }
    }

    fn check(&self) {
        println!("{self:?}");
        assert!(
            self.ways.iter().all(|count| *count > CASES / 100),
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
