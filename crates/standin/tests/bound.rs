//! Tests of the upper bound on completed work, against values calculated by hand.

use radishhaven_core::ids::LayerRange;
use radishhaven_standin::{
    bound::{EngineCapacity, LoadInterval, MeanRequest, max_completed, max_throughput},
    engine::StepCost,
};

const REQUEST: MeanRequest = MeanRequest {
    prompt: 16.0,
    tokens: 10.0,
};

/// Returns an engine that, at speed 1, runs a batch of 4 steps in 10 ms: it
/// completes 40 requests of 10 tokens per second.
fn engine(start: u16, end: u16, speed: u64) -> EngineCapacity {
    EngineCapacity {
        layers: LayerRange::new(start, end).expect("the range is valid"),
        cost: StepCost {
            base_us: 10_000 / speed,
            per_layer_us: 0,
            per_position_us: 0,
            per_step_us: 0,
        },
        max_batch: 4,
    }
}

fn approx_eq(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 1e-6 * expected.max(1.0)
}

#[test]
fn the_rate_of_one_engine_follows_from_its_batches() {
    assert!(approx_eq(engine(0, 8, 1).requests_per_s(REQUEST), 40.0));
}

#[test]
fn positions_beyond_the_cached_prefix_lower_the_rate() {
    let mut engine = engine(0, 8, 1);
    engine.cost.per_position_us = 1_000;
    // A request takes 25 ms of batch time, and 1 ms for each of the 9 positions
    // beyond the 16 cached ones.
    assert!(approx_eq(engine.requests_per_s(REQUEST), 1_000.0 / 34.0));
}

#[test]
fn the_stage_with_the_lowest_capacity_bounds_a_chain() {
    let engines = [engine(0, 8, 4), engine(8, 16, 1), engine(8, 16, 2)];
    assert!(approx_eq(max_throughput(&engines, 16, REQUEST), 120.0));
}

#[test]
fn an_engine_that_spans_two_stages_adds_capacity() {
    // Layers 0..8 process 80 requests per second and layers 8..16 process 40; the
    // engine with the full range adds 40.
    let engines = [engine(0, 8, 2), engine(8, 16, 1), engine(0, 16, 1)];
    assert!(approx_eq(max_throughput(&engines, 16, REQUEST), 80.0));
}

#[test]
fn a_missing_stage_leaves_no_capacity() {
    let engines = [engine(0, 8, 1), engine(12, 16, 1)];
    assert!(approx_eq(max_throughput(&engines, 16, REQUEST), 0.0));
}

#[test]
fn requests_that_wait_too_long_are_not_completed() {
    let interval = |requests| LoadInterval {
        requests,
        seconds: 1.0,
        capacity: 10.0,
    };
    let load = [interval(35.0), interval(0.0), interval(0.0), interval(5.0)];
    assert_eq!(max_completed(&load, 1.0), [10.0, 10.0, 0.0, 5.0]);
}
