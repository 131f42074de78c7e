//! Checks at the end of a history.

use super::*;

impl World {
    /// Checks the invariants, which hold once no event is pending any more.
    pub fn check(&self) {
        for (key, request) in &self.requests {
            self.check_request(*key, request);
        }
        let tables = self.node.tables();
        assert!(
            tables.requests.is_empty(),
            "a request is still in the table"
        );
        assert_eq!(
            tables.timers.len(),
            self.initial_timers,
            "a timer was not removed: {:?}",
            tables.timers
        );
        for backend in tables.backends.iter() {
            assert_eq!(
                backend.in_flight, 0,
                "{} still has requests in flight",
                backend.vm
            );
        }
        let not_ended: Vec<_> = self
            .opened_sessions
            .difference(&self.ended_sessions)
            .collect();
        assert!(
            not_ended.is_empty(),
            "sessions were not ended: {not_ended:?}"
        );
        // A step that arrives after the end of its session opens the session again at
        // an engine that lost the record of that end in a crash. Real engines drop such
        // sessions by their runs rules.
        let never_crashed = self.engines.iter().filter(|e| !e.crashed);
        let open: usize = never_crashed.map(Engine::open_sessions).sum();
        assert_eq!(open, 0, "engines still have open sessions");
    }

    fn check_request(&self, key: RequestKey, request: &ObservedRequest) {
        let expected_text = request.reference.text();
        assert!(
            expected_text.starts_with(&request.text),
            "{key}: received {:?}, expected a prefix of {expected_text:?}",
            request.text
        );
        let expected = usize::from(!request.caller_disconnected);
        assert!(request.outcomes.len() >= expected, "{key}: no outcome");
        let all = self.engines.iter().flat_map(|e| &e.runs);
        let mut runs =
            all.filter(|run| Some(run.session.request.as_str()) == request.id.as_deref());
        match request.outcomes.first() {
            Some(Outcome::Completed) => assert_eq!(
                request.text, expected_text,
                "{key}: the answer is incomplete"
            ),
            Some(Outcome::NotRun(_)) => assert!(
                runs.next().is_none(),
                "{key}: reported as not run, but it ran"
            ),
            _ => {}
        }
        let unexpected = runs.find(|run| !request.reference.accepts_input(run));
        assert!(
            unexpected.is_none(),
            "{key}: unexpected input of {unexpected:?}"
        );
    }
}
