//! The priority queue of steps that wait to run.

use std::{cmp::Reverse, collections::BTreeMap};

use radishhaven_core::ids::Priority;
use radishhaven_proto::engine::SessionRef;
use tokio::time::Instant;

/// Orders queued steps by higher priority, then earlier deadline, then arrival.
///
/// Steps without a deadline come after those with one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    priority: Reverse<Priority>,
    no_deadline: bool,
    deadline: Option<Instant>,
    arrival: u64,
}

/// Queued steps, each identified by its session.
#[derive(Debug, Default)]
pub(super) struct StepQueue {
    waiting: BTreeMap<QueueKey, SessionRef>,
    arrivals: u64,
}

impl StepQueue {
    pub(super) fn push(
        &mut self,
        session: SessionRef,
        priority: Priority,
        deadline: Option<Instant>,
    ) -> QueueKey {
        self.arrivals += 1;
        let key = QueueKey {
            priority: Reverse(priority),
            no_deadline: deadline.is_none(),
            deadline,
            arrival: self.arrivals,
        };
        self.waiting.insert(key, session);
        key
    }

    pub(super) fn pop(&mut self) -> Option<SessionRef> {
        self.waiting.pop_first().map(|(_, session)| session)
    }

    pub(super) fn remove(&mut self, key: QueueKey) {
        self.waiting.remove(&key);
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
