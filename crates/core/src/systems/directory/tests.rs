//! Tests of the node ranking with members in all states.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::*;
use crate::{
    ids::Incarnation,
    peer::{Heartbeat, MemberFact, MemberStatus, Place},
    platform::{Vm, VmList, VmRole},
    time::Timestamp,
};

const DOMAINS: [&str; 3] = ["mvd-centro", "mvd-cordon", "mvd-pocitos"];

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16))
}

fn vm(n: usize) -> VmId {
    format!("node-{n}").parse().expect("a VM")
}

fn domain(n: usize) -> FailureDomain {
    DOMAINS[n % DOMAINS.len()].parse().expect("a domain")
}

fn own() -> Identity {
    Identity {
        vm: vm(0),
        failure_domain: domain(0),
        address: address(0),
        incarnation: Incarnation(1),
    }
}

fn fact(n: usize) -> MemberFact {
    MemberFact {
        vm: vm(n),
        incarnation: Incarnation(1),
        beat: 1,
        status: MemberStatus::Alive,
        heartbeat: Heartbeat {
            ready: true,
            ..Heartbeat::default()
        },
        place: Some(Place {
            address: address(n),
            peer_address: address(100 + n),
            failure_domain: domain(n),
        }),
    }
}

fn tables(nodes: usize) -> Tables {
    let mut tables = Tables {
        ready: true,
        ..Tables::default()
    };
    for n in 1..nodes {
        tables.members.merge(fact(n), Timestamp::from_millis(1));
    }
    tables
}

fn ranked_vms(tables: &Tables, caller: &str) -> Vec<VmId> {
    let ranked = rank_nodes(tables, &own(), &DirectoryConfig::default(), caller);
    ranked.into_iter().map(|entry| entry.vm).collect()
}

fn first_choices(tables: &Tables) -> BTreeMap<VmId, u32> {
    let mut firsts = BTreeMap::new();
    for caller in 0..9_000 {
        let first =
            ranked_vms(tables, &format!("10.0.{}.{}", caller / 250, caller % 250)).remove(0);
        *firsts.entry(first).or_default() += 1;
    }
    firsts
}

#[test]
fn callers_spread_evenly_over_idle_nodes() {
    let firsts = first_choices(&tables(9));
    assert_eq!(firsts.len(), 9);
    assert!(
        firsts.values().all(|n| (850..=1_150).contains(n)),
        "{firsts:?}"
    );
}

#[test]
fn a_loaded_node_is_ranked_first_less_often() {
    let mut tables = tables(9);
    let mut loaded = fact(4);
    loaded.beat = 2;
    loaded.heartbeat.open_requests = 768;
    tables.members.merge(loaded, Timestamp::from_millis(2));
    let firsts = first_choices(&tables);
    let (loaded, idle) = (firsts[&vm(4)], firsts[&vm(5)]);
    assert!(loaded * 3 < idle, "{firsts:?}");
}

#[test]
fn the_first_addresses_are_in_different_failure_domains() {
    let tables = tables(9);
    for caller in 0..200 {
        let first = ranked_vms(&tables, &format!("caller-{caller}"));
        let number = |vm: &VmId| vm.as_str()["node-".len()..].parse::<usize>().expect("n");
        let domains: BTreeSet<FailureDomain> =
            first[..3].iter().map(|vm| domain(number(vm))).collect();
        assert_eq!(domains.len(), 3, "{first:?}");
    }
}

#[test]
fn dead_suspect_draining_and_leaving_nodes_are_omitted() {
    let mut tables = tables(6);
    let now = Timestamp::from_millis(2);
    for (n, status) in [(1, MemberStatus::Suspect), (2, MemberStatus::Dead)] {
        tables.members.merge(MemberFact { status, ..fact(n) }, now);
    }
    let mut draining = fact(3);
    draining.beat = 2;
    draining.heartbeat.draining = true;
    tables.members.merge(draining, now);
    tables.vms.replace(VmList {
        vms: vec![listed_vm(4, VmState::Leaving), listed_vm(9, VmState::Live)],
    });
    let ranked: BTreeSet<VmId> = ranked_vms(&tables, "caller").into_iter().collect();
    assert_eq!(ranked, BTreeSet::from([vm(0), vm(5)]));
    tables.draining_since = Some(now);
    assert_eq!(ranked_vms(&tables, "caller"), [vm(5)]);
}

fn listed_vm(n: usize, state: VmState) -> Vm {
    Vm {
        vm: vm(n),
        role: VmRole::Node,
        address: address(n),
        peer_address: Some(address(100 + n)),
        failure_domain: domain(n),
        state,
    }
}

#[test]
fn a_node_without_members_uses_the_vm_list() {
    let mut tables = tables(0);
    tables.vms.replace(VmList {
        vms: vec![
            listed_vm(0, VmState::Live),
            listed_vm(1, VmState::Live),
            listed_vm(2, VmState::Leaving),
        ],
    });
    let ranked: BTreeSet<VmId> = ranked_vms(&tables, "caller").into_iter().collect();
    assert_eq!(ranked, BTreeSet::from([vm(0), vm(1)]));
}
