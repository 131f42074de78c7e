//! Who probes whom, and the merge of facts in any order.

use std::collections::BTreeMap;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};

use super::view::{PROBERS, RingMember, targets};
use crate::{
    ids::{FailureDomain, Incarnation, VmId},
    peer::{Heartbeat, MemberFact, MemberStatus},
    tables::MemberTable,
    time::Timestamp,
};

#[test]
fn every_node_has_its_probers_and_none_has_too_many() {
    for nodes in [2, 3, 9, 45, 360] {
        let vms: Vec<VmId> = (0..nodes)
            .map(|n| format!("node-{n}").parse().expect("a VM"))
            .collect();
        let domains: Vec<FailureDomain> = (0..nodes)
            .map(|n| format!("domain-{}", n % 17).parse().expect("a domain"))
            .collect();
        let ring = || -> Vec<RingMember<'_>> {
            let seats = vms.iter().zip(&domains);
            seats
                .map(|(vm, domain)| RingMember { vm, domain })
                .collect()
        };
        let mut probers: BTreeMap<VmId, usize> = BTreeMap::new();
        for vm in &vms {
            let probed = targets(ring(), vm);
            assert!(probed.len() <= 3 * PROBERS, "{vm} of {nodes}");
            for target in probed {
                *probers.entry(target).or_default() += 1;
            }
        }
        let wanted = PROBERS.min(nodes - 1);
        assert_eq!(probers.len(), nodes);
        assert!(probers.values().all(|n| *n == wanted), "{nodes}");
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct FactCase {
    life: u8,
    beat: u8,
    status: u8,
}

fn merged<'a>(said: impl Iterator<Item = &'a FactCase>) -> Option<MemberFact> {
    let mut members = MemberTable::default();
    let vm: VmId = "node-1".parse().expect("a VM");
    let statuses = [
        MemberStatus::Alive,
        MemberStatus::Suspect,
        MemberStatus::Dead,
    ];
    let mut newest = Incarnation(0);
    for said in said {
        let beat = u32::from(said.beat % 4);
        let fact = MemberFact {
            vm: vm.clone(),
            incarnation: Incarnation(1 + u64::from(said.life % 3)),
            beat,
            status: statuses[usize::from(said.status) % statuses.len()],
            // What a node says belongs to its beat.
            heartbeat: Heartbeat {
                open_requests: beat,
                ..Heartbeat::default()
            },
            place: None,
        };
        members.merge(fact, Timestamp::from_millis(1));
        let life = members.get(&vm).map(|row| row.incarnation);
        assert!(life >= Some(newest), "an old life came back");
        newest = life.unwrap_or_default();
    }
    members.fact(&vm, false)
}

#[test]
fn facts_in_any_order_and_twice_give_the_same() {
    check(11, INVARIANT_CASES, |said: [FactCase; 8]| {
        let once = merged(said.iter());
        assert_eq!(once, merged(said.iter().rev()));
        assert_eq!(once, merged(said.iter().chain(said.iter().rev())));
    });
}
