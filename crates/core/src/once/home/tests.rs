use super::*;
use crate::{
    ids::Incarnation,
    message::Demand,
    once::{DemandDigest, ForwardedDemand, IdKey, IntentId, ResultRecord},
    outcome::Outcome,
};

const TTL: Duration = Duration::from_secs(10);
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

fn register(home: &mut HomeTable, now: Timestamp, number: u64, key: u64) -> Registration {
    let id = issued_id(number);
    let text = id.encode(&IdKey::default());
    home.register(now, TTL, RequestKey(key), &id, &text, claim("firm", "book"))
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
fn a_request_is_dispatched_once_after_all_its_witnesses_recorded_the_intent() {
    let mut home = HomeTable::default();
    assert_eq!(register(&mut home, NOW, 1, 1), Registration::New);
    assert_eq!(home.try_dispatch(1), DispatchDecision::Wait);
    let recorded = IntendAnswer::Recorded;
    assert_eq!(
        home.handle_answer(1, &instance("w-1", 1), recorded),
        DispatchDecision::Wait
    );
    assert_eq!(
        home.handle_answer(1, &instance("w-1", 1), recorded),
        DispatchDecision::Wait
    );
    assert_eq!(
        home.handle_answer(1, &instance("w-2", 2), recorded),
        DispatchDecision::Wait
    );
    assert_eq!(
        home.handle_answer(1, &instance("w-2", 1), recorded),
        DispatchDecision::Dispatch
    );
    assert_eq!(
        home.handle_answer(1, &instance("w-2", 1), recorded),
        DispatchDecision::Wait
    );
    assert_eq!(home.try_dispatch(1), DispatchDecision::Wait);
}

#[test]
fn one_seal_or_restarted_witness_prevents_the_dispatch() {
    for answer in [IntendAnswer::Sealed, IntendAnswer::OtherIncarnation] {
        let mut home = HomeTable::default();
        register(&mut home, NOW, 1, 1);
        let from = instance("w-2", 9);
        assert_eq!(
            home.handle_answer(1, &from, answer),
            DispatchDecision::Refused
        );
    }
}

#[test]
fn a_repeated_request_waits_for_the_first_or_gets_its_stored_end() {
    let mut home = HomeTable::default();
    register(&mut home, NOW, 1, 1);
    assert_eq!(register(&mut home, NOW, 1, 2), Registration::Running);
    finish(&mut home, 1);
    assert!(matches!(
        register(&mut home, NOW, 1, 3),
        Registration::Ended(_)
    ));
    let id = issued_id(1);
    let text = id.encode(&IdKey::default());
    for (other, mismatch) in [
        (claim("other", "book"), Mismatch::Organisation),
        (claim("firm", "cancel"), Mismatch::Demand),
    ] {
        let registration = home.register(NOW, TTL, RequestKey(4), &id, &text, other);
        assert_eq!(registration, Registration::Mismatch(mismatch));
    }
}

#[test]
fn an_id_that_is_expired_or_below_the_floor_is_not_started() {
    let mut home = HomeTable::default();
    assert_eq!(register(&mut home, NOW + TTL, 1, 1), Registration::Expired);
    register(&mut home, NOW, 5, 2);
    finish(&mut home, 2);
    home.drop_old(NOW, TTL, 0, usize::MAX);
    assert_eq!(register(&mut home, NOW, 5, 3), Registration::Forgotten);
    assert_eq!(register(&mut home, NOW, 4, 4), Registration::Forgotten);
    assert_eq!(register(&mut home, NOW, 6, 5), Registration::New);
}

#[test]
fn results_are_dropped_before_ends() {
    let mut home = HomeTable::default();
    for number in 1..=10 {
        register(&mut home, NOW, number, number);
        finish(&mut home, number);
        home.drop_old(NOW, TTL, usize::MAX, 250);
    }
    assert_eq!(home.ended_count(), 10);
    let kept = (1..=10).filter(|&n| home.ended(n).is_some_and(|r| r.result.is_some()));
    assert_eq!(kept.collect::<Vec<u64>>(), [9, 10]);
}
