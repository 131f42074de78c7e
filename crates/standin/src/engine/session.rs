//! Sessions: the KV cache of one attempt and the step that it is at.

use std::collections::{BTreeSet, VecDeque};

use radishhaven_core::ids::Position;
use radishhaven_proto::engine::{EngineRefusal, SessionRef, StepReply, StepRequest};
use tokio::{sync::oneshot, time::Instant};

use super::queue::QueueKey;
use crate::reference::LayerState;

/// Ended sessions that an engine remembers, so that a late step opens none anew.
const MAX_ENDED: usize = 65_536;

/// What the asker of a step gets.
pub(super) type StepResult = Result<StepReply, EngineRefusal>;

/// The step that a session is at, queued or running.
#[derive(Debug)]
pub(super) struct Current {
    pub(super) req: StepRequest,
    pub(super) deadline: Option<Instant>,
    pub(super) key: QueueKey,
    pub(super) running: bool,
    pub(super) waiters: Vec<oneshot::Sender<StepResult>>,
}

/// The newest step that a session has finished.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) req: StepRequest,
    pub(super) reply: StepReply,
}

/// One session.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) state: LayerState,
    pub(super) next: u32,
    pub(super) imported_from: Option<Position>,
    pub(super) current: Option<Current>,
    pub(super) finished: Option<Finished>,
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

    /// Tells whether a step of this session runs now.
    pub(super) fn runs(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.running)
    }

    /// Takes the waiters of a step that has not started.
    pub(super) fn take_queued(&mut self) -> Option<Current> {
        self.current.take_if(|c| !c.running)
    }
}

/// Tells whether a step asks again for one that is known.
///
/// The input counts too: another input at the same positions is no repetition.
pub(super) fn repeats(known: &StepRequest, req: &StepRequest) -> bool {
    known.first == req.first && known.layers == req.layers && known.input == req.input
}

/// Sessions that have ended; the oldest ones are forgotten.
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
        if self.order.len() > MAX_ENDED
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, session: &SessionRef) -> bool {
        self.set.contains(session)
    }
}
