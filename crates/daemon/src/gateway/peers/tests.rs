//! Tests of messages between nodes of this version and the one before.

use std::collections::BTreeMap;

use radishhaven_core::gateway::{
    CrashCause, Gateway, PromptPart,
    budget::BudgetConfig,
    faults::ReportedFault,
    hedging::HedgePercent,
    notices::Incarnation,
    peer_paths::{NodePaths, PathsReport},
    peers::ReportRecipient,
    quarantine::ReportedQuarantine,
    state::GatewayConfig,
};

use super::*;

fn message() -> Message {
    let cfg = GatewayConfig {
        max_confirmation_age: Duration::from_secs(4),
        max_time_behind: Duration::from_secs(2),
        budget: BudgetConfig {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 100.0,
        },
        hedging: HedgePercent::default(),
    };
    let gateway = Gateway::new(cfg, 7);
    Message::Report {
        from: "node-1".parse().expect("a name"),
        node: gateway.report(Timestamp::default(), true, None, ReportRecipient::Hub),
    }
}

fn paths() -> PathsReport {
    PathsReport {
        nodes: vec![NodePaths {
            vm: "node-1".parse().expect("a name"),
            address: "10.0.0.1:7340".parse().expect("an address"),
            failure_domain: "centro".parse().expect("a name"),
            room: 32,
            has_lost_links: true,
            services: BTreeMap::new(),
            age_ms: 5,
        }],
    }
}

/// What a node of the version before sends after a message.
fn paths_only() -> Supplement {
    Supplement {
        paths: Some(paths()),
        faults: None,
    }
}

fn faults() -> FaultReport {
    let incarnation = Incarnation {
        started_ms: Some(7),
        address: "10.0.64.1:8080".parse().expect("an address"),
    };
    let fault = ReportedFault {
        incarnation,
        age_ms: 12,
    };
    FaultReport {
        faults: BTreeMap::from([("i-1".parse().expect("a name"), fault)]),
    }
}

fn sender(message: &Message) -> &str {
    match message {
        Message::Report { from, .. } => from.as_str(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn links_follow_the_message() {
    let bytes = encode(message(), &paths_only()).expect("a datagram");
    let (decoded, supplement) = decode(&bytes).expect("the datagram is valid");
    assert_eq!(sender(&decoded), "node-1");
    assert_eq!(supplement, paths_only());
}

#[test]
fn faults_follow_the_links() {
    let supplement = Supplement {
        faults: Some(faults()),
        ..paths_only()
    };
    let bytes = encode(message(), &supplement).expect("a datagram");
    let (_, decoded) = decode(&bytes).expect("the datagram is valid");
    assert_eq!(decoded, supplement);
}

/// The version before decoded the links and ignored what followed them.
#[test]
fn version_before_reads_the_links_without_the_faults() {
    let supplement = Supplement {
        faults: Some(faults()),
        ..paths_only()
    };
    let bytes = encode(message(), &supplement).expect("a datagram");
    let (_, rest): (Message, _) = decode_part(&bytes).expect("the message is valid");
    let (decoded, _): (PathsReport, _) = decode_part(rest).expect("the links are valid");
    assert_eq!(decoded, paths());
}

/// The version before sent the message alone.
#[test]
fn message_of_the_version_before_has_no_links() {
    let bytes = bincode::serde::encode_to_vec(message(), bincode::config::standard());
    let (decoded, supplement) = decode(&bytes.expect("a datagram")).expect("the datagram is valid");
    assert_eq!(sender(&decoded), "node-1");
    assert_eq!(supplement, Supplement::default());
}

/// The version before decoded the message and ignored what followed.
#[test]
fn version_before_reads_the_message_alone() {
    let bytes = encode(message(), &paths_only()).expect("a datagram");
    let decoded = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
    let (decoded, _): (Message, usize) = decoded.expect("the message is valid");
    assert_eq!(sender(&decoded), "node-1");
}

#[test]
fn truncated_links_are_an_error() {
    let bytes = encode(message(), &paths_only()).expect("a datagram");
    assert!(decode(&bytes[..bytes.len() - 1]).is_err());
}

/// Datagrams of each kind that commit f3e2776 encoded, with all details.
const DATAGRAMS_OF_THE_VERSION_BEFORE: [&[u8]; 3] = [
    include_bytes!("fixtures/report.bin"),
    include_bytes!("fixtures/query.bin"),
    include_bytes!("fixtures/response.bin"),
];

/// Nodes of both versions run side by side while a deployment is upgraded. Each reads
/// the other's messages if they have the same form.
#[test]
fn messages_have_the_form_of_the_version_before() {
    for datagram in DATAGRAMS_OF_THE_VERSION_BEFORE {
        let (mut message, supplement) = decode(datagram).expect("the datagram is valid");
        let node = message.node_mut();
        assert_eq!(node.crashes.suspects[0].causes.len(), 2);
        assert_eq!((node.limits.len(), node.load[0].tokens), (1, 9_999));
        assert_eq!(supplement, paths_only());
        let encoded = encode(message, &supplement).expect("a datagram");
        assert_eq!(encoded, datagram);
    }
}

/// Guards against a node that counts as gone, because its messages are too large to be
/// sent.
#[test]
fn details_of_a_message_that_is_too_large_are_left_out() {
    let datagram = DATAGRAMS_OF_THE_VERSION_BEFORE[0];
    let (mut message, _) = decode(datagram).expect("the datagram is valid");
    let node = message.node_mut();
    let cause = |number| CrashCause::Part(PromptPart(u64::MAX - number));
    node.crashes.suspects[0].causes = (0..5_000).map(cause).collect();
    let quarantine = ReportedQuarantine {
        left_ms: 1,
        crashes: 2,
    };
    node.crashes.quarantined = [(cause(7), quarantine)].into();
    node.load = vec![node.load[0].clone(); 5_000];
    node.load[4_999].requests = 99;
    let bytes = encode(message, &paths_only()).expect("a datagram");
    let (mut received, supplement) = decode(&bytes).expect("the datagram is valid");
    let node = received.node_mut();
    assert!(node.crashes.suspects.is_empty());
    assert_eq!(node.crashes.quarantined.len(), 1);
    assert_eq!(node.load.len(), MAX_LOAD_IN_LARGE_MESSAGE);
    assert_eq!(node.load[0].requests, 99);
    assert_eq!(supplement, paths_only());
}
