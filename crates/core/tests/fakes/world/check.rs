//! What must hold at the end of a history.

use super::*;

impl World {
    /// Judges everything that must hold once the world is quiet.
    pub fn check(&self) {
        for (key, request) in &self.requests {
            self.check_request(*key, request);
        }
        let tables = self.node.tables();
        assert!(tables.requests.is_empty(), "a request is still open");
        assert_eq!(
            tables.timers.len(),
            self.initial_timers,
            "a subscription is left: {:?}",
            tables.timers
        );
        for backend in tables.backends.iter() {
            assert_eq!(backend.in_flight, 0, "{} has places taken", backend.vm);
        }
        let left: Vec<_> = self
            .opened_sessions
            .difference(&self.ended_sessions)
            .collect();
        assert!(left.is_empty(), "sessions were not ended: {left:?}");
        // A step that was late for its session's end opens it anew where that
        // end was forgotten; real engines drop such a session by their own rules.
        let remembering = self.engines.iter().filter(|e| !e.crashed);
        let open: usize = remembering.map(Engine::open_sessions).sum();
        assert_eq!(open, 0, "engines hold sessions");
    }

    fn check_request(&self, key: RequestKey, request: &ObservedRequest) {
        let expected_text = request.reference.text();
        assert!(
            expected_text.starts_with(&request.text),
            "{key}: {:?} of {expected_text:?}",
            request.text
        );
        let expected = usize::from(!request.caller_disconnected);
        assert!(request.outcomes.len() >= expected, "{key}: no outcome");
        let all = self.engines.iter().flat_map(|e| &e.runs);
        let mut own = all.filter(|run| Some(run.session.request.as_str()) == request.id.as_deref());
        match request.outcomes.first() {
            Some(Outcome::Completed) => assert_eq!(request.text, expected_text, "{key}: not whole"),
            Some(Outcome::NotRun(_)) => assert!(own.next().is_none(), "{key}: it ran"),
            _ => {}
        }
        let foreign = own.find(|run| !request.reference.accepts_input(run));
        assert!(foreign.is_none(), "{key}: {foreign:?} has another's input");
    }
}
