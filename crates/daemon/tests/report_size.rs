//! Guards against reports between gateways that are too large to be sent.

use std::net::SocketAddr;

use radishhaven_core::{
    gateway::{
        CrashCause, PromptPart, RequestDigest, RequestRate,
        members::{MAX_PAGE_MEMBERS, Member, Millicores},
        notices::Incarnation,
        peers::{MAX_UNLISTED_MEMBERS, NodeReport, ServerLoad, UnlistedNodes},
        quarantine::{
            CrashReport, MAX_QUARANTINED, MAX_REPORTED_ANSWERS, MAX_REPORTED_CAUSES, MAX_SUSPECTS,
            ReportedQuarantine, Suspect,
        },
        server_limits::{LimitReport, MAX_REPORTED_LIMITS, ReportedStatement},
    },
    ids::VmId,
};
use serde::Serialize;

/// Largest message between gateways, in bytes.
const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Engines of the largest deployment that is run.
const ENGINES: u32 = 196;

fn vm(number: u32) -> VmId {
    let id = format!("i-{:010x}", 0x4c_9d22_7e67_u64 + u64::from(number));
    id.parse().expect("a name")
}

fn address() -> SocketAddr {
    "10.128.129.130:18464".parse().expect("an address")
}

fn incarnation() -> Incarnation {
    Incarnation {
        started_ms: Some(1_784_752_739_939),
        address: address(),
    }
}

fn member(number: u32) -> Member {
    Member {
        vm: format!("front-mvd-pocitos-{number}")
            .parse()
            .expect("a name"),
        failure_domain: "mvd-pocitos".parse().expect("a name"),
        caller_address: address(),
        peer_address: address(),
        processor: Millicores(500),
    }
}

fn causes(number: u64) -> Vec<CrashCause> {
    let count = (MAX_REPORTED_CAUSES / MAX_SUSPECTS) as u64;
    let part = |index| CrashCause::Part(PromptPart(u64::MAX - count * number - index));
    let parts = (1..count).map(part);
    let request = CrashCause::Request(RequestDigest(u64::MAX - number));
    parts.chain([request]).collect()
}

fn crash_report() -> CrashReport {
    let suspects = (0..MAX_SUSPECTS as u32).map(|number| Suspect {
        server: vm(number),
        incarnation: incarnation(),
        causes: causes(number.into()),
        age_ms: 599_999,
    });
    let suspects: Vec<Suspect> = suspects.collect();
    let suspected = suspects.iter().flat_map(|suspect| &suspect.causes);
    let quarantine = ReportedQuarantine {
        left_ms: 15_359_999,
        crashes: 12,
    };
    let quarantined = (0..MAX_QUARANTINED as u64).map(|n| CrashCause::Request(RequestDigest(!n)));
    CrashReport {
        answered: suspected
            .take(MAX_REPORTED_ANSWERS)
            .map(|cause| (*cause, 599_999))
            .collect(),
        quarantined: quarantined.map(|cause| (cause, quarantine)).collect(),
        suspects,
    }
}

fn report() -> NodeReport {
    let limit = LimitReport {
        incarnation: incarnation(),
        statement: Some(ReportedStatement {
            limit: Some(RequestRate(7_123)),
            age_ms: 29_999,
        }),
        sent: 65_000,
    };
    let load = (0..ENGINES).map(|number| ServerLoad {
        server: vm(number),
        requests: 300,
        tokens: 99_999,
        unread_tokens: 70_000,
        inbound_tokens: 70_000,
        progress_age_ms: 60_000,
    });
    NodeReport {
        accepts_callers: true,
        configuration_version: Some(70_000),
        confirmation_age_ms: Some(3_000),
        nodes: 360,
        stopped: Vec::new(),
        unlisted: UnlistedNodes {
            count: 300,
            members: (0..MAX_UNLISTED_MEMBERS as u32).map(member).collect(),
        },
        leaving: Default::default(),
        crashes: crash_report(),
        limits: (0..MAX_REPORTED_LIMITS as u32)
            .map(|n| (vm(n), limit.clone()))
            .collect(),
        demand: [("dictado".parse().expect("a name"), 70_000)].into(),
        load: load.collect(),
    }
}

fn encoded_bytes(value: &impl Serialize) -> usize {
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard());
    encoded.expect("it can be encoded").len()
}

#[test]
fn largest_report_fits_beside_a_page_of_members() {
    let page: Vec<Member> = (0..MAX_PAGE_MEMBERS as u32).map(member).collect();
    let bytes = encoded_bytes(&report()) + encoded_bytes(&page);
    assert!(bytes <= MAX_MESSAGE_BYTES, "{bytes}");
}
