use super::{MIN_QUEUE_LEN, adjust};
use crate::tables::Limit;

/// Concurrent requests for which a version always has room.
const SMALL_LOAD: f64 = 4.0;
const INTERVAL_S: f64 = 0.05;

/// Lets steps wait ten times their service time for a minute.
fn congest(limit: &mut Limit, running: u32) {
    limit.running = running;
    for _ in 0..1_200 {
        limit.observe(10_000.0, 1_000.0);
        assert!(limit.tick(INTERVAL_S));
        adjust(limit, 1.5);
    }
}

/// Load pattern: answers arrive late because the node's VM is busy, so that every
/// step seems to wait at its engine. Refusing a few concurrent requests would not
/// shorten any wait.
#[test]
fn waits_never_lower_the_limit_below_a_small_load() {
    let mut limit = Limit::new(16.0);
    congest(&mut limit, 0);
    assert!(limit.limit >= SMALL_LOAD, "{}", limit.limit);
    assert!(
        limit.limit + MIN_QUEUE_LEN < 16.0,
        "it falls under congestion"
    );
}

#[test]
fn limit_stays_slightly_below_the_running_requests() {
    let mut limit = Limit::new(16.0);
    congest(&mut limit, 12);
    assert!((10.0..12.0).contains(&limit.limit), "{}", limit.limit);
}

/// A limit that the operators set lower is not raised by congestion.
#[test]
fn lower_initial_limit_is_not_raised() {
    let mut limit = Limit::new(2.0);
    congest(&mut limit, 1);
    assert!(limit.limit <= 2.0, "{}", limit.limit);
}
