//! What is kept of a request, and the retry budget.

use std::time::Duration;

use super::{RetainedInputs, RetryBudget};
use crate::{configs::RetryConfig, ids::Position, time::Timestamp};

#[test]
fn kept_inputs_take_each_position_once() {
    let mut kept = RetainedInputs::default();
    kept.extend(Position(0), &[10, 11, 12]);
    kept.extend(Position(1), &[11, 12, 13]);
    assert_eq!(kept.starting_from(Position(0)), Some(&[10, 11, 12, 13][..]));
    kept.drop_before(Position(2));
    assert_eq!(kept.starting_from(Position(2)), Some(&[12, 13][..]));
    assert_eq!(kept.starting_from(Position(1)), None);
    assert_eq!(kept.starting_from(Position(4)), Some(&[][..]));
    kept.drop_before(Position(9));
    assert_eq!((kept.from, kept.end()), (Position(4), Position(4)));
}

#[test]
fn the_retry_budget_is_a_share_of_the_requests_and_a_rate() {
    let cfg = RetryConfig {
        budget_burst: 2,
        budget_per_s: 1,
        budget_percent: 10,
        ..RetryConfig::default()
    };
    let mut budget = RetryBudget::default();
    let begun = Timestamp::from_millis(5_000);
    assert!(budget.withdraw(begun, &cfg) && budget.withdraw(begun, &cfg));
    assert!(!budget.withdraw(begun, &cfg));
    (0..9).for_each(|_| budget.deposit(begun, &cfg));
    assert!(!budget.withdraw(begun, &cfg));
    budget.deposit(begun, &cfg);
    assert!(budget.withdraw(begun, &cfg));
    assert!(!budget.withdraw(begun + Duration::from_millis(999), &cfg));
    assert!(budget.withdraw(begun + Duration::from_millis(1_000), &cfg));
}
