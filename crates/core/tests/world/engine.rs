//! An engine that holds all layers, and the way of steps to it.

use radishhaven_core::{
    engine::{StageOutput, StepReply},
    ids::{Incarnation, RequestKey, StepId},
    message::{AttemptError, Event, StepSpec},
};

use super::{Happening, World};

/// A step on its way.
pub struct Step {
    pub node: usize,
    pub incarnation: Incarnation,
    pub key: RequestKey,
    pub step: StepId,
    pub order: Box<StepSpec>,
}

impl World {
    pub(super) fn carry_step(&mut self, step: Step) {
        let not_sent = self.rates.not_sent;
        if self.strikes(not_sent) {
            return self.end_step(&step, Err(AttemptError::NotSent));
        }
        let at = self.now + self.delay();
        self.schedule(at, Happening::Step(step));
    }

    /// The engine runs a step that reaches it. What one process of a node has
    /// run there under one key is one start, however often it replaces a session.
    pub(super) fn run_step(&mut self, step: Step) {
        let id = step.order.session.request.clone();
        let begun = self.begun.entry(id.clone()).or_default();
        if begun.insert((step.node, step.incarnation, step.key)) {
            *self.seen.runs.entry(id).or_default() += 1;
        }
        let answer_lost = self.rates.answer_lost;
        let reply = StepReply {
            run: String::new(),
            session: step.order.session.clone(),
            first: step.order.first,
            // Another process would give another text.
            output: StageOutput::Token(u32::from(b'a') + (step.incarnation.0 % 26) as u32),
        };
        let lost = self.strikes(answer_lost);
        let result = if lost {
            Err(AttemptError::Lost)
        } else {
            Ok(reply)
        };
        self.end_step(&step, result);
    }

    fn end_step(&mut self, step: &Step, result: Result<StepReply, AttemptError>) {
        let event = Event::StepDone {
            key: step.key,
            step: step.step,
            result,
        };
        let at = self.now + self.delay();
        self.schedule(at, Happening::ToProcess(step.node, step.incarnation, event));
    }
}
