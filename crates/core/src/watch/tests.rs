//! Who watches whom, as members come and go, and which report holds.

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
    NodeComes(u8),
    NodeGoes(u8),
    ServerComes(u8),
    ServerGoes(u8),
}

const NODES: u8 = 9;
const SERVERS: u8 = 20;

/// Applies a change as the node sees it that does it; the order of what is
/// there already is another one for each node.
fn apply(shares: &mut WatchAssignment, change: Change) {
    match change {
        Change::NodeComes(n) => {
            shares.add_node(&vm("node", n % NODES), &domain(n % NODES));
        }
        Change::NodeGoes(n) => {
            shares.remove_node(&vm("node", n % NODES));
        }
        Change::ServerComes(n) => shares.add_server(&vm("engine", n % SERVERS)),
        Change::ServerGoes(n) => shares.remove_server(&vm("engine", n % SERVERS)),
    }
}

/// Makes the shares anew, from nothing but who is there.
fn anew(nodes: &BTreeSet<u8>, servers: &BTreeSet<u8>) -> WatchAssignment {
    let mut shares = WatchAssignment::default();
    for n in nodes.iter().rev() {
        shares.add_node(&vm("node", *n), &domain(*n));
    }
    for n in servers {
        shares.add_server(&vm("engine", *n));
    }
    shares
}

#[test]
fn nodes_that_know_the_same_members_agree_on_two_watchers() {
    check(71, INVARIANT_CASES, |history: Vec<Change>| {
        let mut shares = WatchAssignment::default();
        let (mut nodes, mut servers) = (BTreeSet::new(), BTreeSet::new());
        for change in history {
            let before = shares.clone();
            apply(&mut shares, change);
            match change {
                Change::NodeComes(n) => nodes.insert(n % NODES),
                Change::NodeGoes(n) => nodes.remove(&(n % NODES)),
                Change::ServerComes(n) => servers.insert(n % SERVERS),
                Change::ServerGoes(n) => servers.remove(&(n % SERVERS)),
            };
            only_own_shares_move(&before, &shares, change, &servers);
        }
        let anew = anew(&nodes, &servers);
        let wanted = nodes.len().min(2);
        let domains: BTreeSet<u8> = nodes.iter().map(|n| n % 3).collect();
        for server in servers.iter().map(|n| vm("engine", *n)) {
            let watchers = shares.watchers(&server);
            assert_eq!(watchers, anew.watchers(&server), "{server}");
            assert_eq!(watchers.len(), wanted, "{server}");
            let seats = shares.nodes().filter(|(vm, _)| watchers.contains(vm));
            let seats: BTreeSet<&FailureDomain> = seats.map(|(_, domain)| domain).collect();
            assert_eq!(seats.len(), domains.len().min(2), "{server}");
            for watcher in watchers {
                assert!(shares.watched(watcher).any(|s| *s == server));
            }
        }
        let shared: usize = nodes
            .iter()
            .map(|n| shares.watched(&vm("node", *n)).count())
            .sum();
        assert_eq!(shared, servers.len() * wanted);
    });
}

/// A change of one node leaves backend servers alone that it didn't and
/// doesn't watch.
fn only_own_shares_move(
    before: &WatchAssignment,
    after: &WatchAssignment,
    change: Change,
    servers: &BTreeSet<u8>,
) {
    let (Change::NodeComes(n) | Change::NodeGoes(n)) = change else {
        return;
    };
    let node = vm("node", n % NODES);
    for server in servers.iter().map(|n| vm("engine", *n)) {
        let (old, new) = (before.watchers(&server), after.watchers(&server));
        let own = old.contains(&node) || new.contains(&node);
        assert!(own || old == new, "{server} moved with {node}");
    }
}
