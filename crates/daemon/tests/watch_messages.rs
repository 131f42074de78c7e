//! Reports of engines pass through the codec, and are as small as the bound
//! on their bytes takes them to be.

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
/// Bytes of a message beside its reports.
const HEAD_BYTES: usize = 24;
/// Unit of a report's age, microseconds.
const AGE_UNIT_US: u64 = 10_000;

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Any {
    server: u8,
    beyond_ms: u16,
    age: u8,
    weights: [u8; 4],
    queued: Option<u32>,
}

impl Any {
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

#[test]
fn reports_are_read_as_they_were_written_and_are_small() {
    check(74, INVARIANT_CASES, |any: Vec<Any>| {
        let reports: BTreeMap<ServerKey, Report> = any.into_iter().map(Any::report).collect();
        let message = PeerMessage::Watch(WatchMessage::new(true, NOW, &reports));
        let frame = encode(&message).expect("it can be written");
        assert!(frame.len() <= HEAD_BYTES + PACKED_REPORT_BYTES as usize * reports.len());
        let read = decode(&mut BytesMut::from(&frame[..])).expect("it can be read");
        let Some(PeerMessage::Watch(read)) = read else {
            panic!("another message: {read:?}");
        };
        let heard: BTreeMap<ServerKey, Report> = read.reports(NOW).collect();
        assert_eq!(heard, reports);
    });
}
