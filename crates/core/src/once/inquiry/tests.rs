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
fn one_seal_proves_that_the_request_never_runs() {
    let mut round = round();
    let intended = SealAnswer::Intended(None);
    assert_eq!(round.handle_answer(&instance("w-1", 1), intended), None);
    let outcome = round.handle_answer(&instance("w-2", 1), SealAnswer::Sealed);
    assert_eq!(outcome, Some(SealOutcome::NotRun));
}

#[test]
fn a_restarted_witness_proves_nothing() {
    let mut round = round();
    let outcome = round.handle_answer(&instance("w-1", 2), SealAnswer::Sealed);
    assert_eq!(outcome, None);
    let other = SealAnswer::OtherIncarnation;
    assert_eq!(round.handle_answer(&instance("w-1", 2), other), None);
    let forgotten = SealAnswer::Forgotten;
    let outcome = round.handle_answer(&instance("w-2", 1), forgotten);
    assert_eq!(outcome, Some(SealOutcome::Unknown));
}

#[test]
fn the_outcome_is_unknown_when_all_witnesses_are_unreachable() {
    let mut round = round();
    assert_eq!(round.mark_unreachable(&instance("w-1", 1).vm), None);
    let outcome = round.mark_unreachable(&instance("w-2", 1).vm);
    assert_eq!(outcome, Some(SealOutcome::Unknown));
}
