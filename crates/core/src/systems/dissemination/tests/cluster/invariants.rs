//! The invariants of the simulated cluster.

use super::*;

impl Cluster {
    /// Submits a request; returns whether the node rejects it because it isn't
    /// ready.
    pub fn is_rejected_as_not_ready(&mut self, n: usize) -> bool {
        let submission = Submission {
            token_sha256: [0; 32],
            id: None,
            priority: None,
            timeout: None,
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
            // No organisation is configured, so a ready node refuses the token.
            Some((Outcome::NotRun(NotRun::Unauthorised), false)) => false,
            other => panic!("node {n}: {other:?}"),
        }
    }

    /// Submits a request to each node, and checks that nodes with an outdated
    /// configuration reject it. Returns the number of rejected requests.
    pub fn assert_requests_rejected_until_ready(&mut self) -> u32 {
        let mut rejected = 0;
        for n in 0..NODES {
            let revision = self.nodes[n].tables().config.revision();
            let required = self.start_states[n].required;
            let refused = self.is_rejected_as_not_ready(n);
            assert!(
                refused || revision >= required,
                "node {n} serves {revision}, peers had {required}"
            );
            if refused {
                rejected += 1;
                self.assert_not_in_directory(n);
            }
        }
        rejected
    }

    /// Checks that no node lists node `n`, which is not ready, in the directory if
    /// it has learned of the current incarnation of `n`.
    fn assert_not_in_directory(&self, n: usize) {
        let incarnation = self.nodes[n].configs().identity.incarnation;
        for observer in &self.nodes {
            let (tables, cfg) = (observer.tables(), observer.configs());
            let row = tables.members.get(&vm(n));
            let has_learned = row.is_some_and(|row| row.incarnation == incarnation);
            let entries = directory::rank_nodes(tables, &cfg.identity, &cfg.directory, "caller");
            let listed = entries.iter().any(|entry| entry.vm == vm(n));
            let own = cfg.identity.vm == vm(n);
            assert!(
                !(listed && (own || has_learned)),
                "{} lists node {n}",
                cfg.identity.vm
            );
        }
    }

    pub fn assert_invariants(&mut self) {
        for n in 0..NODES {
            let config = &self.nodes[n].tables().config;
            let revision = config.revision();
            let highest = &mut self.start_states[n].highest;
            assert!(revision >= *highest, "node {n} reverted to {revision}");
            let advanced = revision > *highest;
            *highest = revision;
            let (digest, objects) = &self.expected[revision.0 as usize];
            assert_eq!(config.digest(), *digest, "node {n} at {revision}");
            if !advanced {
                continue;
            }
            let own = config.objects().iter();
            let own: Objects = own
                .map(|(key, e)| (key.clone(), (e.object.clone(), e.changed)))
                .collect();
            assert_eq!(own, *objects, "node {n} at {revision}");
        }
    }

    pub fn assert_no_outdated_service(&self) {
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            let (revision, required) = (tables.config.revision(), self.start_states[n].required);
            let serves_outdated = tables.ready && revision < required;
            assert!(
                !serves_outdated,
                "node {n} serves {revision}, peers had {required}"
            );
        }
    }

    pub fn assert_converged(&mut self) {
        self.assert_invariants();
        for n in 0..NODES {
            let tables = self.nodes[n].tables();
            // Nodes may not have read the records of the latest snapshot yet.
            let behind = self.records.len() as u64 - tables.config.revision().0;
            assert!(
                behind <= 8,
                "node {n} is {behind} behind: {:?}",
                tables.replication
            );
            assert!(tables.ready, "node {n}: {:?}", tables.replication);
        }
    }
}
