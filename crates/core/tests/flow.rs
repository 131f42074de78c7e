//! Tests flow control of answers to callers that read slowly.

mod fakes;

use std::collections::BTreeSet;

use fakes::world::{Faults, World};
use radishhaven_core::{configs::Configs, ids::RequestKey, outcome::Outcome};

const MAX_UNREAD: u32 = 4;
const MAX_TOKENS: u32 = 10;
const DEADLINE_MS: u64 = 60_000;

fn world(adjust: impl FnOnce(&mut Configs)) -> World {
    let faults = Faults {
        percent: 0,
        seed: 3,
    };
    World::new(6, faults, |cfg| {
        cfg.flow.max_unread_chunks = MAX_UNREAD;
        adjust(cfg);
    })
}

/// Submits a prompt whose answer has `MAX_TOKENS` tokens.
fn submit(world: &mut World, within_ms: u64) -> RequestKey {
    let is_full_length = |prompt: &[u32]| {
        let text = fakes::engine::Reference::new(prompt, MAX_TOKENS).text();
        text.len() == MAX_TOKENS as usize
    };
    let mut prompts = (97..).map(|letter| [letter; 4]);
    let prompt = prompts.find(|prompt| is_full_length(prompt));
    world.submit(
        &prompt.expect("a prompt with a full-length answer exists"),
        MAX_TOKENS,
        within_ms,
    )
}

fn steps(world: &World) -> u64 {
    world.node.tables().counters.steps
}

fn outcome(world: &World, key: RequestKey) -> Option<Outcome> {
    world.requests[&key].outcomes.first().copied()
}

/// Returns the number of requests that count against the version's limit.
fn running(world: &World) -> u64 {
    let limits = serde_json::to_value(&world.node.tables().limits).expect("the limits serialize");
    let running = limits["rows"]["dictado"]["v1"]["running"].as_u64();
    running.expect("the version has a limit")
}

#[test]
fn no_steps_are_sent_while_too_many_parts_are_unread() {
    let mut world = world(|_| {});
    let key = submit(&mut world, DEADLINE_MS);
    world.advance(1_000);
    assert_eq!(world.requests[&key].deltas, MAX_UNREAD);
    let steps_before = steps(&world);
    world.advance(2_000);
    assert_eq!(steps(&world), steps_before);
    world.read_chunks(key);
    world.advance(1_000);
    assert_eq!(world.requests[&key].deltas, 2 * MAX_UNREAD);
    world.read_chunks(key);
    world.advance(1_000);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    world.settle();
    world.check();
}

#[test]
fn an_answer_that_is_never_read_ends_at_its_deadline() {
    let mut world = world(|_| {});
    let key = submit(&mut world, 2_000);
    world.advance(1_999);
    assert_eq!(outcome(&world, key), None);
    world.advance(1);
    assert_eq!(outcome(&world, key), Some(Outcome::Failed));
    world.settle();
    world.check();
}

#[test]
fn a_paused_request_that_ends_does_not_free_its_place_twice() {
    let mut world = world(|_| {});
    let unread = submit(&mut world, 1_000);
    world.advance(990);
    submit(&mut world, DEADLINE_MS);
    assert_eq!(running(&world), 1);
    world.advance(11);
    assert_eq!(outcome(&world, unread), Some(Outcome::Failed));
    assert_eq!(running(&world), 1, "the other request is still running");
}

#[test]
fn paused_answers_do_not_count_against_the_limit() {
    let mut world = world(|cfg| cfg.admission.initial_limit = 2);
    let mut slow = BTreeSet::new();
    for _ in 0..5 {
        slow.insert(submit(&mut world, DEADLINE_MS));
        world.advance(100);
    }
    let key = submit(&mut world, DEADLINE_MS);
    for _ in 0..3 {
        world.advance(100);
        world.read_chunks(key);
    }
    world.advance(100);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    for key in slow {
        assert_eq!(world.requests[&key].deltas, MAX_UNREAD);
        assert_eq!(outcome(&world, key), None);
    }
    world.slow_callers = true;
    world.settle();
    world.check();
}
