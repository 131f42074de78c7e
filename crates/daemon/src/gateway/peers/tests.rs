//! Tests of messages between nodes of this version and the one before.

use std::collections::BTreeMap;

use radishhaven_core::gateway::{
    Gateway,
    budget::BudgetConfig,
    peer_paths::{NodePaths, PathsReport},
    peers::ReportRecipient,
    state::GatewayConfig,
};

use super::*;

fn message() -> Message {
    let cfg = GatewayConfig {
        max_confirmation_age: Duration::from_secs(4),
        budget: BudgetConfig {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 100.0,
        },
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

fn sender(message: &Message) -> &str {
    match message {
        Message::Report { from, .. } => from.as_str(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn links_follow_the_message() {
    let bytes = encode(&message(), &paths()).expect("a datagram");
    let (decoded, links) = decode(&bytes).expect("the datagram is valid");
    assert_eq!(sender(&decoded), "node-1");
    assert_eq!(links, Some(paths()));
}

/// The version before sent the message alone.
#[test]
fn message_of_the_version_before_has_no_links() {
    let bytes = bincode::serde::encode_to_vec(message(), bincode::config::standard());
    let (decoded, links) = decode(&bytes.expect("a datagram")).expect("the datagram is valid");
    assert_eq!(sender(&decoded), "node-1");
    assert_eq!(links, None);
}

/// The version before decoded the message and ignored what followed.
#[test]
fn version_before_reads_the_message_alone() {
    let bytes = encode(&message(), &paths()).expect("a datagram");
    let decoded = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
    let (decoded, _): (Message, usize) = decoded.expect("the message is valid");
    assert_eq!(sender(&decoded), "node-1");
}

#[test]
fn truncated_links_are_an_error() {
    let bytes = encode(&message(), &paths()).expect("a datagram");
    assert!(decode(&bytes[..bytes.len() - 1]).is_err());
}
