//! Frames between nodes: what is written is read, and nothing else is.

use bolero_generator::TypeGenerator;
use bytes::{Bytes, BytesMut};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    ids::Revision,
    peer::{ConfigMessage, PeerMessage},
    platform::Record,
};
use radishhavend::edges::peers::{MAX_FRAME_BYTES, decode, encode};

#[derive(Debug, TypeGenerator)]
enum Any {
    AskRevision(u64),
    Revision(u64, u64),
    AskRecords(u64),
    Records {
        from: u64,
        digest: u64,
        bodies: [String; 3],
    },
    Snapshot(String),
}

fn message(any: Any) -> PeerMessage {
    PeerMessage::Config(match any {
        Any::AskRevision(round) => ConfigMessage::QueryRevision { round },
        Any::Revision(round, at) => ConfigMessage::Revision {
            round,
            revision: Revision(at),
        },
        Any::AskRecords(from) => ConfigMessage::QueryRecords {
            from: Revision(from),
        },
        Any::Records {
            from,
            digest,
            bodies,
        } => ConfigMessage::Records {
            from: Revision(from),
            digest,
            end: Revision(from),
            records: bodies
                .into_iter()
                .map(|body| Record { offset: from, body })
                .collect(),
        },
        Any::Snapshot(body) => ConfigMessage::Snapshot { body },
    })
}

/// Cuts frames anywhere: they come out whole and in order.
#[test]
fn frames_are_read_as_they_were_written() {
    check(71, INVARIANT_CASES, |(any, cut): ([Any; 2], u16)| {
        let sent = any.map(message);
        let frames: Vec<Bytes> = sent
            .iter()
            .map(|message| encode(message).expect("it fits"))
            .collect();
        let bytes = frames.concat();
        let cut = usize::from(cut) % (bytes.len() + 1);
        let mut buf = BytesMut::new();
        let mut read = Vec::new();
        for part in [&bytes[..cut], &bytes[cut..]] {
            buf.extend_from_slice(part);
            while let Some(message) = decode(&mut buf).expect("the frames are whole") {
                read.push(message);
            }
        }
        assert_eq!(read, sent);
        assert!(buf.is_empty());
    });
}

/// Takes any bytes, and frames with some bytes changed: an error or a
/// message, and never a panic or more bytes than there were.
#[test]
fn any_bytes_are_read_or_refused() {
    check(
        72,
        INVARIANT_CASES,
        |(any, noise, at): (Any, [u8; 24], u16)| {
            let frame = encode(&message(any)).expect("it fits");
            let mut changed = frame.to_vec();
            let at = usize::from(at) % changed.len();
            changed[at] ^= noise[0] | 1;
            let mut short = vec![0, 0, 0, noise[0] % 24];
            short.extend_from_slice(&noise);
            for bytes in [changed, short, noise.to_vec()] {
                let mut buf = BytesMut::from(bytes.as_slice());
                let before = buf.len();
                let read = decode(&mut buf);
                assert!(buf.len() <= before);
                if let Ok(Some(message)) = read {
                    assert!(encode(&message).is_ok());
                }
            }
        },
    );
}

#[test]
fn a_frame_that_is_too_long_is_refused_before_it_is_read() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("it fits");
    let mut buf = BytesMut::from(length.to_be_bytes().as_slice());
    assert!(decode(&mut buf).is_err());
}
