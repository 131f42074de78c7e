//! Accepts steps: queues them, detects repeated ones or refuses them.

use std::time::Duration;

use radishhaven_core::ids::Position;
use radishhaven_proto::engine::{EngineRefusal, StageInput, StepReply, StepRequest};
use tokio::{sync::oneshot, time::Instant};

use super::{
    Engine, EngineError, EngineFault,
    session::{CurrentStep, Session, StepResult, is_repetition},
    state::State,
};
use crate::{
    reference::{LayerState, model_seed},
    wire::WireError,
};

/// The result of submitting a step.
enum SubmitResult {
    /// The step is a repetition of a finished one, with this stored reply.
    Stored(StepReply),
    /// The step is queued or running; the receiver yields its result.
    Waiting(oneshot::Receiver<StepResult>),
}

impl Engine {
    /// Runs a step, or returns the stored reply if the step is repeated.
    pub(super) async fn step(&self, req: StepRequest) -> Result<StepReply, EngineError> {
        check_input(&req)?;
        match self.submit(req)? {
            SubmitResult::Stored(reply) => Ok(reply),
            SubmitResult::Waiting(rx) => {
                self.wake.notify_one();
                // The sender is dropped without a result only on shutdown.
                let result = rx.await.map_err(|_| EngineError::Fault)?;
                Ok(result?)
            }
        }
    }

    fn submit(&self, req: StepRequest) -> Result<SubmitResult, EngineRefusal> {
        let refuse_new = self.faults.any(|f| *f == EngineFault::RefuseSessions);
        let mut state = self.lock();
        if state.ended.contains(&req.session) {
            return Err(EngineRefusal::NoSession);
        }
        if let Some(session) = state.sessions.get_mut(&req.session)
            && let Some(result) = find_repeated(session, &req)
        {
            return Ok(result);
        }
        state.check_held(&req.model, &req.version, req.layers)?;
        if let Some(session) = state.sessions.get(&req.session) {
            check_next_step(session, &req)?;
        }
        if state.queue.len() >= self.cfg.max_queued_steps {
            return Err(EngineRefusal::Busy);
        }
        if !state.sessions.contains_key(&req.session) {
            self.open_session(&mut state, &req, refuse_new)?;
        }
        Ok(SubmitResult::Waiting(enqueue(&mut state, req)))
    }

    fn open_session(
        &self,
        state: &mut State,
        req: &StepRequest,
        refuse_new: bool,
    ) -> Result<(), EngineRefusal> {
        if req.first != Position(0) {
            return Err(EngineRefusal::NoSession);
        }
        if refuse_new {
            return Err(EngineRefusal::Leaving);
        }
        if state.sessions.len() >= self.cfg.max_sessions {
            return Err(EngineRefusal::Busy);
        }
        let layers = LayerState::new(model_seed(&req.model, &req.version), req.layers);
        let session = Session::new(layers, 0, None);
        state.sessions.insert(req.session.clone(), session);
        Ok(())
    }
}

fn check_input(req: &StepRequest) -> Result<(), WireError> {
    if req.input.is_empty() {
        return Err(WireError::Invalid("a step needs at least one position"));
    }
    let has_tokens = matches!(req.input, StageInput::Tokens(_));
    if has_tokens != (req.layers.start() == 0) {
        return Err(WireError::Invalid(
            "layer 0 takes tokens and all others take activations",
        ));
    }
    Ok(())
}

fn find_repeated(session: &mut Session, req: &StepRequest) -> Option<SubmitResult> {
    if let Some(current) = session.current.as_mut()
        && is_repetition(&current.req, req)
    {
        let (tx, rx) = oneshot::channel();
        current.waiters.push(tx);
        return Some(SubmitResult::Waiting(rx));
    }
    let finished = session.finished.as_ref()?;
    is_repetition(&finished.req, req).then(|| SubmitResult::Stored(finished.reply.clone()))
}

fn check_next_step(session: &Session, req: &StepRequest) -> Result<(), EngineRefusal> {
    if session.state.layers() != req.layers {
        return Err(EngineRefusal::NotHeld);
    }
    let next = Position(session.next);
    if req.first != next {
        return Err(EngineRefusal::WrongPosition { next });
    }
    if session.current.is_some() {
        return Err(EngineRefusal::Busy);
    }
    Ok(())
}

fn enqueue(state: &mut State, req: StepRequest) -> oneshot::Receiver<StepResult> {
    let (tx, rx) = oneshot::channel();
    let deadline = req
        .deadline_ms
        .and_then(|ms| Instant::now().checked_add(Duration::from_millis(ms)));
    let key = state
        .queue
        .push(req.session.clone(), req.priority, deadline);
    if let Some(session) = state.sessions.get_mut(&req.session) {
        session.current = Some(CurrentStep {
            req,
            deadline,
            key,
            running: false,
            waiters: vec![tx],
        });
    }
    rx
}
