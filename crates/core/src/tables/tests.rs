//! Tests of retained inputs and of the retry budget.

use std::time::Duration;

use super::{RetainedInputs, RetryBudget};
use crate::{configs::RetryConfig, ids::Position, time::Timestamp};

#[test]
fn retained_inputs_keep_each_position_once() {
    let mut inputs = RetainedInputs::default();
    inputs.extend(Position(0), &[10, 11, 12]);
    inputs.extend(Position(1), &[11, 12, 13]);
    assert_eq!(
        inputs.starting_from(Position(0)),
        Some(&[10, 11, 12, 13][..])
    );
    inputs.drop_before(Position(2));
    assert_eq!(inputs.starting_from(Position(2)), Some(&[12, 13][..]));
    assert_eq!(inputs.starting_from(Position(1)), None);
    assert_eq!(inputs.starting_from(Position(4)), Some(&[][..]));
    inputs.drop_before(Position(9));
    assert_eq!((inputs.from, inputs.end()), (Position(4), Position(4)));
}

#[test]
fn the_retry_budget_is_a_percentage_of_requests_plus_a_rate() {
    let cfg = RetryConfig {
        budget_burst: 2,
        budget_per_s: 1,
        budget_percent: 10,
        ..RetryConfig::default()
    };
    let mut budget = RetryBudget::default();
    let start = Timestamp::from_millis(5_000);
    assert!(budget.withdraw(start, &cfg) && budget.withdraw(start, &cfg));
    assert!(!budget.withdraw(start, &cfg));
    (0..9).for_each(|_| budget.deposit(start, &cfg));
    assert!(!budget.withdraw(start, &cfg));
    budget.deposit(start, &cfg);
    assert!(budget.withdraw(start, &cfg));
    assert!(!budget.withdraw(start + Duration::from_millis(999), &cfg));
    assert!(budget.withdraw(start + Duration::from_millis(1_000), &cfg));
}
