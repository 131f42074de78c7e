//! Executes the actions of the node: delivers them to engines, applies faults, and
//! returns the responses.

use super::*;

impl World {
    pub(super) fn perform(&mut self, action: Action) {
        match &action {
            Action::Reply { key, reply } => self.record_reply(*key, reply.clone()),
            Action::Call { key, attempt, .. } => {
                let event = Event::CallDone {
                    key: *key,
                    attempt: *attempt,
                    result: Ok(serde_json::json!({ "call": 0 })),
                };
                self.schedule(Duration::from_millis(2), Delivery::ToNode(Box::new(event)));
            }
            Action::Step { address, spec, .. } => {
                self.opened_sessions
                    .insert((*address, spec.session.clone()));
                self.send(action);
            }
            Action::Import {
                address, session, ..
            } => {
                self.opened_sessions.insert((*address, session.clone()));
                self.send(action);
            }
            Action::EndSession { address, session } => {
                self.ended_sessions.insert((*address, session.clone()));
                self.schedule(
                    Duration::from_micros(200),
                    Delivery::ToEngine(Box::new(action)),
                );
            }
            Action::Export { .. } => self.send(action),
            _ => {}
        }
    }

    fn send(&mut self, action: Action) {
        let delayed = self.draw_fault() && self.rng.random_bool(0.2);
        let us = if delayed {
            self.rng.random_range(0..2_000_000)
        } else {
            500
        };
        self.schedule(
            Duration::from_micros(us),
            Delivery::ToEngine(Box::new(action)),
        );
    }

    fn schedule(&mut self, delay: Duration, delivery: Delivery) {
        self.last_sequence += 1;
        self.queue
            .insert((self.now + delay, self.last_sequence), delivery);
    }

    fn draw_fault(&mut self) -> bool {
        self.faults.percent > 0 && self.rng.random_range(0..100) < self.faults.percent
    }

    fn record_reply(&mut self, key: RequestKey, reply: Reply) {
        let request = self
            .requests
            .get_mut(&key)
            .expect("the request was submitted");
        assert!(
            request.outcomes.is_empty(),
            "{key}: {reply:?} after the outcome"
        );
        match reply {
            Reply::Admitted { id } => request.id = Some(id.to_string()),
            Reply::Delta { index, text } => {
                assert_eq!(
                    index, request.deltas,
                    "{key}: a delta is missing or duplicated"
                );
                request.deltas += 1;
                let unread = request.deltas - request.read_deltas;
                let max_unread = self.node.configs().flow.max_unread_chunks;
                assert!(unread <= max_unread, "{key}: {unread} chunks are unread");
                request.text.push_str(&text);
            }
            Reply::Done(done) => request.outcomes.push(done.outcome),
            Reply::Status(_) => panic!("{key}: unexpected status reply"),
        }
    }

    /// Delivers an action to its engine and schedules the response, changed by the
    /// drawn fault.
    pub(super) fn deliver_to_engine(&mut self, action: Action) {
        let target = match &action {
            Action::Step { address, .. }
            | Action::Import { address, .. }
            | Action::Export { address, .. }
            | Action::EndSession { address, .. } => *address,
            other => panic!("{other:?} is not an action for an engine"),
        };
        let faulty = self.draw_fault();
        let fault = if faulty {
            self.rng.random_range(0..7)
        } else {
            7
        };
        let found = self.engines.iter_mut().find(|e| e.address == target);
        let Some(engine) = found.filter(|e| e.alive) else {
            return self.respond(action, Err(AttemptError::NotSent));
        };
        if engine.stalled {
            // The engine handles the action later, after the node has given up on it.
            return self.schedule(
                Duration::from_millis(700),
                Delivery::ToEngine(Box::new(action)),
            );
        }
        match action {
            Action::EndSession { session, .. } => engine.end(&session),
            Action::Step { .. } if fault == 0 => {
                let refusals = [
                    EngineRefusal::Busy,
                    EngineRefusal::NotRun,
                    EngineRefusal::NotHeld,
                ];
                let refusal = refusals[self.rng.random_range(0..refusals.len())];
                self.respond(action, Err(AttemptError::Refused(refusal)));
            }
            Action::Step { ref spec, .. } => {
                let result = engine.step(spec);
                let reply = self.apply_fault(fault, result);
                self.respond_with_fault(fault, action, reply);
            }
            Action::Import {
                ref session,
                ref cache,
                ..
            } => {
                let result = engine.import(session, cache).map_err(AttemptError::Refused);
                let lost = fault < 3;
                let result = if lost {
                    Err(AttemptError::Lost)
                } else {
                    result
                };
                self.schedule_import_result(action, result);
            }
            Action::Export {
                key, ref session, ..
            } => {
                let empty = KvCache {
                    model: id("dictado"),
                    version: id("v1"),
                    layers: engine.layers,
                    next: Position(0),
                    state: Vec::new(),
                };
                let result = engine
                    .export(session, &empty)
                    .map_err(AttemptError::Refused);
                let result = if fault < 3 {
                    Err(AttemptError::Lost)
                } else {
                    result
                };
                let event = Event::ExportDone {
                    key,
                    session: session.clone(),
                    result,
                };
                self.schedule(Duration::from_millis(1), Delivery::ToNode(Box::new(event)));
            }
            other => panic!("{other:?} is not an action for an engine"),
        }
    }

    /// Replaces the response by a lost, crossed or malformed one, depending on the
    /// fault.
    fn apply_fault(
        &mut self,
        fault: u32,
        result: Result<StepReply, EngineRefusal>,
    ) -> Result<StepReply, AttemptError> {
        let reply = result.map_err(AttemptError::Refused)?;
        let before = self.last_reply.replace(reply.clone());
        match (fault, before) {
            (1, _) => Err(AttemptError::Lost),
            (2, Some(other)) => Ok(other),
            (3, _) => Err(AttemptError::Malformed),
            _ => Ok(reply),
        }
    }

    fn respond_with_fault(
        &mut self,
        fault: u32,
        action: Action,
        result: Result<StepReply, AttemptError>,
    ) {
        if self.answers_to_drop > 0 {
            self.answers_to_drop -= 1;
            return;
        }
        match fault {
            4 => {
                let ms = self.rng.random_range(1..3_000);
                self.respond_after(Duration::from_millis(ms), &action, result);
            }
            5 => {
                self.respond_after(Duration::from_millis(1), &action, result.clone());
                let ms = self.rng.random_range(1..30);
                self.respond_after(Duration::from_millis(ms), &action, result);
            }
            // The response is lost without an error.
            6 => {}
            _ => {
                let delay = self.step_delay(&action);
                self.respond_after(delay, &action, result);
            }
        }
    }

    fn step_delay(&mut self, action: &Action) -> Duration {
        let Action::Step { address, .. } = action else {
            return self.step_time;
        };
        if !self.serial_steps {
            return self.step_time;
        }
        let busy_until = self.busy_until.entry(*address).or_default();
        *busy_until = (*busy_until).max(self.now) + self.step_time;
        busy_until.since(self.now)
    }

    fn respond(&mut self, action: Action, result: Result<StepReply, AttemptError>) {
        match &action {
            Action::Step { .. } => self.respond_after(Duration::from_millis(1), &action, result),
            Action::Import { .. } => self.schedule_import_result(action, result.map(|_| ())),
            Action::Export { key, session, .. } => {
                let result = Err(AttemptError::NotSent);
                let event = Event::ExportDone {
                    key: *key,
                    session: session.clone(),
                    result,
                };
                self.schedule(Duration::from_millis(1), Delivery::ToNode(Box::new(event)));
            }
            _ => {}
        }
    }

    fn respond_after(
        &mut self,
        delay: Duration,
        action: &Action,
        result: Result<StepReply, AttemptError>,
    ) {
        if let Action::Step { key, step, .. } = action {
            let event = Event::StepDone {
                key: *key,
                step: *step,
                result,
            };
            self.schedule(delay, Delivery::ToNode(Box::new(event)));
        }
    }

    fn schedule_import_result(&mut self, action: Action, result: Result<(), AttemptError>) {
        if let Action::Import { key, step, .. } = action {
            let event = Event::ImportDone { key, step, result };
            self.schedule(Duration::from_millis(1), Delivery::ToNode(Box::new(event)));
        }
    }
}
