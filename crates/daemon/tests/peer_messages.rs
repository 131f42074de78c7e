//! Round trip of all at-most-once messages through the codec.

use std::time::Duration;

use bytes::BytesMut;
use radishhaven_core::{
    ids::{Incarnation, Priority, RequestKey},
    once::{
        Claim, DemandDigest, EndRecord, ForwardedDemand, ForwardedRequest, HomeAnswer, Instance,
        IntendAnswer, IntentId, OnceMessage, ResultRecord, SealAnswer,
    },
    outcome::{NotRun, Outcome},
    peer::PeerMessage,
};
use radishhavend::edges::peers::{decode, encode};

fn intent() -> IntentId {
    let home = Instance {
        vm: "node-1".parse().expect("the name is valid"),
        incarnation: Incarnation(u64::MAX),
    };
    IntentId { home, number: 7 }
}

fn demands() -> [ForwardedDemand; 2] {
    let completion = ForwardedDemand::Completion {
        pipeline: "dictado".parse().expect("the name is valid"),
        prompt: vec![1, 2, 3],
        max_tokens: 4,
    };
    let call = ForwardedDemand::Call {
        service: "libro".parse().expect("the name is valid"),
        operation: "append".to_owned(),
        body: r#"{"km":12}"#.to_owned(),
    };
    [completion, call]
}

fn recorded(outcome: Outcome) -> EndRecord {
    let [demand, _] = demands();
    EndRecord {
        claim: Claim {
            organisation: "small-firm".parse().expect("the name is valid"),
            demand: DemandDigest::of(&demand),
        },
        outcome,
        tokens: 3,
        result: Some(ResultRecord {
            text: "two trips".to_owned(),
            body: Some("null".to_owned()),
        }),
        message: "done".to_owned(),
    }
}

fn home_answers() -> Vec<HomeAnswer> {
    let not_run = Outcome::NotRun(NotRun::OverLimit);
    let outcomes = [
        Outcome::Completed,
        not_run,
        Outcome::Failed,
        Outcome::Unknown,
    ];
    let mut answers: Vec<HomeAnswer> = outcomes
        .into_iter()
        .flat_map(|o| [HomeAnswer::Ended(recorded(o)), HomeAnswer::Idempotent(o)])
        .collect();
    answers.extend([
        HomeAnswer::OtherIncarnation,
        HomeAnswer::Nothing,
        HomeAnswer::Running,
        HomeAnswer::Forgotten,
        HomeAnswer::Refused {
            reason: NotRun::Late,
            message: "too old".to_owned(),
        },
    ]);
    answers
}

fn messages() -> Vec<OnceMessage> {
    let (correlation_key, witness) = (RequestKey(1 << 63), Incarnation(9));
    let id = "m1:1:2:6:node-1:3:".parse::<radishhaven_core::ids::RequestId>();
    let id = id.expect("the id is valid");
    let intent = intent();
    let mut messages = vec![
        OnceMessage::Intend {
            intent: intent.clone(),
            witness,
        },
        OnceMessage::Ended {
            intent: intent.clone(),
            witness,
            recorded: recorded(Outcome::Completed),
        },
        OnceMessage::Seal {
            correlation_key,
            intent: intent.clone(),
            witness,
        },
        OnceMessage::Query {
            correlation_key,
            id: id.clone(),
        },
    ];
    let intend_answers = [
        IntendAnswer::Recorded,
        IntendAnswer::Sealed,
        IntendAnswer::OtherIncarnation,
    ];
    messages.extend(intend_answers.map(|answer| OnceMessage::IntendAnswered {
        intent: intent.clone(),
        answer,
    }));
    let seal_answers = [
        SealAnswer::Sealed,
        SealAnswer::Intended(None),
        SealAnswer::Intended(Some(recorded(Outcome::Unknown))),
        SealAnswer::Forgotten,
        SealAnswer::OtherIncarnation,
    ];
    messages.extend(seal_answers.map(|answer| OnceMessage::SealAnswered {
        correlation_key,
        intent: intent.clone(),
        answer,
    }));
    messages.extend(demands().map(|demand| OnceMessage::Forward {
        correlation_key,
        request: Box::new(ForwardedRequest {
            token_sha256: [7; 32],
            id: id.clone(),
            priority: Some(Priority(3)),
            within: Duration::from_millis(1_500),
            demand,
        }),
    }));
    messages.extend(
        home_answers()
            .into_iter()
            .map(|answer| OnceMessage::HomeAnswered {
                correlation_key,
                id: id.clone(),
                answer,
            }),
    );
    messages
}

/// `bincode` encodes some types that it can't decode, such as JSON values. A
/// message with such a field would fail only when two nodes exchange it.
#[test]
fn at_most_once_messages_round_trip() {
    for message in messages() {
        let message = PeerMessage::Once(message);
        let frame = encode(&message).expect("the message can be encoded");
        let mut buf = BytesMut::from(&frame[..]);
        let decoded = decode(&mut buf).expect("the frame is valid");
        assert_eq!(decoded, Some(message));
    }
}
