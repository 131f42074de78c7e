use super::*;
use crate::{
    ids::Incarnation,
    message::Demand,
    once::{DemandDigest, ForwardedDemand, IdKey, IntentId, ResultRecord},
    outcome::Outcome,
};

const LIFE: Duration = Duration::from_secs(10);
const NOW: Timestamp = Timestamp(1_000);

fn instance(vm: &str, incarnation: u64) -> Instance {
    Instance {
        vm: vm.parse().expect("the name is valid"),
        incarnation: Incarnation(incarnation),
    }
}

fn issued_id(number: u64) -> IssuedId {
    IssuedId {
        intent: IntentId {
            home: instance("node-1", 1),
            number,
        },
        issued: Timestamp(0),
        witnesses: vec![instance("w-1", 1), instance("w-2", 1)],
    }
}

fn claim(organisation: &str, operation: &str) -> Claim {
    let demand = Demand::Call {
        service: "desk".parse().expect("the name is valid"),
        operation: operation.to_owned(),
        body: serde_json::Value::Null,
    };
    Claim {
        organisation: organisation.parse().expect("the name is valid"),
        demand: DemandDigest::of(&ForwardedDemand::from(&demand)),
    }
}

fn arrive(home: &mut HomeTable, now: Timestamp, number: u64, key: u64) -> Registration {
    let id = issued_id(number);
    let text = id.encode(&IdKey::default());
    home.register(
        now,
        LIFE,
        RequestKey(key),
        &id,
        &text,
        claim("firm", "book"),
    )
}

fn finish(home: &mut HomeTable, key: u64) {
    let end = |open: &OpenIntent| EndRecord {
        claim: open.claim.clone(),
        outcome: Outcome::Completed,
        tokens: 0,
        result: Some(ResultRecord {
            text: "x".repeat(100),
            body: None,
        }),
        message: String::new(),
    };
    home.finish(NOW, RequestKey(key), end).expect("it is open");
}

#[test]
fn a_request_is_dispatched_once_after_all_named_instances_consent() {
    let mut home = HomeTable::default();
    assert_eq!(arrive(&mut home, NOW, 1, 1), Registration::New);
    assert_eq!(home.try_dispatch(1), DispatchDecision::Wait);
    let yes = IntendAnswer::Recorded;
    assert_eq!(
        home.answered(1, &instance("w-1", 1), yes),
        DispatchDecision::Wait
    );
    assert_eq!(
        home.answered(1, &instance("w-1", 1), yes),
        DispatchDecision::Wait
    );
    assert_eq!(
        home.answered(1, &instance("w-2", 2), yes),
        DispatchDecision::Wait
    );
    assert_eq!(
        home.answered(1, &instance("w-2", 1), yes),
        DispatchDecision::Dispatch
    );
    assert_eq!(
        home.answered(1, &instance("w-2", 1), yes),
        DispatchDecision::Wait
    );
    assert_eq!(home.try_dispatch(1), DispatchDecision::Wait);
}

#[test]
fn one_seal_or_restarted_witness_refuses() {
    for answer in [IntendAnswer::Sealed, IntendAnswer::OtherIncarnation] {
        let mut home = HomeTable::default();
        arrive(&mut home, NOW, 1, 1);
        let from = instance("w-2", 9);
        assert_eq!(home.answered(1, &from, answer), DispatchDecision::Refused);
    }
}

#[test]
fn a_second_arrival_joins_or_gets_the_recorded_end() {
    let mut home = HomeTable::default();
    arrive(&mut home, NOW, 1, 1);
    assert_eq!(arrive(&mut home, NOW, 1, 2), Registration::Running);
    finish(&mut home, 1);
    assert!(matches!(
        arrive(&mut home, NOW, 1, 3),
        Registration::Ended(_)
    ));
    let id = issued_id(1);
    let text = id.encode(&IdKey::default());
    for (other, mismatch) in [
        (claim("other", "book"), Mismatch::Organisation),
        (claim("firm", "cancel"), Mismatch::Demand),
    ] {
        let arrival = home.register(NOW, LIFE, RequestKey(4), &id, &text, other);
        assert_eq!(arrival, Registration::Mismatch(mismatch));
    }
}

#[test]
fn an_id_is_not_begun_when_it_is_too_old_or_older_than_a_forgotten_one() {
    let mut home = HomeTable::default();
    assert_eq!(arrive(&mut home, NOW + LIFE, 1, 1), Registration::Expired);
    arrive(&mut home, NOW, 5, 2);
    finish(&mut home, 2);
    home.forget(NOW, LIFE, 0, usize::MAX);
    assert_eq!(arrive(&mut home, NOW, 5, 3), Registration::Forgotten);
    assert_eq!(arrive(&mut home, NOW, 4, 4), Registration::Forgotten);
    assert_eq!(arrive(&mut home, NOW, 6, 5), Registration::New);
}

#[test]
fn results_are_dropped_before_ends_are_forgotten() {
    let mut home = HomeTable::default();
    for number in 1..=10 {
        arrive(&mut home, NOW, number, number);
        finish(&mut home, number);
        home.forget(NOW, LIFE, usize::MAX, 250);
    }
    assert_eq!(home.ended_count(), 10);
    let kept = (1..=10).filter(|&n| home.ended(n).is_some_and(|r| r.result.is_some()));
    assert_eq!(kept.collect::<Vec<u64>>(), [9, 10]);
}
