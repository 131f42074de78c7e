//! The bound on completed work, against cases worked by hand.

use radishhaven_core::ids::LayerRange;
use radishhaven_standin::{
    bound::{EngineCapacity, LoadInterval, MeanRequest, max_completed, max_throughput},
    engine::StepCost,
};

const REQUEST: MeanRequest = MeanRequest {
    prompt: 16.0,
    tokens: 10.0,
};

/// An engine that takes 10 ms for a batch of 4 steps: 40 requests a second.
fn engine(start: u16, end: u16, speed: u64) -> EngineCapacity {
    EngineCapacity {
        layers: LayerRange::new(start, end).expect("a range"),
        cost: StepCost {
            base_us: 10_000 / speed,
            per_layer_us: 0,
            per_position_us: 0,
            per_step_us: 0,
        },
        max_batch: 4,
    }
}

fn about(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 1e-6 * expected.max(1.0)
}

#[test]
fn one_engine_completes_what_its_batches_hold() {
    assert!(about(engine(0, 8, 1).requests_per_s(REQUEST), 40.0));
}

#[test]
fn positions_beyond_the_cached_prefix_are_paid_for() {
    let mut engine = engine(0, 8, 1);
    engine.cost.per_position_us = 1_000;
    // 25 ms of batches and 9 positions beyond the 16 that are cached.
    assert!(about(engine.requests_per_s(REQUEST), 1_000.0 / 34.0));
}

#[test]
fn the_narrowest_stage_bounds_a_chain() {
    let engines = [engine(0, 8, 4), engine(8, 16, 1), engine(8, 16, 2)];
    assert!(about(max_throughput(&engines, 16, REQUEST), 120.0));
}

#[test]
fn an_engine_over_two_stages_helps_either() {
    // 80 pass 0..8 and 40 pass 8..16; the whole range carries 40 more.
    let engines = [engine(0, 8, 2), engine(8, 16, 1), engine(0, 16, 1)];
    assert!(about(max_throughput(&engines, 16, REQUEST), 80.0));
}

#[test]
fn a_missing_stage_leaves_nothing() {
    let engines = [engine(0, 8, 1), engine(12, 16, 1)];
    assert!(about(max_throughput(&engines, 16, REQUEST), 0.0));
}

#[test]
fn what_waited_too_long_is_not_completed() {
    let interval = |requests| LoadInterval {
        requests,
        seconds: 1.0,
        capacity: 10.0,
    };
    let load = [interval(35.0), interval(0.0), interval(0.0), interval(5.0)];
    assert_eq!(max_completed(&load, 1.0), [10.0, 10.0, 0.0, 5.0]);
}
