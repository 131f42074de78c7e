//! Tests of the probe ring, and of merging facts in any order.

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
fn every_node_has_the_expected_number_of_probers() {
    for nodes in [2, 3, 9, 45, 360] {
        let vms: Vec<VmId> = (0..nodes)
            .map(|n| format!("node-{n}").parse().expect("a VM"))
            .collect();
        let domains: Vec<FailureDomain> = (0..nodes)
            .map(|n| format!("domain-{}", n % 17).parse().expect("a domain"))
            .collect();
        let ring = || -> Vec<RingMember<'_>> {
            let members = vms.iter().zip(&domains);
            members
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
        let expected = PROBERS.min(nodes - 1);
        assert_eq!(probers.len(), nodes);
        assert!(probers.values().all(|n| *n == expected), "{nodes}");
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct FactCase {
    incarnation: u8,
    beat: u8,
    status: u8,
}

fn merged<'a>(cases: impl Iterator<Item = &'a FactCase>) -> Option<MemberFact> {
    let mut members = MemberTable::default();
    let vm: VmId = "node-1".parse().expect("a VM");
    let statuses = [
        MemberStatus::Alive,
        MemberStatus::Suspect,
        MemberStatus::Dead,
    ];
    let mut newest = Incarnation(0);
    for case in cases {
        let beat = u32::from(case.beat % 4);
        let fact = MemberFact {
            vm: vm.clone(),
            incarnation: Incarnation(1 + u64::from(case.incarnation % 3)),
            beat,
            status: statuses[usize::from(case.status) % statuses.len()],
            // Facts with the same beat carry the same state.
            heartbeat: Heartbeat {
                open_requests: beat,
                ..Heartbeat::default()
            },
            place: None,
        };
        members.merge(fact, Timestamp::from_millis(1));
        let incarnation = members.get(&vm).map(|row| row.incarnation);
        assert!(
            incarnation >= Some(newest),
            "an older incarnation replaced a newer one"
        );
        newest = incarnation.unwrap_or_default();
    }
    members.fact(&vm, false)
}

#[test]
fn facts_in_any_order_or_duplicated_merge_to_the_same_state() {
    check(11, INVARIANT_CASES, |cases: [FactCase; 8]| {
        let once = merged(cases.iter());
        assert_eq!(once, merged(cases.iter().rev()));
        assert_eq!(once, merged(cases.iter().chain(cases.iter().rev())));
    });
}
