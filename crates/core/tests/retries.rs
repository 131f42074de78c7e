//! Tests the reaction to refusals by engines, the retry budget and step timeouts.

mod fakes;

use std::time::Duration;

use fakes::{
    id,
    world::{Faults, World},
};
use radishhaven_core::{
    ids::RequestKey,
    outcome::{NotRun, Outcome},
};

const DEADLINE_MS: u64 = 60_000;
const PROMPT: [u32; 4] = [118, 97, 110, 33];

fn world(burst: u32) -> World {
    world_of(6, burst)
}

fn world_of(engines: usize, burst: u32) -> World {
    let faults = Faults {
        percent: 0,
        seed: 3,
    };
    World::new(engines, faults, |cfg| {
        cfg.retry.budget_burst = burst;
        cfg.retry.budget_per_s = 0;
        cfg.retry.budget_percent = 0;
    })
}

fn outcome(world: &World, key: RequestKey) -> Option<Outcome> {
    world.requests[&key].outcomes.first().copied()
}

/// Advances the time until the request has an outcome, and returns how long that
/// took.
fn wait(world: &mut World, key: RequestKey) -> Duration {
    let started = world.now;
    while outcome(world, key).is_none() {
        world.advance(1);
    }
    world.now.since(started)
}

#[test]
fn a_request_skips_a_busy_engine_which_keeps_its_health() {
    let mut world = world(100);
    world.engines[0].busy = true;
    let key = world.submit(&PROMPT, 4, DEADLINE_MS);
    let took = wait(&mut world, key);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    assert!(took < Duration::from_millis(100), "{took:?}");
    let row = world.node.tables().backends.get(&id("engine-0"));
    let health = row.map(|row| (row.health.ejection, row.health.consecutive_failures));
    assert_eq!(health, Some((None, 0)));
    assert_eq!(world.node.tables().counters.health_ejections, 0);
    world.settle();
    world.check();
}

#[test]
fn a_request_waits_while_all_engines_are_briefly_busy() {
    let mut world = world(100);
    (0..6).for_each(|n| world.engines[n].busy = true);
    let key = world.submit(&PROMPT, 4, DEADLINE_MS);
    world.advance(5);
    assert_eq!(outcome(&world, key), None);
    (0..6).for_each(|n| world.engines[n].busy = false);
    wait(&mut world, key);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    world.settle();
    world.check();
}

#[test]
fn a_request_that_all_engines_keep_refusing_ends_long_before_its_deadline() {
    let mut world = world(100);
    (0..6).for_each(|n| world.engines[n].busy = true);
    let key = world.submit(&PROMPT, 4, DEADLINE_MS);
    let took = wait(&mut world, key);
    let not_run = Outcome::NotRun(NotRun::NoCapacity);
    assert_eq!(outcome(&world, key), Some(not_run));
    assert!(took < Duration::from_secs(1), "{took:?}");
    world.settle();
    world.check();
}

#[test]
fn a_stage_that_may_have_run_is_replaced_only_within_the_retry_budget() {
    for (burst, ended) in [(0, Outcome::Failed), (1, Outcome::Completed)] {
        let mut world = world(burst);
        let key = world.submit(&PROMPT, 4, DEADLINE_MS);
        world.engines[0].stalled = true;
        let took = wait(&mut world, key);
        assert_eq!(outcome(&world, key), Some(ended), "burst {burst}");
        assert_eq!(world.node.tables().counters.retries, u64::from(burst));
        assert!(took < Duration::from_secs(5), "{took:?}");
        world.settle();
        world.check();
    }
}

#[test]
fn a_crashed_engine_is_replaced_without_retry_budget() {
    let mut world = world(0);
    world.engines[0].crash();
    let key = world.submit(&PROMPT, 4, DEADLINE_MS);
    wait(&mut world, key);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    world.settle();
    world.check();
}

#[test]
fn the_step_timeout_follows_the_pace_of_the_engine() {
    // With one engine for each stage, a single request measures all engines.
    let mut world = world_of(3, 100);
    world.step_time = Duration::from_millis(300);
    let key = world.submit(&PROMPT, 4, DEADLINE_MS);
    wait(&mut world, key);
    // A step of an engine without measurements would time out at this duration.
    world.step_time = Duration::from_millis(1_000);
    let key = world.submit(&PROMPT, 4, DEADLINE_MS);
    wait(&mut world, key);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    assert_eq!(world.node.tables().counters.step_timeouts, 0);
    world.settle();
    world.check();
}

/// Starts more requests at once than the engines can run within the step timeout.
fn start_many(world: &mut World) -> Vec<RequestKey> {
    // The first request runs alone and measures the pace of the engines.
    world.step_time = Duration::from_millis(40);
    let first = world.submit(&PROMPT, 2, DEADLINE_MS);
    wait(world, first);
    world.serial_steps = true;
    (0..16)
        .map(|_| world.submit(&PROMPT, 2, DEADLINE_MS))
        .collect()
}

#[test]
fn a_step_that_is_queued_behind_others_does_not_time_out() {
    let mut world = world_of(3, 100);
    let keys = start_many(&mut world);
    for key in keys {
        wait(&mut world, key);
        assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    }
    let counters = &world.node.tables().counters;
    assert!(counters.longer_waits > 0, "{counters:?}");
    assert_eq!((counters.step_timeouts, counters.retries), (0, 0));
    world.settle();
    world.check();
}

#[test]
fn a_step_that_later_steps_overtake_times_out() {
    let mut world = world_of(3, 100);
    world.answers_to_drop = 1;
    let key = world.submit(&PROMPT, 2, DEADLINE_MS);
    world.advance(2);
    let started = world.now;
    while outcome(&world, key).is_none() {
        let other = world.submit(&PROMPT, 2, DEADLINE_MS);
        wait(&mut world, other);
    }
    let took = world.now.since(started);
    assert_eq!(outcome(&world, key), Some(Outcome::Completed));
    assert!(took < Duration::from_secs(1), "{took:?}");
    let counters = &world.node.tables().counters;
    assert_eq!((counters.step_timeouts, counters.longer_waits), (1, 1));
    world.settle();
    world.check();
}
