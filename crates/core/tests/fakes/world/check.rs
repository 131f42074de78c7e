//! What must hold at the end of a history.

use super::*;

impl World {
    /// Judges everything that must hold once the world is quiet.
    pub fn check(&self) {
        for (key, seen) in &self.seen {
            self.check_request(*key, seen);
        }
        let tables = self.node.tables();
        assert!(tables.requests.is_empty(), "a request is still open");
        assert_eq!(
            tables.timers.len(),
            self.timers,
            "a subscription is left: {:?}",
            tables.timers
        );
        for backend in tables.backends.iter() {
            assert_eq!(backend.in_flight, 0, "{} has places taken", backend.vm);
        }
        let left: Vec<_> = self.opened.difference(&self.ended).collect();
        assert!(left.is_empty(), "sessions were not ended: {left:?}");
        // A step that was late for its session's end opens it anew where that
        // end was forgotten; real engines drop such a session by their own rules.
        let remembering = self.engines.iter().filter(|e| !e.died);
        let open: usize = remembering.map(Engine::open_sessions).sum();
        assert_eq!(open, 0, "engines hold sessions");
    }

    fn check_request(&self, key: RequestKey, seen: &Seen) {
        let right = seen.reference.text();
        assert!(
            right.starts_with(&seen.text),
            "{key}: {:?} of {right:?}",
            seen.text
        );
        let expected = usize::from(!seen.gone);
        assert!(seen.outcomes.len() >= expected, "{key}: no outcome");
        let all = self.engines.iter().flat_map(|e| &e.runs);
        let mut own = all.filter(|run| Some(run.session.request.as_str()) == seen.id.as_deref());
        match seen.outcomes.first() {
            Some(Outcome::Completed) => assert_eq!(seen.text, right, "{key}: not whole"),
            Some(Outcome::NotRun(_)) => assert!(own.next().is_none(), "{key}: it ran"),
            _ => {}
        }
        let foreign = own.find(|run| !seen.reference.allows(run));
        assert!(foreign.is_none(), "{key}: {foreign:?} has another's input");
    }
}
