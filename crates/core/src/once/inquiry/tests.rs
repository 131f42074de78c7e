use super::*;
use crate::{ids::Incarnation, once::IntentId};

fn instance(vm: &str, incarnation: u64) -> Instance {
    Instance {
        vm: vm.parse().expect("the name is valid"),
        incarnation: Incarnation(incarnation),
    }
}

fn round() -> SealRound {
    let id = IssuedId {
        intent: IntentId {
            home: instance("node-1", 1),
            number: 1,
        },
        issued: Timestamp(0),
        witnesses: vec![instance("w-1", 1), instance("w-2", 1)],
    };
    SealRound::new(Timestamp(0), &id)
}

#[test]
fn one_seal_proves_that_the_request_does_not_run() {
    let mut round = round();
    let intended = SealAnswer::Intended(None);
    assert_eq!(round.answered(&instance("w-1", 1), intended), None);
    let verdict = round.answered(&instance("w-2", 1), SealAnswer::Sealed);
    assert_eq!(verdict, Some(SealOutcome::NotRun));
}

#[test]
fn a_restarted_witness_proves_nothing() {
    let mut round = round();
    let verdict = round.answered(&instance("w-1", 2), SealAnswer::Sealed);
    assert_eq!(verdict, None);
    let other = SealAnswer::OtherIncarnation;
    assert_eq!(round.answered(&instance("w-1", 2), other), None);
    let forgotten = SealAnswer::Forgotten;
    let verdict = round.answered(&instance("w-2", 1), forgotten);
    assert_eq!(verdict, Some(SealOutcome::Unknown));
}

#[test]
fn without_witnesses_nothing_is_proved() {
    let mut round = round();
    assert_eq!(round.unreachable(&instance("w-1", 1).vm), None);
    let verdict = round.unreachable(&instance("w-2", 1).vm);
    assert_eq!(verdict, Some(SealOutcome::Unknown));
}
