//! Says which two nodes watch each backend server.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{FailureDomain, VmId},
    rendezvous,
};

/// Key under which names are hashed for the watch.
const SEED_KEY: &str = "watch";

/// A watcher's part in the watch over one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatcherRole {
    /// It reads and tells.
    First,
    /// It reads less, and tells only what the first one should have told.
    Second,
}

#[derive(Debug, Clone)]
struct Seat {
    seed: u64,
    domain: FailureDomain,
}

#[derive(Debug, Clone, Default)]
struct Server {
    seed: u64,
    watchers: Vec<VmId>,
}

/// The watchers of each backend server, kept up as nodes and backend servers
/// come and go.
///
/// The first watcher is the live node with the highest rendezvous score, the
/// second one the highest of another failure domain, or of any where there is
/// only one. A node that comes costs one score for each backend server; a
/// node that goes costs a choice for each one that it watched.
#[derive(Debug, Clone, Default)]
pub struct WatchAssignment {
    nodes: BTreeMap<VmId, Seat>,
    servers: BTreeMap<VmId, Server>,
    watched: BTreeMap<VmId, BTreeSet<VmId>>,
}

impl WatchAssignment {
    /// Takes a node in, or moves it to another failure domain; returns
    /// whether anything changed.
    pub fn add_node(&mut self, vm: &VmId, domain: &FailureDomain) -> bool {
        if self
            .nodes
            .get(vm)
            .is_some_and(|seat| seat.domain == *domain)
        {
            return false;
        }
        self.remove_node(vm);
        let seat = Seat {
            seed: rendezvous::score(SEED_KEY, vm.as_str()),
            domain: domain.clone(),
        };
        self.nodes.insert(vm.clone(), seat);
        let mut changed = Vec::new();
        for (name, server) in &self.servers {
            let candidates = server.watchers.iter().chain([vm]);
            let watchers = self.choose(server.seed, candidates);
            if watchers != server.watchers {
                changed.push((name.clone(), watchers));
            }
        }
        for (name, watchers) in changed {
            self.assign(&name, watchers);
        }
        true
    }

    /// Takes a node out; returns whether it was there.
    pub fn remove_node(&mut self, vm: &VmId) -> bool {
        if self.nodes.remove(vm).is_none() {
            return false;
        }
        for name in self.watched.remove(vm).unwrap_or_default() {
            let seed = self.servers.get(&name).map(|server| server.seed);
            let watchers = self.choose(seed.unwrap_or_default(), self.nodes.keys());
            self.assign(&name, watchers);
        }
        true
    }

    /// Takes a backend server in.
    pub fn add_server(&mut self, vm: &VmId) {
        if self.servers.contains_key(vm) {
            return;
        }
        let seed = rendezvous::score(SEED_KEY, vm.as_str());
        let watchers = Vec::new();
        self.servers.insert(vm.clone(), Server { seed, watchers });
        let watchers = self.choose(seed, self.nodes.keys());
        self.assign(vm, watchers);
    }

    /// Takes a backend server out.
    pub fn remove_server(&mut self, vm: &VmId) {
        self.assign(vm, Vec::new());
        self.servers.remove(vm);
    }

    /// Returns the watchers of a backend server, the first one first.
    pub fn watchers(&self, server: &VmId) -> &[VmId] {
        self.servers
            .get(server)
            .map_or(&[], |server| server.watchers.as_slice())
    }

    /// Returns a node's part in the watch over a backend server.
    pub fn role(&self, server: &VmId, node: &VmId) -> Option<WatcherRole> {
        let watchers = self.watchers(server);
        match watchers.iter().position(|vm| vm == node)? {
            0 => Some(WatcherRole::First),
            _ => Some(WatcherRole::Second),
        }
    }

    /// Returns the backend servers that a node watches.
    pub fn watched(&self, node: &VmId) -> impl Iterator<Item = &VmId> {
        self.watched.get(node).into_iter().flatten()
    }

    /// Returns the nodes that share the watch, with their failure domains.
    pub fn nodes(&self) -> impl Iterator<Item = (&VmId, &FailureDomain)> {
        self.nodes.iter().map(|(vm, seat)| (vm, &seat.domain))
    }

    /// Returns the number of backend servers.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Chooses the watchers among some nodes.
    fn choose<'a>(&self, seed: u64, nodes: impl Iterator<Item = &'a VmId> + Clone) -> Vec<VmId> {
        let scored = |vm: &'a VmId| {
            let seat = self.nodes.get(vm)?;
            Some((rendezvous::pair_score(seed, seat.seed), vm, &seat.domain))
        };
        let Some(first) = nodes.clone().filter_map(scored).max() else {
            return Vec::new();
        };
        let others = || nodes.clone().filter_map(scored).filter(|o| o.1 != first.1);
        let unlike = others().filter(|other| other.2 != first.2).max();
        let second = unlike.or_else(|| others().max());
        let chosen = [Some(first), second].into_iter().flatten();
        chosen.map(|(_, vm, _)| vm.clone()).collect()
    }

    fn assign(&mut self, name: &VmId, watchers: Vec<VmId>) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        for old in &server.watchers {
            if let Some(watched) = self.watched.get_mut(old) {
                watched.remove(name);
            }
        }
        for new in &watchers {
            let watched = self.watched.entry(new.clone()).or_default();
            watched.insert(name.clone());
        }
        server.watchers = watchers;
    }
}
