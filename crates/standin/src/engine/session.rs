//! Sessions, each with the KV cache and the current step of one attempt.

use std::collections::{BTreeSet, VecDeque};

use radishhaven_core::ids::Position;
use radishhaven_proto::engine::{EngineRefusal, SessionRef, StepReply, StepRequest};
use tokio::{sync::oneshot, time::Instant};

use super::queue::QueueKey;
use crate::reference::LayerState;

/// Maximum number of ended sessions that an engine remembers.
///
/// Remembering them prevents a late step from reopening an ended session.
const MAX_ENDED_SESSIONS: usize = 65_536;

/// The result of a step: its reply or a refusal.
pub(super) type StepResult = Result<StepReply, EngineRefusal>;

/// The queued or running step of a session.
#[derive(Debug)]
pub(super) struct CurrentStep {
    pub(super) req: StepRequest,
    pub(super) deadline: Option<Instant>,
    pub(super) key: QueueKey,
    pub(super) running: bool,
    pub(super) waiters: Vec<oneshot::Sender<StepResult>>,
}

/// The last finished step of a session.
#[derive(Debug)]
pub(super) struct FinishedStep {
    pub(super) req: StepRequest,
    pub(super) reply: StepReply,
}

/// A session.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) state: LayerState,
    pub(super) next: u32,
    pub(super) imported_from: Option<Position>,
    pub(super) current: Option<CurrentStep>,
    pub(super) finished: Option<FinishedStep>,
    pub(super) cancelled: bool,
}

impl Session {
    pub(super) fn new(state: LayerState, next: u32, imported_from: Option<Position>) -> Self {
        Self {
            state,
            next,
            imported_from,
            current: None,
            finished: None,
            cancelled: false,
        }
    }

    /// Returns whether a step of this session is running.
    pub(super) fn is_step_running(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.running)
    }

    /// Removes and returns the current step if it has not started.
    pub(super) fn take_queued(&mut self) -> Option<CurrentStep> {
        self.current.take_if(|c| !c.running)
    }
}

/// Returns whether a step repeats an earlier one.
///
/// A step at the same positions with different input is not a repetition.
pub(super) fn is_repetition(earlier: &StepRequest, req: &StepRequest) -> bool {
    earlier.first == req.first && earlier.layers == req.layers && earlier.input == req.input
}

/// A bounded set of ended sessions that drops the oldest ones first.
#[derive(Debug, Default)]
pub(super) struct EndedSessions {
    set: BTreeSet<SessionRef>,
    order: VecDeque<SessionRef>,
}

impl EndedSessions {
    pub(super) fn insert(&mut self, session: SessionRef) {
        if !self.set.insert(session.clone()) {
            return;
        }
        self.order.push_back(session);
        if self.order.len() > MAX_ENDED_SESSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, session: &SessionRef) -> bool {
        self.set.contains(session)
    }
}
