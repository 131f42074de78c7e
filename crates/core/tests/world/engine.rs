//! A fake engine that holds all layers, and the delivery of steps to it.

use radishhaven_core::{
    engine::{StageOutput, StepReply},
    ids::{Incarnation, RequestKey, StepId},
    message::{AttemptError, Event, StepSpec},
};

use super::{ScheduledEvent, World};

/// A step in transit.
pub struct Step {
    pub node: usize,
    pub incarnation: Incarnation,
    pub key: RequestKey,
    pub step: StepId,
    pub spec: Box<StepSpec>,
}

impl World {
    pub(super) fn send_step(&mut self, step: Step) {
        let not_sent = self.rates.not_sent;
        if self.draw_fault(not_sent) {
            return self.end_step(&step, Err(AttemptError::NotSent));
        }
        let at = self.now + self.delay();
        self.schedule(at, ScheduledEvent::Step(step));
    }

    /// Runs a step that has reached the engine.
    ///
    /// All steps that one process of a node sends under one key count as one
    /// start, even if the process replaces the session.
    pub(super) fn run_step(&mut self, step: Step) {
        let id = step.spec.session.request.clone();
        let starts = self.engine_starts.entry(id.clone()).or_default();
        if starts.insert((step.node, step.incarnation, step.key)) {
            *self.observed.starts.entry(id).or_default() += 1;
        }
        let answer_lost = self.rates.answer_lost;
        let reply = StepReply {
            run: String::new(),
            session: step.spec.session.clone(),
            first: step.spec.first,
            // A run for another process produces a different text.
            output: StageOutput::Token(u32::from(b'a') + (step.incarnation.0 % 26) as u32),
        };
        let lost = self.draw_fault(answer_lost);
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
        self.schedule(
            at,
            ScheduledEvent::ToProcess(step.node, step.incarnation, event),
        );
    }
}
