//! Generated sequences of what callers do and what fails.

use std::time::Duration;

use bolero_generator::{TypeGenerator, produce};
use radishhaven_core::time::Timestamp;

use super::{Kind, NODES, Rates, World};

/// Callers of a world.
const CALLERS: usize = 4;
/// Time after the last step in which all answers and late messages come.
const SETTLE: Duration = Duration::from_secs(9);
/// Time before the first step in which nodes hear of each other and get
/// ready, also where messages are lost.
const WARM_UP: Duration = Duration::from_millis(1_200);

/// Time between two steps; short ones let faults strike within an exchange.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub enum Wait {
    None,
    Micros(u16),
    Millis(#[generator(0..250)] u16),
}

/// One step.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub enum Step {
    Submit { caller: u8, node: u8 },
    SubmitAgain { caller: u8, node: u8 },
    SubmitEverywhere { caller: u8 },
    SubmitWithoutId { caller: u8, node: u8 },
    Inquire { caller: u8, node: u8 },
    HangUp { caller: u8 },
    Kill { node: u8 },
    Restart { node: u8 },
    KillAndRestart { node: u8 },
    Pause { node: u8 },
    Resume { node: u8, clock_stopped: bool },
    Cut { a: u8, b: u8, ms: u16 },
}

/// One generated run.
#[derive(Debug, Clone, TypeGenerator)]
pub struct Case {
    pub seed: u64,
    /// Nodes remember little, and ids live for a short time.
    pub forgetful: bool,
    #[generator(0..100)]
    pub lost: u8,
    #[generator(0..80)]
    pub late: u8,
    #[generator(0..80)]
    pub doubled: u8,
    #[generator(0..60)]
    pub answer_lost: u8,
    #[generator(0..60)]
    pub not_sent: u8,
    #[generator(Vec::<(Step, Wait)>::produce().with().len(6usize..24).values(produce()))]
    pub steps: Vec<(Step, Wait)>,
}

impl Case {
    /// Runs the steps and lets all late messages come in.
    pub fn run(&self, kind: Kind) -> World {
        let rates = Rates {
            lost: self.lost,
            late: self.late,
            doubled: self.doubled,
            answer_lost: self.answer_lost,
            not_sent: self.not_sent,
        };
        let mut world = World::new(self.seed, kind, rates, CALLERS, self.forgetful);
        world.run_for(WARM_UP);
        let mut paused_at = [world.now; NODES];
        for (step, wait) in &self.steps {
            take(&mut world, *step, &mut paused_at);
            world.run_for(match *wait {
                Wait::None => Duration::ZERO,
                Wait::Micros(us) => Duration::from_micros(us.into()),
                Wait::Millis(ms) => Duration::from_millis(ms.into()),
            });
        }
        for (n, at) in paused_at.iter().enumerate() {
            let paused_for = world.now.since(*at);
            world.resume(n, paused_for, n % 2 == 0);
        }
        world.run_for(SETTLE);
        world
    }
}

fn take(world: &mut World, step: Step, paused_at: &mut [Timestamp; NODES]) {
    let node = |n: u8| usize::from(n) % NODES;
    let caller = |c: u8| usize::from(c) % CALLERS;
    match step {
        Step::Submit { caller: c, node: n } | Step::SubmitAgain { caller: c, node: n } => {
            world.submit(caller(c), node(n));
        }
        Step::SubmitEverywhere { caller: c } => {
            for n in 0..NODES {
                world.submit(caller(c), n);
            }
        }
        Step::SubmitWithoutId { caller: c, node: n } => {
            world.submit_without_id(caller(c), node(n));
        }
        Step::Inquire { caller: c, node: n } => world.inquire(caller(c), node(n)),
        Step::HangUp { caller: c } => world.hang_up(caller(c)),
        Step::Kill { node: n } => world.kill(node(n)),
        Step::Restart { node: n } => world.start(node(n)),
        Step::KillAndRestart { node: n } => {
            world.kill(node(n));
            world.start(node(n));
        }
        Step::Pause { node: n } => {
            world.pause(node(n));
            paused_at[node(n)] = world.now;
        }
        Step::Resume {
            node: n,
            clock_stopped,
        } => {
            let paused_for = world.now.since(paused_at[node(n)]);
            world.resume(node(n), paused_for, clock_stopped);
        }
        Step::Cut { a, b, ms } => {
            world.cut(
                node(a),
                node(b),
                Duration::from_millis(u64::from(ms % 1_500)),
            );
        }
    }
}
