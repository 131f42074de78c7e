//! Size and round trip of encoded reports about engines.

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use bytes::BytesMut;
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    peer::PeerMessage,
    time::Timestamp,
    watch::{
        HeldDigest, PACKED_REPORT_BYTES, QueueLevel, Report, ReportBody, Sequence, ServerKey,
        WatchMessage,
    },
};
use radishhavend::edges::peers::{decode, encode};

const NOW: Timestamp = Timestamp::from_millis(10_000_000);
/// Maximum size of an encoded message without its reports, in bytes.
const HEAD_BYTES: usize = 24;
/// Unit of a report's encoded age, in microseconds.
const AGE_UNIT_US: u64 = 10_000;

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct AnyReport {
    server: u8,
    beyond_ms: u16,
    age: u8,
    weights: [u8; 4],
    queued: Option<u32>,
}

impl AnyReport {
    fn report(self) -> (ServerKey, Report) {
        let vm = format!("engine-{}", self.server).parse().expect("a VM");
        let address = ([127, 0, 0, 1], 9_000).into();
        let body = ReportBody {
            seq: Sequence(1_700_000_000_000 + u64::from(self.beyond_ms)),
            holds: HeldDigest {
                weights: self.weights,
                adapters: 0,
            },
            queue: self.queued.map(QueueLevel::new),
        };
        let at = NOW - Duration::from_micros(AGE_UNIT_US * u64::from(self.age));
        (ServerKey::new(&vm, address), Report { body, at })
    }
}

/// The node limits the bytes of reports per second by assuming `DIGEST_BYTES` per
/// report. A larger encoding would exceed that limit without notice.
#[test]
fn reports_round_trip_within_their_assumed_size() {
    check(74, INVARIANT_CASES, |any: Vec<AnyReport>| {
        let reports: BTreeMap<ServerKey, Report> = any.into_iter().map(AnyReport::report).collect();
        let message = PeerMessage::Watch(WatchMessage::new(true, NOW, &reports));
        let frame = encode(&message).expect("the message can be encoded");
        assert!(frame.len() <= HEAD_BYTES + PACKED_REPORT_BYTES as usize * reports.len());
        let decoded = decode(&mut BytesMut::from(&frame[..])).expect("the frame is valid");
        let Some(PeerMessage::Watch(decoded)) = decoded else {
            panic!("unexpected message: {decoded:?}");
        };
        let received: BTreeMap<ServerKey, Report> = decoded.reports(NOW).collect();
        assert_eq!(received, reports);
    });
}
