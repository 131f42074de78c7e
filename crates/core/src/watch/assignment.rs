//! Assigns two watcher nodes to each backend server by rendezvous hashing.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{
    ids::{FailureDomain, VmId},
    rendezvous,
};

/// Hash key that separates these scores from other uses of rendezvous hashing.
const SEED_KEY: &str = "watch";

/// Role of a node in watching one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatcherRole {
    /// Reads the server and reports changes.
    First,
    /// Reads less data, and reports only what the first watcher failed to report.
    Second,
}

#[derive(Debug, Clone)]
struct WatcherNode {
    seed: u64,
    domain: FailureDomain,
}

#[derive(Debug, Clone, Default)]
struct Server {
    seed: u64,
    watchers: Vec<VmId>,
}

/// The watchers of each backend server, updated as nodes and backend servers
/// are added and removed.
///
/// The first watcher is the live node with the highest rendezvous score. The
/// second watcher is the highest-scored node of another failure domain, or of
/// any domain if there is only one. Adding a node computes one score for each
/// backend server; removing a node selects new watchers for each server that
/// it watched.
#[derive(Debug, Clone, Default)]
pub struct WatchAssignment {
    nodes: BTreeMap<VmId, WatcherNode>,
    servers: BTreeMap<VmId, Server>,
    watched: BTreeMap<VmId, BTreeSet<VmId>>,
}

impl WatchAssignment {
    /// Adds a node or moves it to another failure domain. Returns whether
    /// anything changed.
    pub fn add_node(&mut self, vm: &VmId, domain: &FailureDomain) -> bool {
        if self
            .nodes
            .get(vm)
            .is_some_and(|node| node.domain == *domain)
        {
            return false;
        }
        self.remove_node(vm);
        let node = WatcherNode {
            seed: rendezvous::score(SEED_KEY, vm.as_str()),
            domain: domain.clone(),
        };
        self.nodes.insert(vm.clone(), node);
        let mut changed = Vec::new();
        for (name, server) in &self.servers {
            let candidates = server.watchers.iter().chain([vm]);
            let watchers = self.select_watchers(server.seed, candidates);
            if watchers != server.watchers {
                changed.push((name.clone(), watchers));
            }
        }
        for (name, watchers) in changed {
            self.assign(&name, watchers);
        }
        true
    }

    /// Removes a node. Returns whether it was present.
    pub fn remove_node(&mut self, vm: &VmId) -> bool {
        if self.nodes.remove(vm).is_none() {
            return false;
        }
        for name in self.watched.remove(vm).unwrap_or_default() {
            let seed = self.servers.get(&name).map(|server| server.seed);
            let watchers = self.select_watchers(seed.unwrap_or_default(), self.nodes.keys());
            self.assign(&name, watchers);
        }
        true
    }

    /// Adds a backend server and selects its watchers.
    pub fn add_server(&mut self, vm: &VmId) {
        if self.servers.contains_key(vm) {
            return;
        }
        let seed = rendezvous::score(SEED_KEY, vm.as_str());
        let watchers = Vec::new();
        self.servers.insert(vm.clone(), Server { seed, watchers });
        let watchers = self.select_watchers(seed, self.nodes.keys());
        self.assign(vm, watchers);
    }

    /// Removes a backend server.
    pub fn remove_server(&mut self, vm: &VmId) {
        self.assign(vm, Vec::new());
        self.servers.remove(vm);
    }

    /// Returns the watchers of a backend server, the first watcher first.
    pub fn watchers(&self, server: &VmId) -> &[VmId] {
        self.servers
            .get(server)
            .map_or(&[], |server| server.watchers.as_slice())
    }

    /// Returns the role of a node for a backend server; `None` if it does not
    /// watch the server.
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

    /// Returns the nodes that can be watchers, with their failure domains.
    pub fn nodes(&self) -> impl Iterator<Item = (&VmId, &FailureDomain)> {
        self.nodes.iter().map(|(vm, node)| (vm, &node.domain))
    }

    /// Returns the number of backend servers.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Selects up to two watchers among `nodes`.
    fn select_watchers<'a>(
        &self,
        seed: u64,
        nodes: impl Iterator<Item = &'a VmId> + Clone,
    ) -> Vec<VmId> {
        let scored = |vm: &'a VmId| {
            let node = self.nodes.get(vm)?;
            Some((rendezvous::pair_score(seed, node.seed), vm, &node.domain))
        };
        let Some(first) = nodes.clone().filter_map(scored).max() else {
            return Vec::new();
        };
        let others = || nodes.clone().filter_map(scored).filter(|o| o.1 != first.1);
        let other_domain = others().filter(|other| other.2 != first.2).max();
        let second = other_domain.or_else(|| others().max());
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
