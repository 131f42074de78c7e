//! Generated sequences of operations of callers and of faults.

use std::time::Duration;

use bolero_generator::{TypeGenerator, produce};
use radishhaven_core::time::Timestamp;

use super::{FaultRates, NODES, RequestKind, World};

/// Number of callers.
const CALLERS: usize = 4;
/// Time after the last operation in which all responses and delayed messages
/// arrive.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// Time before the first operation in which the nodes discover each other and
/// become ready, even if messages are lost.
const WARM_UP: Duration = Duration::from_millis(1_200);

/// Time between two operations. Short times let faults occur during an exchange.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub enum Wait {
    None,
    Micros(u16),
    Millis(#[generator(0..250)] u16),
}

/// An operation of a caller, or a fault.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub enum Operation {
    Submit { caller: u8, node: u8 },
    SubmitAgain { caller: u8, node: u8 },
    SubmitEverywhere { caller: u8 },
    SubmitWithoutId { caller: u8, node: u8 },
    QueryStatus { caller: u8, node: u8 },
    DisconnectCaller { caller: u8 },
    Kill { node: u8 },
    Restart { node: u8 },
    KillAndRestart { node: u8 },
    Pause { node: u8 },
    Resume { node: u8, clock_stopped: bool },
    Partition { a: u8, b: u8, ms: u16 },
}

/// One generated case.
#[derive(Debug, Clone, TypeGenerator)]
pub struct Case {
    pub seed: u64,
    /// Whether nodes retain few outcomes, and ids have a short lifetime.
    pub short_retention: bool,
    #[generator(0..100)]
    pub lost: u8,
    #[generator(0..80)]
    pub delayed: u8,
    #[generator(0..80)]
    pub duplicated: u8,
    #[generator(0..60)]
    pub answer_lost: u8,
    #[generator(0..60)]
    pub not_sent: u8,
    #[generator(Vec::<(Operation, Wait)>::produce().with().len(6usize..24).values(produce()))]
    pub operations: Vec<(Operation, Wait)>,
}

impl Case {
    /// Runs the operations, then waits until all delayed messages have arrived.
    pub fn run(&self, kind: RequestKind) -> World {
        let rates = FaultRates {
            lost: self.lost,
            delayed: self.delayed,
            duplicated: self.duplicated,
            answer_lost: self.answer_lost,
            not_sent: self.not_sent,
        };
        let mut world = World::new(self.seed, kind, rates, CALLERS, self.short_retention);
        world.run_for(WARM_UP);
        let mut paused_at = [world.now; NODES];
        for (operation, wait) in &self.operations {
            perform(&mut world, *operation, &mut paused_at);
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
        world.run_for(SETTLE_TIME);
        world
    }
}

fn perform(world: &mut World, operation: Operation, paused_at: &mut [Timestamp; NODES]) {
    let node = |n: u8| usize::from(n) % NODES;
    let caller = |c: u8| usize::from(c) % CALLERS;
    match operation {
        Operation::Submit { caller: c, node: n }
        | Operation::SubmitAgain { caller: c, node: n } => {
            world.submit(caller(c), node(n));
        }
        Operation::SubmitEverywhere { caller: c } => {
            for n in 0..NODES {
                world.submit(caller(c), n);
            }
        }
        Operation::SubmitWithoutId { caller: c, node: n } => {
            world.submit_without_id(caller(c), node(n));
        }
        Operation::QueryStatus { caller: c, node: n } => world.query_status(caller(c), node(n)),
        Operation::DisconnectCaller { caller: c } => world.disconnect_caller(caller(c)),
        Operation::Kill { node: n } => world.kill(node(n)),
        Operation::Restart { node: n } => world.start(node(n)),
        Operation::KillAndRestart { node: n } => {
            world.kill(node(n));
            world.start(node(n));
        }
        Operation::Pause { node: n } => {
            world.pause(node(n));
            paused_at[node(n)] = world.now;
        }
        Operation::Resume {
            node: n,
            clock_stopped,
        } => {
            let paused_for = world.now.since(paused_at[node(n)]);
            world.resume(node(n), paused_for, clock_stopped);
        }
        Operation::Partition { a, b, ms } => {
            world.partition(
                node(a),
                node(b),
                Duration::from_millis(u64::from(ms % 1_500)),
            );
        }
    }
}
