//! What must hold of the nodes of the world.

use super::*;

impl World {
    /// Submits a request, and tells whether the node says that it isn't ready.
    pub fn is_rejected_as_not_ready(&mut self, n: usize) -> bool {
        let submission = Submission {
            token_sha256: [0; 32],
            id: None,
            priority: None,
            within: None,
            idempotent: None,
            demand: Demand::Completion {
                pipeline: "dictado".parse().expect("a name"),
                prompt: vec![65],
                max_tokens: 1,
            },
        };
        let key = RequestKey(1);
        let submission = Box::new(submission);
        let actions = self.nodes[n].handle(self.now, Event::Submit { key, submission });
        let outcome = actions.into_iter().find_map(|action| match action {
            Action::Reply {
                reply: Reply::Done(done),
                ..
            } => Some((done.outcome, done.retry_after.is_some())),
            _ => None,
        });
        match outcome {
            Some((Outcome::NotRun(NotRun::NoCapacity), true)) => true,
            // No organisation is configured, so a node that is ready refuses the token.
            Some((Outcome::NotRun(NotRun::Unauthorised), false)) => false,
            other => panic!("node {n}: {other:?}"),
        }
    }

    /// Submits a request at each node; returns how many were rejected
    /// because the node was not ready.
    pub fn judge_requests(&mut self) -> u32 {
        let mut rejected = 0;
        for n in 0..NODES {
            let revision = self.nodes[n].tables().config.revision();
            let needs = self.starts[n].needs;
            let refused = self.is_rejected_as_not_ready(n);
            assert!(
                refused || revision >= needs,
                "node {n} serves {revision}, peers had {needs}"
            );
            if refused {
                rejected += 1;
                self.judge_not_named(n);
            }
        }
        rejected
    }

    /// No node that has heard of a node's life names it, while it isn't ready.
    fn judge_not_named(&self, n: usize) {
        let life = self.nodes[n].configs().identity.incarnation;
        for by in &self.nodes {
            let (tables, cfg) = (by.tables(), by.configs());
            let row = tables.members.get(&vm(n));
            let heard = row.is_some_and(|row| row.incarnation == life);
            let named = directory::rank_nodes(tables, &cfg.identity, &cfg.directory, "caller");
            let named = named.iter().any(|entry| entry.vm == vm(n));
            let own = cfg.identity.vm == vm(n);
            assert!(!(named && (own || heard)), "{} names {n}", cfg.identity.vm);
        }
    }

    pub fn judge(&mut self) {
        for n in 0..NODES {
            let config = &self.nodes[n].tables().config;
            let revision = config.revision();
            let highest = &mut self.starts[n].highest;
            assert!(revision >= *highest, "node {n} went back to {revision}");
            let moved = revision > *highest;
            *highest = revision;
            let (digest, objects) = &self.truth[revision.0 as usize];
            assert_eq!(config.digest(), *digest, "node {n} at {revision}");
            if !moved {
                continue;
            }
            let own = config.objects().iter();
            let own: Objects = own
                .map(|(key, e)| (key.clone(), (e.object.clone(), e.changed)))
                .collect();
            assert_eq!(own, *objects, "node {n} at {revision}");
        }
    }

    pub fn judge_starts(&self) {
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            let (revision, needs) = (tables.config.revision(), self.starts[n].needs);
            let serves_old = tables.ready && revision < needs;
            assert!(!serves_old, "node {n} serves {revision}, peers had {needs}");
        }
    }

    pub fn judge_converged(&mut self) {
        self.judge();
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            // Snapshots may still be on their way.
            let behind = self.records.len() as u64 - tables.config.revision().0;
            assert!(
                behind <= 8,
                "node {n} is {behind} behind: {:?}",
                tables.follow
            );
            assert!(tables.ready, "node {n}: {:?}", tables.follow);
        }
    }
}
