//! Tests that the queue serves steps by priority, then deadline, then arrival.
//!
//! A wrong order lets low-priority steps or steps with late deadlines delay
//! urgent ones.

use std::time::Duration;

use radishhaven_core::ids::{Attempt, Priority};
use radishhaven_proto::engine::SessionRef;
use tokio::time::Instant;

use super::queue::StepQueue;

fn session(name: &str) -> SessionRef {
    SessionRef {
        request: name.parse().expect("the request id is valid"),
        attempt: Attempt(0),
    }
}

#[test]
fn queue_orders_steps_by_priority_then_deadline_then_arrival() {
    let now = Instant::now();
    let after = |s| Some(now + Duration::from_secs(s));
    let mut queue = StepQueue::default();
    queue.push(session("low"), Priority(1), after(1));
    queue.push(session("no-deadline"), Priority(5), None);
    queue.push(session("late"), Priority(5), after(9));
    queue.push(session("early"), Priority(5), after(2));
    queue.push(session("early-too"), Priority(5), after(2));
    let dropped = queue.push(session("dropped"), Priority(9), None);
    queue.remove(dropped);
    let served: Vec<String> = std::iter::from_fn(|| queue.pop())
        .map(|s| s.request.to_string())
        .collect();
    let order = ["early", "early-too", "late", "no-deadline", "low"];
    assert_eq!(served, order);
}
