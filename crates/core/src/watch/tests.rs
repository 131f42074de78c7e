//! Tests of the watcher assignment while nodes and servers are added and removed.

use std::collections::BTreeSet;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use super::WatchAssignment;
use crate::ids::{FailureDomain, VmId};

fn vm(kind: &str, n: u8) -> VmId {
    format!("{kind}-{n}").parse().expect("a VM")
}

fn domain(n: u8) -> FailureDomain {
    format!("domain-{}", n % 3).parse().expect("a domain")
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Change {
    AddNode(u8),
    RemoveNode(u8),
    AddServer(u8),
    RemoveServer(u8),
}

const NODES: u8 = 9;
const SERVERS: u8 = 20;

/// Applies one change. A history of changes leads to the same members in many
/// different orders, as on different nodes.
fn apply(assignment: &mut WatchAssignment, change: Change) {
    match change {
        Change::AddNode(n) => {
            assignment.add_node(&vm("node", n % NODES), &domain(n % NODES));
        }
        Change::RemoveNode(n) => {
            assignment.remove_node(&vm("node", n % NODES));
        }
        Change::AddServer(n) => assignment.add_server(&vm("engine", n % SERVERS)),
        Change::RemoveServer(n) => assignment.remove_server(&vm("engine", n % SERVERS)),
    }
}

/// Builds the assignment from scratch for the given nodes and servers.
fn rebuilt(nodes: &BTreeSet<u8>, servers: &BTreeSet<u8>) -> WatchAssignment {
    let mut assignment = WatchAssignment::default();
    for n in nodes.iter().rev() {
        assignment.add_node(&vm("node", *n), &domain(*n));
    }
    for n in servers {
        assignment.add_server(&vm("engine", *n));
    }
    assignment
}

#[test]
fn nodes_with_the_same_members_agree_on_two_watchers() {
    check(71, INVARIANT_CASES, |history: Vec<Change>| {
        let mut assignment = WatchAssignment::default();
        let (mut nodes, mut servers) = (BTreeSet::new(), BTreeSet::new());
        for change in history {
            let before = assignment.clone();
            apply(&mut assignment, change);
            match change {
                Change::AddNode(n) => nodes.insert(n % NODES),
                Change::RemoveNode(n) => nodes.remove(&(n % NODES)),
                Change::AddServer(n) => servers.insert(n % SERVERS),
                Change::RemoveServer(n) => servers.remove(&(n % SERVERS)),
            };
            assert_only_own_servers_move(&before, &assignment, change, &servers);
        }
        let rebuilt = rebuilt(&nodes, &servers);
        let expected = nodes.len().min(2);
        let domains: BTreeSet<u8> = nodes.iter().map(|n| n % 3).collect();
        for server in servers.iter().map(|n| vm("engine", *n)) {
            let watchers = assignment.watchers(&server);
            assert_eq!(watchers, rebuilt.watchers(&server), "{server}");
            assert_eq!(watchers.len(), expected, "{server}");
            let domains_of_watchers = assignment.nodes().filter(|(vm, _)| watchers.contains(vm));
            let domains_of_watchers: BTreeSet<&FailureDomain> =
                domains_of_watchers.map(|(_, domain)| domain).collect();
            assert_eq!(domains_of_watchers.len(), domains.len().min(2), "{server}");
            for watcher in watchers {
                assert!(assignment.watched(watcher).any(|s| *s == server));
            }
        }
        let total: usize = nodes
            .iter()
            .map(|n| assignment.watched(&vm("node", *n)).count())
            .sum();
        assert_eq!(total, servers.len() * expected);
    });
}

/// Asserts that adding or removing a node does not change the watchers of
/// servers that the node watches neither before nor after.
fn assert_only_own_servers_move(
    before: &WatchAssignment,
    after: &WatchAssignment,
    change: Change,
    servers: &BTreeSet<u8>,
) {
    let (Change::AddNode(n) | Change::RemoveNode(n)) = change else {
        return;
    };
    let node = vm("node", n % NODES);
    for server in servers.iter().map(|n| vm("engine", *n)) {
        let (old, new) = (before.watchers(&server), after.watchers(&server));
        let own = old.contains(&node) || new.contains(&node);
        assert!(own || old == new, "{server} moved with {node}");
    }
}
